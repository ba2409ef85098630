import { countOccurrences, type Job, type JobBook, type StepTasks } from '../book'
import { declaredDurations, type TaskDurations } from '../durations'
import { rankStep } from './rankStep'
import type { PoolCapacity, ZoneShare } from './zoneShares'

/** The order in which waiting tasks are assigned to workers. */
export abstract class JobOrder {
  /** Due times and remaining work are computed from `durations`. */
  constructor (protected readonly durations: TaskDurations = declaredDurations) {}

  /** Returns the steps whose tasks may start at a wall-clock time (milliseconds), in the order of assignment. */
  abstract order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[]

  /** The rank of a step at a wall-clock time (milliseconds). Lower ranks come first; the order of jobs only matters within a rank. */
  rankOf (group: StepTasks, wallClock: number): number { return rankStep(group, wallClock, this.durations) }

  /** Discards all learned state when a new leadership begins. */
  clear (): void {}

  /** The shares of callers' zones; empty if the order does not share fairly. */
  reportShares (): readonly ZoneShare[] { return [] }
}

/** The steps whose tasks may start at a wall-clock time (milliseconds), unordered. */
export function startableSteps (book: JobBook, wallClock: number): StepTasks[] {
  const groups: StepTasks[] = []
  for (const job of book.openJobs()) {
    for (const group of book.startableSteps(job)) if (isDue(group, wallClock)) groups.push(group)
  }
  return groups
}

/**
 * Sort key that places started jobs (0) before queued ones (1). Under overload, many partly finished jobs earn nothing, so
 * a started job is completed before another one starts.
 */
export function activeFirstKey (job: Job): number {
  return job.state === 'active' ? 0 : 1
}

function isDue ({ job, occurrence }: StepTasks, wallClock: number): boolean {
  const { schedule } = job
  return schedule === undefined || countOccurrences(job) <= occurrence || wallClock >= schedule.startAtMs + occurrence * schedule.intervalMs
}
