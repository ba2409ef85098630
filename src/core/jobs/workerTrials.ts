import type { WorkerHealth } from '../health'
import type { JobBook } from './jobBook'
import type { WorkerRoster } from './workerRoster'

/** What the trials of workers depend on. */
export interface WorkerTrialsParts {
  readonly book: JobBook
  readonly roster: WorkerRoster
  readonly health: WorkerHealth
}

/** A run by which a worker on probation is tried. */
interface Trial {
  readonly task: string
  readonly run: number
}

/**
 * The runs by which workers on probation are tried, one at a time for each. Runs from before the quarantine don't count:
 * those that last would keep their worker on probation until their jobs are cancelled.
 */
export class WorkerTrials {
  private readonly trials = new Map<string, Trial>()

  constructor (private readonly parts: WorkerTrialsParts) {}

  /** Forgets all trials, for a new leadership. */
  clear (): void { this.trials.clear() }

  /** Tries a worker by a run that it was just given. */
  begin (worker: string, trial: Trial): void { this.trials.set(worker, trial) }

  /** Clears workers whose long-running trial is at work, as such a run never ends as done, and forgets trials that are over. */
  settle (): void {
    for (const [worker, trial] of [...this.trials]) {
      if (this.isAtWork(worker, trial)) this.parts.health.succeeded(worker)
      else if (this.isLive(worker, trial)) continue
      this.trials.delete(worker)
    }
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
