import type { JobBook, JobOperation, Queue, Submission } from '../book'
import { AcceptAllPolicy, type AdmissionPolicy, latestStarts, type Overload } from './admissionPolicy'
import { BacklogModel, countTasks, declaredWorkMs, kindOf, type PoolBacklog, type WorkKind } from './backlogModel'
import { type Prediction, predictEnd, usableCapacity } from './prediction'
import { RefusedJobs } from './refusedJobs'
import { retryAfterSeconds } from './retryAfter'

/** The refusal of a job under load, with the figures behind it. */
export interface AdmissionRefusal extends Overload {
  /** The time after which the caller should retry, in milliseconds; a multiple of 1000. */
  readonly retryAfterMs: number
  /** Number of refusals of this job, including this one. */
  readonly refusals: number
  readonly waitingTasks: number
  /** Backlog of the pool, in processor-milliseconds. */
  readonly backlogMs: number
}

/** The state of admission, for logs and metrics. */
export interface AdmissionSummary {
  readonly backlog: readonly PoolBacklog[]
  /** Processor-milliseconds and tasks completed per second, by pool. */
  readonly drained: ReadonlyArray<{ readonly pool: string, readonly workMs: number, readonly tasks: number }>
  readonly waitingTasks: number
  /** Number of refused jobs that are remembered. */
  readonly refusedJobs: number
}

/** Decides whether the leader accepts new jobs, from the backlog and the jobs that it has refused. */
export class Admission {
  readonly model = new BacklogModel()
  private readonly refused = new RefusedJobs()

  constructor (private readonly policy: AdmissionPolicy = new AcceptAllPolicy()) {}

  /** Starts a leadership from its book, with no refused jobs. */
  begin (book: JobBook, wallClock: number): void {
    this.model.begin(book, wallClock)
    this.refused.clear()
  }

  /** Updates the backlog with an operation that has changed the book. */
  observe (operation: JobOperation, book: JobBook): void {
    this.model.observe(operation, book)
  }

  /**
   * Returns why a job is refused under load; undefined if it may be accepted. `processors` counts those of the workers of
   * its pool, and is undefined while the workers are not known: no end is predicted then.
   */
  refuse (submission: Submission, queue: Queue, processors: number | undefined, now: number): AdmissionRefusal | undefined {
    const { model, refused } = this
    model.recordDemand(queue)
    const capacity = processors === undefined ? undefined : usableCapacity(processors, model.longRunningProcessors(queue.pool))
    const overload = this.policy.findOverload({ submission, queue, model, refused, capacity, now })
    if (overload === undefined) return undefined
    const { jobId } = submission
    const firstRefusedAt = refused.find(jobId)?.firstRefusedAt ?? now
    const { inTime, worthAnything } = latestStarts(submission, queue, model, firstRefusedAt)
    const retryAfterMs = 1000 * retryAfterSeconds(jobId, overload.waitMs, (now < inTime ? inTime : worthAnything) - now)
    const workOf = (kind: WorkKind): number => model.workFactorOf(queue.name, kind) * submission.steps.reduce((sum, step) => sum + (kindOf(step) === kind ? step.count * declaredWorkMs(step) : 0), 0)
    const refusals = refused.note({
      jobId, pool: queue.pool, priority: queue.priority, tasks: countTasks(submission), reservingMs: workOf('reserving'), fillingMs: workOf('filling'), firstRefusedAt, returnsAt: now + retryAfterMs, gainsUntil: inTime
    }, now)
    return { ...overload, retryAfterMs, refusals, waitingTasks: model.waitingTasks, backlogMs: model.workMs(queue.pool) }
  }

  /** Predicts the earliest end of a job, independently of the policy; undefined if it can't be predicted. */
  predictEnd (submission: Submission, queue: Queue, processors: number, now: number): Prediction | undefined {
    const { model, refused } = this
    const capacity = usableCapacity(processors, model.longRunningProcessors(queue.pool))
    const expected = refused.expectedBefore(submission.jobId, queue.pool, queue.priority, now)
    return predictEnd({ submission, queue, model, capacity, expected, now })
  }

  /** Forgets the refusals of a job that is accepted. Returns true if it had been refused before. */
  accepted (jobId: string): boolean { return this.refused.forget(jobId) }

  /** Summarises the state at a wall-clock time in milliseconds, for logs and metrics. */
  describe (now: number): AdmissionSummary {
    const backlog = this.model.byPool()
    const pools = [...new Set(backlog.map(({ pool }) => pool))]
    return { backlog, drained: pools.map(pool => ({ pool, ...this.model.drainOf(pool, now) })), waitingTasks: this.model.waitingTasks, refusedJobs: this.refused.size }
  }
}
