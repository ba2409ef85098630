import { type Job, longestChainMs, type StepTasks } from '../book'

/** How long after its acceptance a job still earns its full worth, in milliseconds. */
export function objectiveMs (job: Pick<Job, 'steps' | 'queue'>): number {
  return job.queue.slackFactor * longestChainMs(job.steps) + job.queue.targetLatencyMs
}

/** The wall-clock time until which a job earns its full worth, in milliseconds. */
export function dueAt (job: Job): number {
  return job.acceptedAt + objectiveMs(job)
}

/** A job earns nothing after this many times its objective, as the users' valuation of late jobs says. */
export const worthlessAfterObjectives = 3

/** Whether a job earns nothing any more. */
export function isWorthless (job: Job, wallClock: number): boolean {
  return wallClock > job.acceptedAt + worthlessAfterObjectives * objectiveMs(job)
}

/** Whether the chain that begins with a step can't end within the objective any more, even if it starts at once. */
export function isLate (group: StepTasks, wallClock: number): boolean {
  return wallClock + remainingChainMs(group) > dueAt(group.job)
}

/** The declared length of the longest chain that begins with this step, in milliseconds. */
function remainingChainMs ({ job, step, stepNumber }: StepTasks): number {
  if (stepNumber === job.steps.length - 1) return step.estimateMs
  const lengths = new Map<number, number>()
  for (let number = job.steps.length - 1; number >= stepNumber; number -= 1) {
    const after = Math.max(0, ...job.steps.flatMap((step, later) => step.dependsOn.includes(number) ? [lengths.get(later) ?? 0] : []))
    lengths.set(number, (job.steps[number]?.estimateMs ?? 0) + after)
  }
  return lengths.get(stepNumber) ?? 0
}
