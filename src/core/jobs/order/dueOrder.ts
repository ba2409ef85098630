import type { JobBook, StepTasks } from '../book'
import { begunFirst, JobOrder, startableSteps } from './jobOrder'
import { dueAt } from './objective'

/** Within a rank, begun jobs first, and then by the times at which jobs are due. */
export class DueOrder extends JobOrder {
  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    return startableSteps(book, wallClock)
      .sort((a, b) => this.rankOf(a, wallClock) - this.rankOf(b, wallClock) || begunFirst(a.job) - begunFirst(b.job) || dueAt(a.job) - dueAt(b.job))
  }
}
