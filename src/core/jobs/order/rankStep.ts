import type { StepTasks } from '../book'
import type { TaskDurations } from '../durations'
import { isLate, isWorthless } from './objective'

/** Added to the rank of late steps; larger than any priority of a queue. */
const lateRankOffset = 1_000_000

/**
 * Ranks a step; lower ranks come first. Long-running steps come first, then steps by priority. Within a priority, jobs that
 * can still meet their objective come before late ones, because earliest due date first alone makes every job late under
 * overload. Worthless jobs come last.
 */
export function rankStep (group: StepTasks, wallClock: number, durations: TaskDurations): number {
  const { job, step } = group
  if (step.isLongRunning) return -1
  if (isWorthless(job, wallClock, durations)) return Number.MAX_SAFE_INTEGER
  return job.queue.priority + (isLate(group, wallClock, durations) ? lateRankOffset : 0)
}
