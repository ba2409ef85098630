import { disturbedShareFactor, worthlessAfterObjectives } from '../core/jobs'
import type { EmulatedWorker, TaskTruth } from './emulatedWorker'
import type { Scenario } from './scenario'
import type { Arrival } from './workload'

/** Counts of how the jobs of one kind, caller zone and size class ended. */
export interface Outcome {
  readonly kind: TaskTruth['kind']
  /** Empty if the scenario names no zones. */
  readonly zone: string
  /** By work within the kind: the largest tenth, the next fifth, or the rest. */
  readonly size: 'largest' | 'large' | 'usual'
  readonly inTime: number
  /** Completed after the objective, but within three times the objective. */
  readonly late: number
  /** Not completed within three times the objective. */
  readonly never: number
}

/** The worth earned in a run of a scenario, and related counts. */
export interface EmulationResult {
  /** The earned share of the attainable worth, over all kinds of jobs. */
  readonly worth: number
  readonly servingWorth: number
  readonly fillingWorth: number
  readonly smallWorth: number
  readonly fillingInTime: number
  /** The shares of the largest tenth of filling jobs and of all filling jobs that completed, late or not. */
  readonly largestServed: number
  readonly fillingServed: number
  readonly fillingJobs: number
  /** The time for which serving tasks were above their targets, in seconds summed over all tasks. */
  readonly disturbedS: number
  /** The total worth of all jobs if served in time. */
  readonly owed: number
  /** An upper bound of the worth that any schedule can earn, as a share of `owed`. */
  readonly bound: number
  /** How finite jobs ended, by kind, zone and size. */
  readonly outcomes: readonly Outcome[]
  /** Jain's fairness index of the earned shares of caller zones: 1 if all are equal, 1 / zones if one zone got everything. */
  readonly fairness: number
  /** Workers that crashed under a task that crashes each of its workers. */
  readonly crashes: number
  /** Violations of invariants that the scheduler must keep under any load. */
  readonly broken: readonly string[]
}

/** Options of a valuation. */
export interface ValuationOptions {
  readonly scenario: Scenario
  readonly arrivals: readonly Arrival[]
  /** The time after the last arrivals in which jobs may still complete, in milliseconds. */
  readonly finishMs: number
}

/** The final state of a run, from which it is valued. */
export interface RunOutcome {
  /** The completion times of jobs by id, in milliseconds of virtual time. */
  readonly endedAt: ReadonlyMap<string, number>
  readonly cancelled: ReadonlySet<string>
  /** Processors of each worker. */
  readonly processors: readonly number[]
  readonly crashes: number
  readonly broken: readonly string[]
}

/** The interval at which a serving job earns worth in proportion to its tasks within their latency targets. */
export const servingSampleMs = 2000
const largestTenth = 0.1
/** The largest tenth and the next fifth together. */
const largestShare = 0.3
/** The minimum share of its declared processors that a task uses; a higher value would invalidate the upper bound. */
const minimumUsedShare = 0.67

/** Computes the worth of a run's jobs to users, by the platform's valuation. */
export class Valuation {
  private servingOwed = 0
  private servingEarned = 0
  private disturbedMs = 0

  constructor (private readonly options: ValuationOptions) {}

  /** Adds the worth of the serving jobs for the time since the last sample. */
  sample (workers: readonly EmulatedWorker[]): void {
    const well = new Set(workers.flatMap(worker => worker.listServingWithinTarget()))
    const disturbed = workers.reduce((sum, worker) => sum + worker.disturbedMs, 0) - this.disturbedMs
    this.disturbedMs += disturbed
    const jobs = this.options.arrivals.filter(arrival => arrival.kind === 'serving')
    const names = jobs.flatMap(({ submission }) => Array.from({ length: submission.steps[0]?.count ?? 0 }, (_, index) => `${submission.jobId}.0.0.${index}`))
    const good = names.filter(name => well.has(name)).length
    const worth = jobs.reduce((sum, job) => sum + job.worth, 0)
    const lost = (disturbedShareFactor - 1) * disturbed / servingSampleMs
    this.servingOwed += worth
    this.servingEarned += names.length === 0 ? 0 : worth * Math.max(0, good - lost) / names.length
  }

  /** Removes the counts of a worker that is replaced, as they are no longer part of the sums over all workers. */
  discardWorker (worker: EmulatedWorker): void { this.disturbedMs -= worker.disturbedMs }

