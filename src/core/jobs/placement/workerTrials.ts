import type { WorkerHealth } from '../../health'
import type { JobBook } from '../book'
import type { WorkerRoster } from '../workers'

/** Dependencies of the worker trials. */
export interface WorkerTrialsParts {
  readonly book: JobBook
  readonly roster: WorkerRoster
  readonly health: WorkerHealth
}

/**
 * Minimum time between the starts of trials of a worker, in milliseconds. The platform allows a long-running task to wait for 3 s with room for
 * it; the rest is left until the trial is at work, so that others may start there, too.
 */
const trialIntervalMs = 2000

/** A run that tests whether a worker is healthy. */
interface Trial {
  readonly task: string
  readonly run: number
}

/**
 * The trial runs of workers on probation or in quarantine. A run without a result for long doesn't prevent the next trial: it may
 * be a batch task that lasts for minutes, or one that hangs while the worker is healthy again. Runs from before the quarantine
 * don't count as trials: long-running ones would keep their worker on probation until their jobs are cancelled.
 */
export class WorkerTrials {
  private readonly trials = new Map<string, Trial>()
  /** When the last trial of a worker began, in milliseconds of the steady clock. */
  private readonly begunAt = new Map<string, number>()

  constructor (private readonly parts: WorkerTrialsParts) {}

  /** Drops all trials at the beginning of a leadership. */
  clear (): void {
    this.trials.clear()
    this.begunAt.clear()
  }

  /** Begins a trial with a run that was just assigned to the worker. */
  begin (worker: string, trial: Trial, now: number): void {
    this.trials.set(worker, trial)
    this.begunAt.set(worker, now)
  }

  /** Whether a trial of a worker may begin with a long-running task that can't wait. */
  mayBegin (worker: string, now: number): boolean {
    return now - (this.begunAt.get(worker) ?? Number.NEGATIVE_INFINITY) >= trialIntervalMs
  }

  /** Marks workers as healthy whose long-running trial is at work, because such a run never ends as done, and drops trials that are over. */
  resolve (): void {
    for (const [worker, trial] of [...this.trials]) {
      if (this.isAtWork(worker, trial)) this.parts.health.succeeded(worker)
      else if (this.isLive(worker, trial)) continue
      this.trials.delete(worker)
    }
    for (const worker of this.begunAt.keys()) if (this.parts.roster.find(worker) === undefined) this.begunAt.delete(worker)
  }

  /** Whether a worker has a trial without a result yet. */
  isOnTrial (worker: string): boolean { return this.trials.has(worker) }

  private isLive (worker: string, { task, run }: Trial): boolean {
    return this.parts.book.liveOn(worker).get(task)?.run === run
  }

  private isAtWork (worker: string, trial: Trial): boolean {
    const listed = this.parts.roster.find(worker)?.running.get(trial.task)
    return this.isLive(worker, trial) && this.parts.book.stepOf(trial.task)?.isLongRunning === true && listed?.run === trial.run && listed.percent >= 100
  }
}
