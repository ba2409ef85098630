import { countOccurrences, type Job, type JobBook, type StepTasks } from '../book'
import { rankOf } from './stepRank'
import type { PoolCapacity, ZoneShare } from './zoneShares'

/** In which order waiting tasks get workers. */
export abstract class JobOrder {
  /** The steps whose tasks may start at a wall-clock time (milliseconds), in the order in which they get workers. */
  abstract order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[]

  /** The rank of a step at a wall-clock time, the lower the earlier; only within one rank do jobs compete. */
  rankOf (group: StepTasks, wallClock: number): number { return rankOf(group, wallClock) }

  /** Forgets what it has seen, for a new leadership. */
  clear (): void {}

  /** How callers' zones stand, if they get fair shares. */
  reportShares (): readonly ZoneShare[] { return [] }
}

/** The steps whose tasks may start at a wall-clock time. */
export function startableSteps (book: JobBook, wallClock: number): StepTasks[] {
  const groups: StepTasks[] = []
  for (const job of book.openJobs()) {
    for (const group of book.startableSteps(job)) if (isDue(group, wallClock)) groups.push(group)
  }
  return groups
}

/** Under load above the room, many jobs half done earn nothing: one that has begun is finished before another begins. */
export function begunFirst (job: Job): number {
  return job.state === 'active' ? 0 : 1
}

function isDue ({ job, occurrence }: StepTasks, wallClock: number): boolean {
  const { schedule } = job
  return schedule === undefined || countOccurrences(job) <= occurrence || wallClock >= schedule.startAtMs + occurrence * schedule.intervalMs
}