  /** Computes the result of the complete run. */
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
      bound: (this.servingOwed + small.owed + this.boundFillingWorth(outcome)) / owed,
      outcomes: this.outcomes(outcome),
      fairness: this.fairness(outcome),
      crashes: outcome.crashes,
      broken: outcome.broken
    }
  }

  private outcomes (outcome: RunOutcome): readonly Outcome[] {
    const found = new Map<string, Outcome>()
    for (const kind of ['filling', 'small'] as const) {
      const jobs = this.jobsOf(kind, outcome).sort((a, b) => b.workMs - a.workMs)
      jobs.forEach((job, position) => {
        const size = position < jobs.length * largestTenth ? 'largest' : position < jobs.length * largestShare ? 'large' : 'usual'
        const zone = job.submission.originZone ?? ''
        const key = `${kind}.${zone}.${size}`
        const counts = found.get(key) ?? { kind, zone, size, inTime: 0, late: 0, never: 0 }
        const end = endOf(job, outcome)
        found.set(key, { ...counts, [end]: counts[end] + 1 })
      })
    }
    return [...found.values()]
  }

  private fairness (outcome: RunOutcome): number {
    const zones = new Map<string, { owed: number, earned: number }>()
    for (const job of [...this.jobsOf('filling', outcome), ...this.jobsOf('small', outcome)]) {
      const zone = job.submission.originZone ?? ''
      const sums = zones.get(zone) ?? { owed: 0, earned: 0 }
      zones.set(zone, { owed: sums.owed + job.worth, earned: sums.earned + earnedBy(job, outcome) })
    }
    return computeJainIndex([...zones.values()].map(({ owed, earned }) => earned / owed))
  }

  private jobsOf (kind: TaskTruth['kind'], { cancelled }: RunOutcome): Arrival[] {
    return this.options.arrivals.filter(arrival => arrival.kind === kind && !cancelled.has(arrival.submission.jobId))
  }

  private classWorth (kind: TaskTruth['kind'], outcome: RunOutcome): { readonly owed: number, readonly earned: number, readonly inTime: number, readonly jobs: number } {
    const jobs = this.jobsOf(kind, outcome)
    return {
      owed: jobs.reduce((sum, job) => sum + job.worth, 0),
      earned: jobs.reduce((sum, job) => sum + earnedBy(job, outcome), 0),
      inTime: jobs.filter(job => endOf(job, outcome) === 'inTime').length,
      jobs: jobs.length
    }
  }

  /** The completed share of the largest filling jobs, where `share` is the part of all filling jobs that is considered. */
  private servedShare (share: number, outcome: RunOutcome): number {
    const jobs = this.jobsOf('filling', outcome).sort((a, b) => b.workMs - a.workMs)
    const largest = jobs.slice(0, Math.max(1, Math.ceil(jobs.length * share)))
    return largest.filter(job => outcome.endedAt.has(job.submission.jobId)).length / largest.length
  }

  /** The worth of the filling jobs that fit into the processor time left by serving and small tasks, in descending order of worth per work: the fractional knapsack bound. */
  private boundFillingWorth (outcome: RunOutcome): number {
    const { scenario, arrivals, finishMs } = this.options
    const serving = arrivals.filter(arrival => arrival.kind === 'serving')
      .reduce((sum, arrival) => sum + (arrival.submission.steps[0]?.count ?? 0) * (arrival.submission.steps[0]?.processors ?? 0) * scenario.serving.load, 0)
    const capacity = outcome.processors.reduce((sum, count) => sum + count, 0)
    const smallWork = arrivals.filter(arrival => arrival.kind === 'small').reduce((sum, arrival) => sum + arrival.workMs, 0)
    let left = (capacity - serving) * (scenario.seconds * 1000 + finishMs) - smallWork
    let worth = 0
    for (const job of this.jobsOf('filling', outcome).sort((a, b) => b.worth / b.workMs - a.worth / a.workMs)) {
      const work = job.workMs * minimumUsedShare
      worth += job.worth * Math.min(1, Math.max(0, left) / work)
      left -= work
    }
    return worth
  }
}

function endOf ({ submission, at, objectiveMs }: Arrival, { endedAt }: RunOutcome): 'inTime' | 'late' | 'never' {
  const elapsedMs = (endedAt.get(submission.jobId) ?? Number.POSITIVE_INFINITY) - at
  if (elapsedMs <= objectiveMs) return 'inTime'
  return elapsedMs <= worthlessAfterObjectives * objectiveMs ? 'late' : 'never'
}

function earnedBy (job: Arrival, outcome: RunOutcome): number {
  const end = endOf(job, outcome)
  return end === 'inTime' ? job.worth : end === 'late' ? job.lateWorth : 0
}

/** Jain's fairness index of amounts; 1 if all are zero or there are none. */
function computeJainIndex (amounts: readonly number[]): number {
  const sum = amounts.reduce((total, amount) => total + amount, 0)
  const squares = amounts.reduce((total, amount) => total + amount * amount, 0)
  return squares === 0 ? 1 : sum * sum / (amounts.length * squares)
}
