import type { JobScheduler } from '../core/jobs'
import type { Arrival } from './workload'

/** The error of predicted completion times, for jobs of one kind that were accepted at a similar load. */
export interface PredictionError {
  readonly kind: Arrival['kind']
  /** The lower bound of the backlog at acceptance, in seconds of the capacity. */
  readonly fromLoadS: number
  readonly jobs: number
  /** Jobs that completed while they still had worth. */
  readonly served: number
  /** Jobs that completed, with the mean and the mean absolute value of (actual - predicted time) / objective. */
  readonly done: number
  readonly meanError: number
  readonly meanAbsoluteError: number
  /** Jobs predicted to complete without worth, and those of them that completed while they still had worth. */
  readonly predictedLate: number
  readonly predictedLateServed: number
}

/** Counts of refused jobs and prediction errors of accepted ones. */
export interface RefusalOutcome {
  /** Jobs that were refused at least once. */
  readonly refused: number
  /** Refused jobs that were accepted on a retry, and refused jobs that completed while they still had worth. */
  readonly acceptedLater: number
  readonly servedLater: number
  readonly errors: readonly PredictionError[]
}

/** The parts of an emulation that its callers use. */
export interface EmulatedCallersOptions {
  readonly scheduler: () => JobScheduler
  /** Virtual time in milliseconds. */
  readonly now: () => number
  /** The virtual time at which the current leader took over, in milliseconds. */
  readonly leaderSince: () => number
  readonly runAfter: (delayMs: number, act: () => void) => void
}

interface Caller {
  readonly arrival: Arrival
  refusals: number
  isAccepted: boolean
  /** At acceptance: virtual time in milliseconds, predicted time to completion in milliseconds, and backlog in seconds. */
  acceptedAt: number
  endsInMs: number | undefined
  loadS: number
  isPredictedLate: boolean
}

/** Submissions of a job before its caller gives up, as the platform specifies. */
const attempts = 4
/** A new leader makes no predictions for this long, as it does not know the workers yet. */
const predictionDelayMs = 3000
/** A job that completes after this many objectives has no worth. */
const lateFactor = 3
/** Lower bounds of the load bands, in seconds of backlog. */
const loadBandsS = [0, 1, 3, 6] as const

/** Callers which submit jobs and retry after the delay given in a refusal. */
export class EmulatedCallers {
  private readonly callers: Caller[] = []

  constructor (private readonly options: EmulatedCallersOptions) {}

  submit (arrival: Arrival): void {
    const caller: Caller = { arrival, refusals: 0, isAccepted: false, acceptedAt: 0, endsInMs: undefined, loadS: 0, isPredictedLate: false }
    this.callers.push(caller)
    this.attempt(caller)
  }

  outcome (endedAt: ReadonlyMap<string, number>): RefusalOutcome {
    const isServed = ({ arrival }: Caller): boolean => (endedAt.get(arrival.submission.jobId) ?? Number.POSITIVE_INFINITY) <= arrival.at + lateFactor * arrival.objectiveMs
    const refused = this.callers.filter(caller => caller.refusals > 0)
    return {
      refused: refused.length,
      acceptedLater: refused.filter(caller => caller.isAccepted).length,
      servedLater: refused.filter(isServed).length,
      errors: (['filling', 'small'] as const).flatMap(kind => loadBandsS.map((fromLoadS, band) => {
        const jobs = this.callers.filter(caller => caller.arrival.kind === kind && caller.endsInMs !== undefined && caller.loadS >= fromLoadS && caller.loadS < (loadBandsS[band + 1] ?? Number.POSITIVE_INFINITY))
        const errors = jobs.flatMap(caller => {
          const ended = endedAt.get(caller.arrival.submission.jobId)
          return ended === undefined ? [] : [(ended - caller.acceptedAt - (caller.endsInMs ?? 0)) / caller.arrival.objectiveMs]
        })
        const late = jobs.filter(caller => caller.isPredictedLate)
        return { kind, fromLoadS, jobs: jobs.length, served: jobs.filter(isServed).length, done: errors.length, meanError: mean(errors), meanAbsoluteError: mean(errors.map(Math.abs)), predictedLate: late.length, predictedLateServed: late.filter(isServed).length }
      }))
    }
  }

  private attempt (caller: Caller): void {
    const { submission, queue } = caller.arrival
    const [scheduler, now] = [this.options.scheduler(), this.options.now()]
    const knowsWorkers = now - this.options.leaderSince() > predictionDelayMs
    const prediction = knowsWorkers ? scheduler.predictEnd(submission, queue, now) : undefined
    const refusal = scheduler.findOverload(submission, queue, now, knowsWorkers)
    if (refusal === undefined) {
      Object.assign(caller, { isAccepted: true, acceptedAt: now, endsInMs: prediction?.endsInMs, loadS: (prediction?.backlogMs ?? 0) / 1000, isPredictedLate: (prediction?.lateMs ?? 0) > 0 })
      scheduler.accept(submission, queue, now)
      return
    }
    caller.refusals += 1
    if (caller.refusals < attempts) this.options.runAfter(refusal.retryAfterMs, () => this.attempt(caller))
  }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
