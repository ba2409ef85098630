import type { EmulatedWorker, TaskTruth } from './emulatedWorker'
import type { Scenario } from './scenario'
import type { Arrival } from './workload'

/** What a run of a scenario earned. */
export interface EmulationResult {
  /** Share of what was owed, over all kinds. */
  readonly worth: number
  readonly servingWorth: number
  readonly fillingWorth: number
  readonly smallWorth: number
  readonly fillingInTime: number
  /** Share of the largest tenth of the filling jobs, and of all of them, that completed at all. */
  readonly largestServed: number
  readonly fillingServed: number
  readonly fillingJobs: number
  /** Seconds of serving tasks above their targets, over all tasks. */
  readonly disturbedS: number
  /** Sum of what was owed. */
  readonly owed: number
  /** The most that any schedule could earn, as a share of what was owed. */
  readonly bound: number
  /** Promises that were broken, for the scheduler must keep them under any load. */
  readonly broken: readonly string[]
}

/** What a valuation is made from. */
export interface ValuationOptions {
  readonly scenario: Scenario
  readonly arrivals: readonly Arrival[]
  /** Time after the end of the arrivals in which jobs may still end, in milliseconds. */
  readonly finishMs: number
}

/** How a run ended. */
export interface RunOutcome {
  /** When jobs were complete, by their ids. */
  readonly endedAt: ReadonlyMap<string, number>
  readonly cancelled: ReadonlySet<string>
  /** Processors of each worker. */
  readonly processors: readonly number[]
  readonly broken: readonly string[]
}

/** Every so long a serving job earns the share of its tasks that serve well, in milliseconds. */
export const servingSampleMs = 2000
/** A task disturbed by others costs its job this many shares. */
const disturbedFactor = 4
/** A late job earns up to this many times its objective. */
const lateFactor = 3
const largestTenth = 0.1
/** The least share of its declared processors that a task uses, so that the bound stays one. */
const leastUse = 0.67

/** What the jobs of a run are worth to the users, as the platform's pages value them. */
export class Valuation {
  private servingOwed = 0
  private servingEarned = 0
  private disturbedMs = 0

  constructor (private readonly options: ValuationOptions) {}

  /** Values the serving jobs of the time since the last sample. */
  sample (workers: readonly EmulatedWorker[]): void {
    const well = new Set(workers.flatMap(worker => worker.servingWell()))
    const disturbed = workers.reduce((sum, worker) => sum + worker.disturbedMs, 0) - this.disturbedMs
    this.disturbedMs += disturbed
    const jobs = this.options.arrivals.filter(arrival => arrival.kind === 'serving')
    const names = jobs.flatMap(({ submission }) => Array.from({ length: submission.steps[0]?.count ?? 0 }, (_, index) => `${submission.jobId}.0.0.${index}`))
    const good = names.filter(name => well.has(name)).length
    const worth = jobs.reduce((sum, job) => sum + job.worth, 0)
    const lost = (disturbedFactor - 1) * disturbed / servingSampleMs
    this.servingOwed += worth
    this.servingEarned += names.length === 0 ? 0 : worth * Math.max(0, good - lost) / names.length
  }

  /** Forgets a worker whose counts are no longer there. */
  forget (worker: EmulatedWorker): void { this.disturbedMs -= worker.disturbedMs }

  /** Values the whole run. */
  result (outcome: RunOutcome): EmulationResult {
    const filling = this.classWorth('filling', outcome)
    const small = this.classWorth('small', outcome)
    const owed = this.servingOwed + filling.owed + small.owed
    return {
      worth: (this.servingEarned + filling.earned + small.earned) / owed,
      servingWorth: this.servingEarned / Math.max(1e-9, this.servingOwed),
      fillingWorth: filling.earned / Math.max(1e-9, filling.owed),
      smallWorth: small.earned / Math.max(1e-9, small.owed),
      fillingInTime: filling.inTime,
      largestServed: this.servedShare(largestTenth, outcome),
      fillingServed: this.servedShare(1, outcome),
      fillingJobs: filling.jobs,
      disturbedS: this.disturbedMs / 1000,
      owed,
      bound: (this.servingOwed + small.owed + this.mostFillingWorth(outcome)) / owed,
      broken: outcome.broken
    }
  }

  private classWorth (kind: TaskTruth['kind'], outcome: RunOutcome): { readonly owed: number, readonly earned: number, readonly inTime: number, readonly jobs: number } {
    const jobs = this.options.arrivals.filter(arrival => arrival.kind === kind && !outcome.cancelled.has(arrival.submission.jobId))
    let earned = 0
    let inTime = 0
    for (const job of jobs) {
      const tookMs = (outcome.endedAt.get(job.submission.jobId) ?? Number.POSITIVE_INFINITY) - job.at
      if (tookMs <= job.objectiveMs) inTime += 1
      if (tookMs <= job.objectiveMs) earned += job.worth
      else if (tookMs <= lateFactor * job.objectiveMs) earned += job.lateWorth
    }
    return { owed: jobs.reduce((sum, job) => sum + job.worth, 0), earned, inTime, jobs: jobs.length }
  }

  /** Share of the largest filling jobs, down to a share of all of them, that completed. */
  private servedShare (share: number, { endedAt, cancelled }: RunOutcome): number {
    const jobs = this.fillingJobs(cancelled).sort((a, b) => b.workMs - a.workMs)
    const largest = jobs.slice(0, Math.max(1, Math.ceil(jobs.length * share)))
    return largest.filter(job => endedAt.has(job.submission.jobId)).length / largest.length
  }

  /** The worth of the filling jobs that fit into all processors which serving and small tasks leave, the densest first. */
  private mostFillingWorth ({ processors, cancelled }: RunOutcome): number {
    const { scenario, arrivals, finishMs } = this.options
    const serving = arrivals.filter(arrival => arrival.kind === 'serving')
      .reduce((sum, arrival) => sum + (arrival.submission.steps[0]?.count ?? 0) * (arrival.submission.steps[0]?.processors ?? 0) * scenario.serving.load, 0)
    const capacity = processors.reduce((sum, count) => sum + count, 0)
    const smallWork = arrivals.filter(arrival => arrival.kind === 'small').reduce((sum, arrival) => sum + arrival.workMs, 0)
    let left = (capacity - serving) * (scenario.seconds * 1000 + finishMs) - smallWork
    let worth = 0
    for (const job of this.fillingJobs(cancelled).sort((a, b) => b.worth / b.workMs - a.worth / a.workMs)) {
      const work = job.workMs * leastUse
      worth += job.worth * Math.min(1, Math.max(0, left) / work)
      left -= work
    }
    return worth
  }

  private fillingJobs (cancelled: ReadonlySet<string>): Arrival[] {
    return this.options.arrivals.filter(arrival => arrival.kind === 'filling' && !cancelled.has(arrival.submission.jobId))
  }
}
