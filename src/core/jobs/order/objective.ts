import { type Job, criticalPathMs, type StepTasks } from '../book'

/** The time from acceptance within which a completed job earns its full worth, in milliseconds. */
export function objectiveMs (job: Pick<Job, 'steps' | 'queue'>): number {
  return job.queue.slackFactor * criticalPathMs(job.steps) + job.queue.targetLatencyMs
}

/** The wall-clock time by which a job must be complete to earn its full worth, in milliseconds. */
export function dueAt (job: Job): number {
  return job.acceptedAt + objectiveMs(job)
}

/** A job earns nothing once it takes longer than this many objectives, according to the users' valuation of late jobs. */
export const worthlessAfterObjectives = 3

/** Whether a job that completes at a wall-clock time (milliseconds) earns nothing. */
export function isWorthless (job: Job, wallClock: number): boolean {
  return wallClock > job.acceptedAt + worthlessAfterObjectives * objectiveMs(job)
}

/** Whether the longest dependency chain from a step would end after the due time of its job, even if it started now. */
export function isLate (group: StepTasks, wallClock: number): boolean {
  return wallClock + remainingChainMs(group) > dueAt(group.job)
}

/** The declared length of the longest dependency chain that starts with this step, in milliseconds. */
function remainingChainMs ({ job, step, stepNumber }: StepTasks): number {
  if (stepNumber === job.steps.length - 1) return step.estimateMs
  const lengths = new Map<number, number>()
  for (let number = job.steps.length - 1; number >= stepNumber; number -= 1) {
    const after = Math.max(0, ...job.steps.flatMap((step, later) => step.dependsOn.includes(number) ? [lengths.get(later) ?? 0] : []))
    lengths.set(number, (job.steps[number]?.estimateMs ?? 0) + after)
  }
  return lengths.get(stepNumber) ?? 0
}
