import type { JobScheduler } from '../core/jobs'
import type { Arrival } from './workload'

/** How the model's predictions compare with what came, for jobs of one kind that were accepted at about the same load. */
export interface PredictionError {
  readonly kind: Arrival['kind']
  /** The backlog at acceptance, in seconds of the capacity: from this on. */
  readonly fromLoadS: number
  readonly jobs: number
  /** Jobs that were done while they were worth something. */
  readonly served: number
  /** Jobs that were done, with the mean of actual less predicted time over the objective, and of its absolute value. */
  readonly done: number
  readonly meanError: number
  readonly meanAbsoluteError: number
  /** Jobs predicted to end when they are worth nothing, and those of them that were done in time to be worth something. */
  readonly predictedLate: number
  readonly predictedLateServed: number
}

/** What became of refused jobs. */
export interface RefusalOutcome {
  /** Jobs that were refused at least once. */
  readonly refused: number
  /** Refused jobs that were accepted later, and those done while they were worth something. */
  readonly acceptedLater: number
  readonly servedLater: number
  readonly errors: readonly PredictionError[]
}

/** What the callers need of an emulation. */
export interface EmulatedCallersOptions {
  readonly scheduler: () => JobScheduler
  /** Milliseconds of virtual time. */
  readonly now: () => number
  /** When the present leader took over, in milliseconds. */
  readonly ledAt: () => number
  readonly later: (delayMs: number, act: () => void) => void
}

interface Caller {
  readonly arrival: Arrival
  refusals: number
  isAccepted: boolean
  /** At its acceptance: milliseconds of virtual time, milliseconds to the predicted end, and seconds of backlog. */
  acceptedAt: number
  endsInMs: number | undefined
  loadS: number
  isPredictedLate: boolean
}

/** A caller tries so often, as the platform states. */
const attempts = 4
/** The leader's time without predictions, in milliseconds. */
const workersKnownAfterMs = 3000
/** A job earns nothing after this many objectives. */
const lateFactor = 3
/** Bounds of the loads that are told apart, in seconds of backlog. */
const loadsS = [0, 1, 3, 6] as const

/** Callers which submit jobs and come back when they are refused. */
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
      errors: (['filling', 'small'] as const).flatMap(kind => loadsS.map((fromLoadS, band) => {
        const jobs = this.callers.filter(caller => caller.arrival.kind === kind && caller.endsInMs !== undefined && caller.loadS >= fromLoadS && caller.loadS < (loadsS[band + 1] ?? Number.POSITIVE_INFINITY))
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
    const knowsWorkers = now - this.options.ledAt() > workersKnownAfterMs
    const prediction = knowsWorkers ? scheduler.predictEnd(submission, queue, now) : undefined
    const refusal = scheduler.findOverload(submission, queue, now, knowsWorkers)
    if (refusal === undefined) {
      Object.assign(caller, { isAccepted: true, acceptedAt: now, endsInMs: prediction?.endsInMs, loadS: (prediction?.backlogMs ?? 0) / 1000, isPredictedLate: (prediction?.lateMs ?? 0) > 0 })
      scheduler.accept(submission, queue, now)
      return
    }
    caller.refusals += 1
    if (caller.refusals < attempts) this.options.later(refusal.retryAfterMs, () => this.attempt(caller))
  }
}

function mean (values: readonly number[]): number {
  return values.length === 0 ? 0 : values.reduce((sum, value) => sum + value, 0) / values.length
}
