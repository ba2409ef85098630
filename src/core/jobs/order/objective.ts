import { type Job, criticalPathMs, type StepTasks } from '../book'
import { declaredDurations, type TaskDurations } from '../durations'

/** The time from acceptance within which a completed job earns its full worth, in milliseconds. */
export function objectiveMs (job: Pick<Job, 'steps' | 'queue'>, durations: TaskDurations = declaredDurations): number {
  return job.queue.slackFactor * criticalPathMs(job.steps, step => durations.ofStep(job, step)) + job.queue.targetLatencyMs
}

/** The wall-clock time by which a job must be complete to earn its full worth, in milliseconds. */
export function dueAt (job: Job, durations: TaskDurations): number {
  return job.acceptedAt + objectiveMs(job, durations)
}

/** A job earns nothing once it takes longer than this many objectives, according to the users' valuation of late jobs. */
export const worthlessAfterObjectives = 3

/** The wall-clock time from which a job earns nothing, in milliseconds. */
export function worthlessAt (job: Job, durations: TaskDurations): number {
  return job.acceptedAt + worthlessAfterObjectives * objectiveMs(job, durations)
}

/** Whether a job that completes at a wall-clock time (milliseconds) earns nothing. */
export function isWorthless (job: Job, wallClock: number, durations: TaskDurations): boolean {
  return wallClock > worthlessAt(job, durations)
}

/** Whether the longest dependency chain from a step would end after the due time of its job, even if it started now. */
export function isLate (group: StepTasks, wallClock: number, durations: TaskDurations): boolean {
  return wallClock + remainingChainMs(group, durations) > dueAt(group.job, durations)
}

/** The expected length of the longest dependency chain that starts with this step, in milliseconds. */
function remainingChainMs ({ job, step, stepNumber }: StepTasks, durations: TaskDurations): number {
  if (stepNumber === job.steps.length - 1) return durations.ofStep(job, step)
  const lengths = new Map<number, number>()
  for (let number = job.steps.length - 1; number >= stepNumber; number -= 1) {
    const after = Math.max(0, ...job.steps.flatMap((later, position) => later.dependsOn.includes(number) ? [lengths.get(position) ?? 0] : []))
    const current = job.steps[number]
    lengths.set(number, (current === undefined ? 0 : durations.ofStep(job, current)) + after)
  }
  return lengths.get(stepNumber) ?? 0
}
