import { countOccurrences, type Job, type Submission } from '../book'
import type { TaskDurations } from '../durations'

/** The declared work of all occurrences of a job, in processor-milliseconds. */
export function declaredWork (job: Pick<Submission, 'steps' | 'schedule'>): number {
  return countOccurrences(job) * job.steps.reduce((sum, step) => sum + step.count * step.estimateMs * step.processors, 0)
}

/** Share of a running task that counts as remaining, as its progress is not known here. */
const liveRemainingShare = 0.5

/** The expected work of a job that is not done, in processor-milliseconds. */
export function remainingWork (job: Job, durations: TaskDurations): number {
  const workOfTask = job.steps.map(step => durations.ofStep(job, step) * step.processors)
  let work = 0
  for (const { state, step } of job.tasks) {
    if (state !== 'done') work += (workOfTask[step] ?? 0) * (state === 'live' ? liveRemainingShare : 1)
  }
  return work
}
