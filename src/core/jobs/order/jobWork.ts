import { countOccurrences, type Job, type JobTask, type Submission } from '../book'

/** The declared work of all occurrences of a job, in processor-milliseconds. */
export function declaredWork (job: Pick<Submission, 'steps' | 'schedule'>): number {
  return countOccurrences(job) * job.steps.reduce((sum, step) => sum + step.count * step.estimateMs * step.processors, 0)
}

/** Share of a running task that counts as remaining, as its progress is not known here. */
const liveRemainingShare = 0.5

/** The declared work of a job that is not done, in processor-milliseconds. */
export function remainingWork (job: Job): number {
  return sumWork(job, task => task.state === 'done' ? 0 : task.state === 'live' ? liveRemainingShare : 1)
}

function sumWork ({ tasks, steps }: Job, share: (task: JobTask) => number): number {
  let work = 0
  for (const task of tasks) {
    const step = steps[task.step]
    if (step !== undefined) work += step.estimateMs * step.processors * share(task)
  }
  return work
}
