import type { JobBook, StepTasks } from './jobBook'
import type { Candidate } from './candidate'
import { chooseWorker, type ChoiceContext } from './runPlacement'
import { orderSteps } from './startOrder'

/** In which order waiting tasks get workers, and which. */
export abstract class PlacementPolicy {
  /** The steps whose tasks may start at a wall-clock time, in the order in which they get workers. */
  abstract order (book: JobBook, wallClock: number): readonly StepTasks[]
  /** The worker of one more task of a step; undefined if it must wait. */
  abstract choose (candidates: readonly Candidate[], group: StepTasks, context: ChoiceContext): Candidate | undefined
}

/** By worth and time left, with what was learned of speeds and of pairs of images. */
export class LearningPolicy extends PlacementPolicy {
  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    return orderSteps(book, wallClock)
  }

  override choose (candidates: readonly Candidate[], group: StepTasks, context: ChoiceContext): Candidate | undefined {
    return chooseWorker(candidates, group, context)
  }
}
