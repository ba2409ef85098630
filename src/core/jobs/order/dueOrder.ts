import type { JobBook, StepTasks } from '../book'
import { activeFirstKey, JobOrder, startableSteps } from './jobOrder'
import { dueAt } from './objective'

/**
 * Earliest due date first within a rank, with the steps of started jobs before those of queued ones. Long-running steps follow due dates only:
 * their jobs are not completed sooner, and a younger one would take the room that is being made for an older one.
 */
export class DueOrder extends JobOrder {
  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    return startableSteps(book, wallClock)
      .map(group => ({ group, rank: this.rankOf(group, wallClock), begun: group.step.isLongRunning ? 0 : activeFirstKey(group.job), due: dueAt(group.job, this.durations) }))
      .sort((a, b) => a.rank - b.rank || a.begun - b.begun || a.due - b.due)
      .map(({ group }) => group)
  }
}
