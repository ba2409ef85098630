import { countOccurrences, longestChainMs, type Queue, type Submission } from '../book'
import { idleShare } from '../filling'
import { objectiveMs, worthlessAfterObjectives } from '../order'
import { type BacklogModel, chainMsOf, declaredWorkMs, kindOf, type WorkBucket } from './backlogModel'
import type { ReturningWork } from './refusedJobs'

/** What a pool has for work that ends, in processors. */
export interface UsableCapacity {
  /** For tasks that reserve: what long-running tasks have not reserved. */
  readonly reservable: number
  /** For filling tasks: also what long-running tasks reserve and do not use. */
  readonly fillable: number
}

/** What a prediction is made from. */
export interface PredictionInput {
  readonly submission: Submission
  readonly queue: Queue
  readonly model: BacklogModel
  readonly capacity: UsableCapacity
  /** Earlier-refused jobs that are expected to return, by the time of their return. */
  readonly expected: readonly ReturningWork[]
  /** Milliseconds of the wall clock. */
  readonly now: number
}

/** When a job would be done at the earliest. */
export interface Prediction {
  /** Processor-milliseconds that are placed before it. */
  readonly aheadMs: number
  /** The work of the pool, in milliseconds of the capacity that the job has part in. */
  readonly backlogMs: number
  /** Milliseconds from now to its end. */
  readonly endsInMs: number
  /** By how much that is later than the time when it is worth nothing, in milliseconds; negative if it is earlier. */
  readonly lateMs: number
}

/** The capacity of workers with so many processors, some of which long-running tasks reserve. */
export function usableCapacity (processors: number, longRunning: number): UsableCapacity {
  const reservable = Math.max(0, processors - longRunning)
  return { reservable, fillable: Math.max(reservable, processors - longRunning * (1 - idleShare)) }
}

/**
 * Predicts the earliest end of a job that is submitted now; undefined if its end can't be predicted. It assumes that all of
 * the capacity drains nothing but the work that is placed before the job, that jobs which become worthless are given up at
 * once, and that nothing urgent comes later: addresses a backlog that certainly outlasts what a job is worth.
 */
export function predictEnd ({ submission, queue, model, capacity, expected, now }: PredictionInput): Prediction | undefined {
  const { steps } = submission
  if (steps.some(step => step.isLongRunning) || countOccurrences(submission) > 1) return undefined
  const onlyFills = steps.every(step => kindOf(step) === 'filling')
  const processors = onlyFills ? capacity.fillable : capacity.reservable
  if (processors <= 0) return undefined
  const workOf = (bucket: Pick<WorkBucket, 'reservingMs' | 'fillingMs'>): number => bucket.reservingMs + (onlyFills ? bucket.fillingMs : 0)
  const objective = objectiveMs({ steps, queue })
  const before = placedBefore(model.bucketsOf(queue.pool, now), queue.priority, now + objective, now)
  /** The work that is done before this job begins, if a bucket gives way at a time. */
  const aheadUntil = (givesWayAt: (bucket: WorkBucket) => number): number => {
    let at = now
    for (const bucket of before) at = Math.max(at, Math.min(at + workOf(bucket) / processors, givesWayAt(bucket)))
    for (const job of expected) {
      // What comes back later than this job begins takes nothing from it.
      if (job.returnsAt > at) break
      at += workOf(job) / processors
    }
    return (at - now) * processors
  }
  const ownWorkMs = steps.reduce((sum, step) => sum + step.count * declaredWorkMs(step) * model.workFactorOf(queue.name, kindOf(step)), 0)
  const ownMs = Math.max(chainMsOf(submission, queue, model), ownWorkMs / processors)
  // Jobs that become late come after those in time; a job that becomes late itself finds them before it again.
  const aheadInTimeMs = aheadUntil(bucket => bucket.latestBeginAt)
  // At its own latest begin a job is late together with those before it.
  const isInTime = aheadInTimeMs / processors < objective - longestChainMs(steps)
  const aheadMs = isInTime ? aheadInTimeMs : aheadUntil(bucket => bucket.worthlessAt)
  const endsInMs = aheadMs / processors + ownMs
  return { aheadMs, backlogMs: model.workMs(queue.pool) / processors, endsInMs, lateMs: endsInMs - worthlessAfterObjectives * objective }
}

/** The work that gets workers before a new job, in that order: of jobs in time by priority, begun ones first, then by due times. */
function placedBefore (buckets: readonly WorkBucket[], priority: number, dueAt: number, now: number): readonly WorkBucket[] {
  return buckets
    .filter(bucket => bucket.dueAt > now && (bucket.priority < priority || (bucket.priority === priority && (bucket.isBegun || bucket.dueAt <= dueAt))))
    .sort((a, b) => a.priority - b.priority || Number(b.isBegun) - Number(a.isBegun) || a.dueAt - b.dueAt)
}
