import type { StepTasks } from '../book'
import { isLate, isWorthless } from './objective'

/** Later than any priority of a queue. */
const lateRank = 1_000_000

/**
 * Long-running tasks first, then by priority; within one, jobs that can still meet their objectives before late ones,
 * as the order of due times alone makes everything late once load is above the room. What is worth nothing comes last.
 */
export function rankOf (group: StepTasks, wallClock: number): number {
  const { job, step } = group
  if (step.isLongRunning) return -1
  if (isWorthless(job, wallClock)) return Number.MAX_SAFE_INTEGER
  return job.queue.priority + (isLate(group, wallClock) ? lateRank : 0)
}
