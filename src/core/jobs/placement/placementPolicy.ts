import type { JobBook, StepTasks } from '../book'
import type { Candidate } from './candidate'
import { suitability, type PlacementContext } from './runPlacement'
import { DueOrder, type JobOrder, type PoolCapacity, type ZoneShare } from '../order'

/** Decides the order in which waiting tasks are assigned, and scores workers for them. */
export abstract class PlacementPolicy {
  /** The steps whose tasks may start at a wall-clock time, in the order in which they are assigned. */
  abstract order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[]
  /** Score of a worker for one more task of a step, higher is better; undefined if the worker can't take it now. */
  abstract suitability (candidate: Candidate, group: StepTasks, context: PlacementContext): number | undefined

  /** Drops accumulated state at the beginning of a leadership. */
  clear (): void {}

  /** The shares of the callers' zones, empty without fair sharing; times cover the period since the last call. */
  reportShares (): readonly ZoneShare[] { return [] }
}

/** Follows a job order and scores workers by observed speeds and learned pressures of image pairs. */
export class LearningPolicy extends PlacementPolicy {
  constructor (private readonly jobOrder: JobOrder = new DueOrder()) { super() }

  override order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[] {
    return this.jobOrder.order(book, wallClock, capacityOf)
  }

  override clear (): void { this.jobOrder.clear() }

  override reportShares (): readonly ZoneShare[] { return this.jobOrder.reportShares() }

  override suitability (candidate: Candidate, group: StepTasks, context: PlacementContext): number | undefined {
    return suitability(candidate, group, context)
  }
}
