import type { JobBook, StepTasks } from '../book'
import type { Candidate } from './candidate'
import { suitability, type ChoiceContext } from './runPlacement'
import { DueOrder, type JobOrder, type PoolCapacity, type ZoneShare } from '../order'

/** In which order waiting tasks get workers, and which. */
export abstract class PlacementPolicy {
  /** The steps whose tasks may start at a wall-clock time, in the order in which they get workers. */
  abstract order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[]
  /** How well a worker suits one more task of a step, the better the higher; undefined if it can't take it now. */
  abstract suitability (candidate: Candidate, group: StepTasks, context: ChoiceContext): number | undefined

  /** Forgets what it has seen, for a new leadership. */
  clear (): void {}

  /** How callers' zones stand, if they get fair shares; the times are since the last call. */
  reportShares (): readonly ZoneShare[] { return [] }
}

/** By an order of jobs, with what was learned of speeds and of pairs of images. */
export class LearningPolicy extends PlacementPolicy {
  constructor (private readonly jobOrder: JobOrder = new DueOrder()) { super() }

  override order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[] {
    return this.jobOrder.order(book, wallClock, capacityOf)
  }

  override clear (): void { this.jobOrder.clear() }

  override reportShares (): readonly ZoneShare[] { return this.jobOrder.reportShares() }

  override suitability (candidate: Candidate, group: StepTasks, context: ChoiceContext): number | undefined {
    return suitability(candidate, group, context)
  }
}
