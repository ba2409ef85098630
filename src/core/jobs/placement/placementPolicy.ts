import type { JobBook, StepTasks } from '../book'
import type { Candidate } from './candidate'
import { suitability, type ChoiceContext } from './runPlacement'
import { DueOrder, type JobOrder } from '../order'

/** In which order waiting tasks get workers, and which. */
export abstract class PlacementPolicy {
  /** The steps whose tasks may start at a wall-clock time, in the order in which they get workers. */
  abstract order (book: JobBook, wallClock: number): readonly StepTasks[]
  /** How well a worker suits one more task of a step, the better the higher; undefined if it can't take it now. */
  abstract suitability (candidate: Candidate, group: StepTasks, context: ChoiceContext): number | undefined
}

/** By an order of jobs, with what was learned of speeds and of pairs of images. */
export class LearningPolicy extends PlacementPolicy {
  constructor (private readonly jobOrder: JobOrder = new DueOrder()) { super() }

  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    return this.jobOrder.order(book, wallClock)
  }

  override suitability (candidate: Candidate, group: StepTasks, context: ChoiceContext): number | undefined {
    return suitability(candidate, group, context)
  }
}
