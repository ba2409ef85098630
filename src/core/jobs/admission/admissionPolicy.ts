import { countOccurrences, type Queue, type Submission } from '../book'
import { objectiveMs, worthlessAfterObjectives } from '../order'
import { type BacklogModel, chainMsOf, countTasks } from './backlogModel'
import { predictEnd, type UsableCapacity } from './prediction'
import type { RefusedJobs } from './refusedJobs'

/** A job that asks to be accepted, and what is known then. */
export interface AdmissionRequest {
  readonly submission: Submission
  readonly queue: Queue
  readonly model: BacklogModel
  readonly refused: RefusedJobs
  /** The usable capacity of the pool; undefined while the workers are not known. */
  readonly capacity: UsableCapacity | undefined
  /** Milliseconds of the wall clock. */
  readonly now: number
}

/** Why a job is not accepted. */
export interface Overload {
  readonly cause: 'waitingTasks' | 'late'
  /** When capacity for it is expected, in milliseconds from now; infinite if that can't be told. */
  readonly waitMs: number
  /** How much later than worth anything it would end, in milliseconds; undefined if that was not predicted. */
  readonly lateMs?: number | undefined
}

/** Decides whether a job is accepted under load. */
export abstract class AdmissionPolicy {
  /** Why a job is refused; undefined if it is accepted. */
  abstract findOverload (request: AdmissionRequest): Overload | undefined
}

/** Accepts every job. */
export class AcceptAllPolicy extends AdmissionPolicy {
  override findOverload (): Overload | undefined { return undefined }
}

/** Options of a policy that limits what is accepted. */
export interface LimitingPolicyOptions {
  /** Waiting tasks above which no job is accepted; undefined for no bound. */
  readonly maximumWaitingTasks?: number | undefined
  /** Whether jobs are refused whose end is predicted for a time when they are worth nothing. */
  readonly rejectsLate: boolean
}

/**
 * Share of the bound that is kept for more urgent queues, if there are any: without it a burst of large jobs shuts out small
 * urgent ones, of which 7% of the value was lost in the scenario overload-burst with a bound of 400.
 */
const urgentShare = 0.25

/**
 * Bounds waiting tasks, and refuses what certainly ends too late to be worth anything. Addresses a demand above capacity:
 * memory stays bounded, and a caller learns at once that it has to come back or go elsewhere.
 */
export class LimitingPolicy extends AdmissionPolicy {
  constructor (private readonly options: LimitingPolicyOptions) { super() }

  override findOverload (request: AdmissionRequest): Overload | undefined {
    return this.findExcess(request) ?? (this.options.rejectsLate ? findLate(request) : undefined)
  }

  /** A job must fit now, and must leave the room that earlier-refused ones will find when they return. */
  private findExcess ({ submission, queue, model, refused, now }: AdmissionRequest): Overload | undefined {
    const { maximumWaitingTasks = Number.POSITIVE_INFINITY } = this.options
    if (model.waitingTasks === 0 || maximumWaitingTasks === Number.POSITIVE_INFINITY) return undefined
    const tasksPerS = model.drainOf(queue.pool, now).tasks
    const most = maximumWaitingTasks * (model.hasMoreUrgent(queue.priority) ? 1 - urgentShare : 1)
    let excess = model.waitingTasks + countTasks(submission) - most
    let kept = excess
    for (const { tasks, returnsAt } of refused.expectedBefore(submission.jobId, queue.pool, queue.priority, now)) {
      kept += tasks
      excess = Math.max(excess, kept - tasksPerS * Math.max(0, returnsAt - now) / 1000)
    }
    return excess <= 0 ? undefined : { cause: 'waitingTasks', waitMs: excess * 1000 / tasksPerS }
  }
}

function findLate (request: AdmissionRequest): Overload | undefined {
  const { submission, queue, refused, capacity, now } = request
  if (capacity === undefined) return undefined
  const expected = refused.expectedBefore(submission.jobId, queue.pool, queue.priority, now)
  const prediction = predictEnd({ ...request, capacity, expected })
  return prediction === undefined || prediction.lateMs <= 0 ? undefined : { cause: 'late', waitMs: prediction.lateMs, lateMs: prediction.lateMs }
}

/** Until when a job may still begin in time, and be worth anything, if it came first at a time of the wall clock, in milliseconds of it. */
export function latestBegins (submission: Submission, queue: Queue, model: BacklogModel, firstAt: number): { readonly inTime: number, readonly worthAnything: number } {
  if (submission.steps.some(step => step.isLongRunning) || countOccurrences(submission) > 1) return { inTime: Number.POSITIVE_INFINITY, worthAnything: Number.POSITIVE_INFINITY }
  const [objective, chainMs] = [objectiveMs({ steps: submission.steps, queue }), chainMsOf(submission, queue, model)]
  return { inTime: firstAt + objective - chainMs, worthAnything: firstAt + worthlessAfterObjectives * objective - chainMs }
}
