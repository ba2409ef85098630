import { nameTask, type JobTask, type StepTasks } from '../book'

/**
 * How long a long-running task may wait for a worker without suspects of crashes, in milliseconds. The platform expects it to run
 * again within 6 s; the rest is left for detecting the end of its last run, electing a leader, and the start.
 */
const maximumWaitMs = 1500
/**
 * How long it may wait for a worker that is held for other long-running tasks, in milliseconds: the time in which these get their room if
 * the tasks that are preempted for them stop in time.
 */
const maximumHoldMs = 3400
/** Wait after which a long-running task is reported, and the interval of further reports of its step, in milliseconds; a third of these 6 s. */
export const reportIntervalMs = 2000

/** Since when long-running tasks have waited for a worker, and which steps are due to be reported for it; soft state of one leader. */
export class LongRunningWaits {
  /** In milliseconds of the steady clock, by the names of the tasks. */
  private waitingSince: ReadonlyMap<string, number> = new Map()
  private isFirstPlan = true
  /** When steps were last reported, in milliseconds of the steady clock, by their names. */
  private readonly reportedAt = new Map<string, number>()

  /** Drops all waits at the beginning of a leadership. */
  clear (): void {
    this.waitingSince = new Map()
    this.reportedAt.clear()
    this.isFirstPlan = true
  }

  /** Begins a plan for these steps. Tasks that wait already when a leadership begins are overdue, as nobody knows since when they wait. */
  begin (groups: readonly StepTasks[], now: number): void {
    const unknownSince = this.isFirstPlan ? now - maximumWaitMs : now
    const waitingSince = new Map<string, number>()
    for (const { step, tasks } of groups) {
      if (!step.isLongRunning) continue
      for (const task of tasks) if (task.state === 'waiting') waitingSince.set(nameTask(task), this.waitingSince.get(nameTask(task)) ?? unknownSince)
    }
    this.waitingSince = waitingSince
    this.isFirstPlan = false
    for (const [step, at] of this.reportedAt) if (now - at >= reportIntervalMs) this.reportedAt.delete(step)
  }

  /** Whether a waiting task must start on any worker with room that is not held for other long-running tasks; false for tasks that are not long-running. */
  isOverdue (task: JobTask, now: number): boolean { return this.waitingMs(task, now) >= maximumWaitMs }

  /** Whether a waiting task must start on any worker with room, held or not; false for tasks that are not long-running. */
  hasOutlastedHolds (task: JobTask, now: number): boolean { return this.waitingMs(task, now) >= maximumHoldMs }

  /** The longest wait of the tasks of a step that still wait, in milliseconds, if it is due to be reported, which it then is no longer. */
  takeReport (step: string, tasks: readonly JobTask[], now: number): number | undefined {
    const waitingMs = tasks.reduce((longest, task) => task.state === 'waiting' ? Math.max(longest, now - (this.waitingSince.get(nameTask(task)) ?? now)) : longest, 0)
    if (waitingMs < reportIntervalMs || this.reportedAt.has(step)) return undefined
    this.reportedAt.set(step, now)
    return waitingMs
  }

  private waitingMs (task: JobTask, now: number): number { return now - (this.waitingSince.get(nameTask(task)) ?? Number.POSITIVE_INFINITY) }
}
