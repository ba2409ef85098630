import type { WorkerHealth } from '../../health'
import type { JobBook } from '../book'
import type { WorkerRoster } from '../workers'

/** What the trials of workers depend on. */
export interface WorkerTrialsParts {
  readonly book: JobBook
  readonly roster: WorkerRoster
  readonly health: WorkerHealth
}

/** Pause between trials of a worker whose quarantine goes on, in milliseconds; the length of the first quarantine. */
const trialPauseMs = 3000

/** A run by which a worker on probation is tried. */
interface Trial {
  readonly task: string
  readonly run: number
}

/**
 * The runs by which workers on probation or in quarantine are tried, one at a time for each. Runs from before the quarantine don't count:
 * those that last would keep their worker on probation until their jobs are cancelled.
 */
export class WorkerTrials {
  private readonly trials = new Map<string, Trial>()
  /** When the last trial of a worker began, in milliseconds of the steady clock. */
  private readonly begunAt = new Map<string, number>()

  constructor (private readonly parts: WorkerTrialsParts) {}

  /** Forgets all trials, for a new leadership. */
  clear (): void {
    this.trials.clear()
    this.begunAt.clear()
  }

  /** Tries a worker by a run that it was just given. */
  begin (worker: string, trial: Trial, now: number): void {
    this.trials.set(worker, trial)
    this.begunAt.set(worker, now)
  }

  /** Whether a worker may be tried though its quarantine goes on. */
  mayBegin (worker: string, now: number): boolean {
    return !this.trials.has(worker) && now - (this.begunAt.get(worker) ?? Number.NEGATIVE_INFINITY) >= trialPauseMs
  }

  /** Clears workers whose long-running trial is at work, as such a run never ends as done, and forgets trials that are over. */
  settle (): void {
    for (const [worker, trial] of [...this.trials]) {
      if (this.isAtWork(worker, trial)) this.parts.health.succeeded(worker)
      else if (this.isLive(worker, trial)) continue
      this.trials.delete(worker)
    }
    for (const worker of this.begunAt.keys()) if (this.parts.roster.find(worker) === undefined) this.begunAt.delete(worker)
  }

  /** Whether a worker has not yet shown by its trial whether it is sound. */
  isOnTrial (worker: string): boolean { return this.trials.has(worker) }

  private isLive (worker: string, { task, run }: Trial): boolean {
    return this.parts.book.liveOn(worker).get(task)?.run === run
  }

  private isAtWork (worker: string, trial: Trial): boolean {
    const listed = this.parts.roster.find(worker)?.running.get(trial.task)
    return this.isLive(worker, trial) && this.parts.book.stepOf(trial.task)?.isLongRunning === true && listed?.run === trial.run && listed.percent >= 100
  }
}
