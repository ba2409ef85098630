import type { JobBook, JobOperation, Queue, Submission } from '../book'
import { AcceptAllPolicy, type AdmissionPolicy, latestBegins, type Overload } from './admissionPolicy'
import { BacklogModel, countTasks, declaredWorkMs, kindOf, type PoolBacklog, type WorkKind } from './backlogModel'
import { type Prediction, predictEnd, usableCapacity } from './prediction'
import { RefusedJobs } from './refusedJobs'
import { retryAfterSeconds } from './retryAfter'

/** A refusal under load, with what it rests on. */
export interface AdmissionRefusal extends Overload {
  /** When the caller is to come back, in milliseconds from now; whole seconds. */
  readonly retryAfterMs: number
  /** How often the job has been refused, this time included. */
  readonly refusals: number
  readonly waitingTasks: number
  /** Work of the pool, in processor-milliseconds. */
  readonly backlogMs: number
}

/** What admission knows, for logs and metrics. */
export interface AdmissionSummary {
  readonly backlog: readonly PoolBacklog[]
  /** Processor-milliseconds and tasks that were done a second, by pool. */
  readonly drained: ReadonlyArray<{ readonly pool: string, readonly workMs: number, readonly tasks: number }>
  readonly waitingTasks: number
  /** Refused jobs that are remembered. */
  readonly refusedJobs: number
}

/** The backlog of a leadership, the jobs that it refused, and the decision on new ones. */
export class Admission {
  readonly model = new BacklogModel()
  private readonly refused = new RefusedJobs()

  constructor (private readonly policy: AdmissionPolicy = new AcceptAllPolicy()) {}

  /** Begins a leadership from its book, with no refused jobs. */
  begin (book: JobBook, wallClock: number): void {
    this.model.begin(book, wallClock)
    this.refused.clear()
  }

  /** Takes an operation that has changed the book. */
  observe (operation: JobOperation, book: JobBook): void {
    this.model.observe(operation, book)
  }

  /**
   * Why a job is refused under load; undefined if it may be accepted. `processors` are those of the workers of its pool;
   * undefined while they are not known, so that nothing is predicted.
   */
  refuse (submission: Submission, queue: Queue, processors: number | undefined, now: number): AdmissionRefusal | undefined {
    const { model, refused } = this
    model.noteDemand(queue)
    const capacity = processors === undefined ? undefined : usableCapacity(processors, model.longRunningProcessors(queue.pool))
    const overload = this.policy.findOverload({ submission, queue, model, refused, capacity, now })
    if (overload === undefined) return undefined
    const { jobId } = submission
    const firstRefusedAt = refused.find(jobId)?.firstRefusedAt ?? now
    const { inTime, worthAnything } = latestBegins(submission, queue, model, firstRefusedAt)
    const retryAfterMs = 1000 * retryAfterSeconds(jobId, overload.waitMs, (now < inTime ? inTime : worthAnything) - now)
    const workOf = (kind: WorkKind): number => model.workFactorOf(queue.name, kind) * submission.steps.reduce((sum, step) => sum + (kindOf(step) === kind ? step.count * declaredWorkMs(step) : 0), 0)
    const refusals = refused.note({
      jobId, pool: queue.pool, priority: queue.priority, tasks: countTasks(submission), reservingMs: workOf('reserving'), fillingMs: workOf('filling'), firstRefusedAt, returnsAt: now + retryAfterMs, gainsUntil: inTime
    }, now)
    return { ...overload, retryAfterMs, refusals, waitingTasks: model.waitingTasks, backlogMs: model.workMs(queue.pool) }
  }

  /** Predicts the earliest end of a job, whatever the policy is; undefined if it can't be predicted. */
  predictEnd (submission: Submission, queue: Queue, processors: number, now: number): Prediction | undefined {
    const { model, refused } = this
    const capacity = usableCapacity(processors, model.longRunningProcessors(queue.pool))
    const expected = refused.expectedBefore(submission.jobId, queue.pool, queue.priority, now)
    return predictEnd({ submission, queue, model, capacity, expected, now })
  }

  /** Takes note that a job is accepted. True if it had been refused before. */
  accepted (jobId: string): boolean { return this.refused.forget(jobId) }

  /** What is known, for logs and metrics. */
  describe (now: number): AdmissionSummary {
    const backlog = this.model.byPool()
    const pools = [...new Set(backlog.map(({ pool }) => pool))]
    return { backlog, drained: pools.map(pool => ({ pool, ...this.model.drainOf(pool, now) })), waitingTasks: this.model.waitingTasks, refusedJobs: this.refused.size }
  }
}
