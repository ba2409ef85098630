import { countOccurrences, type Queue, type Submission } from '../book'
import { objectiveMs, worthlessAfterObjectives } from '../order'
import { type BacklogModel, chainMsOf, countTasks } from './backlogModel'
import { predictEnd, type UsableCapacity } from './prediction'
import type { RefusedJobs } from './refusedJobs'

/** A submitted job, and the state from which the policy decides on it. */
export interface AdmissionRequest {
  readonly submission: Submission
  readonly queue: Queue
  readonly model: BacklogModel
  readonly refused: RefusedJobs
  /** Usable capacity of the pool of the queue; undefined while the workers are not known. */
  readonly capacity: UsableCapacity | undefined
  /** Wall-clock time in milliseconds. */
  readonly now: number
}

/** The reason why a job is not accepted. */
export interface Overload {
  readonly cause: 'waitingTasks' | 'late'
  /** Expected time until there is capacity for the job, in milliseconds; infinite if it can't be predicted. */
  readonly waitMs: number
  /** Time from the moment at which the job becomes worthless to its predicted end, in milliseconds; undefined without a prediction. */
  readonly lateMs?: number | undefined
}

/** Decides whether a job is accepted under load. All state is passed with the request. */
export abstract class AdmissionPolicy {
  /** Returns why a job is refused; undefined if it is accepted. */
  abstract findOverload (request: AdmissionRequest): Overload | undefined
}

/** Accepts every job, whatever the load. */
export class AcceptAllPolicy extends AdmissionPolicy {
  override findOverload (): Overload | undefined { return undefined }
}

/** Options of `LimitingPolicy`. */
export interface LimitingPolicyOptions {
  /** Upper bound of the waiting tasks of all jobs; undefined for no bound. */
  readonly maximumWaitingTasks?: number | undefined
  /** Whether a job is refused if its predicted end is after the time at which it becomes worthless. */
  readonly rejectsLate: boolean
}

/**
 * Share of the bound that is reserved for more urgent queues, if there are any. Without it, a burst of large jobs shuts out
 * small urgent ones, which lost 7% of their worth in the scenario overload-burst with a bound of 400.
 */
const urgentReserveShare = 0.25

/**
 * Bounds the number of waiting tasks, and refuses jobs that would certainly end when they are worthless. While demand is
 * above capacity, memory use stays bounded, and callers learn at once that they have to retry or go elsewhere.
 */
export class LimitingPolicy extends AdmissionPolicy {
  constructor (private readonly options: LimitingPolicyOptions) { super() }

  override findOverload (request: AdmissionRequest): Overload | undefined {
    return this.findTaskExcess(request) ?? (this.options.rejectsLate ? findLate(request) : undefined)
  }

  /** Returns an overload unless the job fits now and also leaves room for the earlier-refused jobs that are expected to return. */
  private findTaskExcess ({ submission, queue, model, refused, now }: AdmissionRequest): Overload | undefined {
    const { maximumWaitingTasks = Number.POSITIVE_INFINITY } = this.options
    if (model.waitingTasks === 0 || maximumWaitingTasks === Number.POSITIVE_INFINITY) return undefined
    const tasksPerS = model.drainOf(queue.pool, now).tasks
    const bound = maximumWaitingTasks * (model.hasMoreUrgentQueue(queue.priority) ? 1 - urgentReserveShare : 1)
    let excess = model.waitingTasks + countTasks(submission) - bound
    let excessWithReturning = excess
    for (const { tasks, returnsAt } of refused.expectedBefore(submission.jobId, queue.pool, queue.priority, now)) {
      excessWithReturning += tasks
      excess = Math.max(excess, excessWithReturning - tasksPerS * Math.max(0, returnsAt - now) / 1000)
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

/**
 * The latest wall-clock times (milliseconds) at which a job that was first submitted at `firstAt` may start in order to end in
 * time, and to end before it is worthless; infinite for long-running and recurring jobs.
 */
export function latestStarts (submission: Submission, queue: Queue, model: BacklogModel, firstAt: number): { readonly inTime: number, readonly worthAnything: number } {
  if (submission.steps.some(step => step.isLongRunning) || countOccurrences(submission) > 1) return { inTime: Number.POSITIVE_INFINITY, worthAnything: Number.POSITIVE_INFINITY }
  const [objective, chainMs] = [objectiveMs({ steps: submission.steps, queue }), chainMsOf(submission, queue, model)]
  return { inTime: firstAt + objective - chainMs, worthAnything: firstAt + worthlessAfterObjectives * objective - chainMs }
}
