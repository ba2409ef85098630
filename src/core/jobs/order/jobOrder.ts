import { countOccurrences, type Job, type JobBook, longestChainMs, type StepTasks } from '../book'

/** How long after its acceptance a job still earns its full worth, in milliseconds. */
export function objectiveMs (job: Pick<Job, 'steps' | 'queue'>): number {
  return job.queue.slackFactor * longestChainMs(job.steps) + job.queue.targetLatencyMs
}

/** The steps whose tasks may start now, in the order in which they get workers. */
export function orderSteps (book: JobBook, wallClock: number): readonly StepTasks[] {
  const groups: StepTasks[] = []
  for (const job of book.openJobs()) {
    for (const group of book.startableSteps(job)) if (isDue(group, wallClock)) groups.push(group)
  }
  return groups.sort((a, b) => rankOf(a, wallClock) - rankOf(b, wallClock) || begunFirst(a.job) - begunFirst(b.job) || dueAt(a.job) - dueAt(b.job))
}

/** Under load above the room, many jobs half done earn nothing: one that has begun is finished before another begins. */
function begunFirst (job: Job): number {
  return job.state === 'active' ? 0 : 1
}

function dueAt (job: Job): number {
  return job.acceptedAt + objectiveMs(job)
}

/** A job earns nothing after this many times its objective, as the users' valuation of late jobs says. */
const worthlessAfterObjectives = 3

/** Later than any priority of a queue. */
const lateRank = 1_000_000

/**
 * Long-running tasks first, then by priority; within one, jobs that can still meet their objectives before late ones,
 * as the order of due times alone makes everything late once load is above the room. What is worth nothing comes last.
 */
function rankOf (group: StepTasks, wallClock: number): number {
  const { job, step } = group
  if (step.isLongRunning) return -1
  if (wallClock > job.acceptedAt + worthlessAfterObjectives * objectiveMs(job)) return Number.MAX_SAFE_INTEGER
  return job.queue.priority + (wallClock + remainingChainMs(group) > dueAt(job) ? lateRank : 0)
}

/** The declared length of the longest chain that begins with this step, in milliseconds. */
function remainingChainMs ({ job, stepNumber }: StepTasks): number {
  const lengths = new Map<number, number>()
  for (let number = job.steps.length - 1; number >= stepNumber; number -= 1) {
    const after = Math.max(0, ...job.steps.flatMap((step, later) => step.dependsOn.includes(number) ? [lengths.get(later) ?? 0] : []))
    lengths.set(number, (job.steps[number]?.estimateMs ?? 0) + after)
  }
  return lengths.get(stepNumber) ?? 0
}

function isDue ({ job, occurrence }: StepTasks, wallClock: number): boolean {
  const { schedule } = job
  return schedule === undefined || countOccurrences(job) <= occurrence || wallClock >= schedule.startAtMs + occurrence * schedule.intervalMs
}
