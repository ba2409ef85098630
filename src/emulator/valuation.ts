import type { EmulatedWorker, TaskTruth } from './emulatedWorker'
import type { Scenario } from './scenario'
import type { Arrival } from './workload'

/** How the jobs of one kind, one zone of callers and one size class ended. */
export interface Outcome {
  readonly kind: TaskTruth['kind']
  /** Empty if the scenario names no zones. */
  readonly zone: string
  /** The largest tenth of the kind by work, the fifth below, or what is left. */
  readonly size: 'largest' | 'large' | 'usual'
  readonly inTime: number
  /** Done within three objectives. */
  readonly late: number
  /** Not done by then. */
  readonly never: number
}

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
  /** How finite jobs ended, by kind, zone and size. */
  readonly outcomes: readonly Outcome[]
  /** Jain's index of the shares of their worth that callers' zones got: 1 if all are alike, 1 / zones if one has all. */
  readonly fairness: number
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
/** The largest tenth and the fifth below. */
const largestShare = 0.3
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
      outcomes: this.outcomes(outcome),
      fairness: this.fairness(outcome),
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
    return jainIndex([...zones.values()].map(({ owed, earned }) => earned / owed))
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

  /** Share of the largest filling jobs, down to a share of all of them, that completed. */
  private servedShare (share: number, outcome: RunOutcome): number {
    const jobs = this.jobsOf('filling', outcome).sort((a, b) => b.workMs - a.workMs)
    const largest = jobs.slice(0, Math.max(1, Math.ceil(jobs.length * share)))
    return largest.filter(job => outcome.endedAt.has(job.submission.jobId)).length / largest.length
  }

  /** The worth of the filling jobs that fit into all processors which serving and small tasks leave, the densest first. */
  private mostFillingWorth (outcome: RunOutcome): number {
    const { scenario, arrivals, finishMs } = this.options
    const serving = arrivals.filter(arrival => arrival.kind === 'serving')
      .reduce((sum, arrival) => sum + (arrival.submission.steps[0]?.count ?? 0) * (arrival.submission.steps[0]?.processors ?? 0) * scenario.serving.load, 0)
    const capacity = outcome.processors.reduce((sum, count) => sum + count, 0)
    const smallWork = arrivals.filter(arrival => arrival.kind === 'small').reduce((sum, arrival) => sum + arrival.workMs, 0)
    let left = (capacity - serving) * (scenario.seconds * 1000 + finishMs) - smallWork
    let worth = 0
    for (const job of this.jobsOf('filling', outcome).sort((a, b) => b.worth / b.workMs - a.worth / a.workMs)) {
      const work = job.workMs * leastUse
      worth += job.worth * Math.min(1, Math.max(0, left) / work)
      left -= work
    }
    return worth
  }
}

function endOf ({ submission, at, objectiveMs }: Arrival, { endedAt }: RunOutcome): 'inTime' | 'late' | 'never' {
  const tookMs = (endedAt.get(submission.jobId) ?? Number.POSITIVE_INFINITY) - at
  if (tookMs <= objectiveMs) return 'inTime'
  return tookMs <= lateFactor * objectiveMs ? 'late' : 'never'
}

function earnedBy (job: Arrival, outcome: RunOutcome): number {
  const end = endOf(job, outcome)
  return end === 'inTime' ? job.worth : end === 'late' ? job.lateWorth : 0
}

/** Jain's index of amounts; 1 if there are none. */
function jainIndex (amounts: readonly number[]): number {
  const sum = amounts.reduce((total, amount) => total + amount, 0)
  const squares = amounts.reduce((total, amount) => total + amount * amount, 0)
  return squares === 0 ? 1 : sum * sum / (amounts.length * squares)
}
