import { countOccurrences, criticalPathMs, type Queue, type Submission } from '../book'
import { idleServingShare } from '../filling'
import { objectiveMs, worthlessAfterObjectives } from '../order'
import { type BacklogModel, chainMsOf, declaredWorkMs, kindOf, type WorkBucket } from './backlogModel'
import type { ExpectedWork } from './refusedJobs'

/** Processors of a pool that are available to tasks which end. */
export interface UsableCapacity {
  /** For tasks that reserve processors: those that long-running tasks have not reserved. */
  readonly reservable: number
  /** For filling tasks: also those that long-running tasks reserve and do not use. */
  readonly fillable: number
}

/** Input of `predictEnd`. */
export interface PredictionInput {
  readonly submission: Submission
  readonly queue: Queue
  readonly model: BacklogModel
  readonly capacity: UsableCapacity
  /** Earlier-refused jobs that are expected to return, in the order of their return. */
  readonly expected: readonly ExpectedWork[]
  /** Wall-clock time in milliseconds. */
  readonly now: number
}

/** The earliest end of a job. */
export interface Prediction {
  /** Processor-milliseconds that are done before the job starts. */
  readonly aheadMs: number
  /** Time to drain the backlog of the pool with the capacity that is available to the job, in milliseconds. */
  readonly backlogMs: number
  /** Time from now to the end of the job, in milliseconds. */
  readonly endsInMs: number
  /** Time from the moment at which the job becomes worthless to its end, in milliseconds; negative if it ends before. */
  readonly lateMs: number
}

/** The usable capacity of workers with `processors` in total, of which long-running tasks reserve `longRunning`. */
export function usableCapacity (processors: number, longRunning: number): UsableCapacity {
  const reservable = Math.max(0, processors - longRunning)
  return { reservable, fillable: Math.max(reservable, processors - longRunning * (1 - idleServingShare)) }
}

/**
 * Predicts the earliest end of a job that is submitted now; undefined if its end can't be predicted. The prediction is
 * optimistic, so that a job is only refused if it certainly ends when it is worthless. It assumes that the entire capacity
 * works on what is scheduled before the job, that jobs are abandoned once they are worthless, and that no urgent job arrives
 * later.
 */
export function predictEnd ({ submission, queue, model, capacity, expected, now }: PredictionInput): Prediction | undefined {
  const { steps } = submission
  if (steps.some(step => step.isLongRunning) || countOccurrences(submission) > 1) return undefined
  const isFillingJob = steps.every(step => kindOf(step) === 'filling')
  const processors = isFillingJob ? capacity.fillable : capacity.reservable
  if (processors <= 0) return undefined
  const workOf = (bucket: Pick<WorkBucket, 'reservingMs' | 'fillingMs'>): number => bucket.reservingMs + (isFillingJob ? bucket.fillingMs : 0)
  const objective = objectiveMs({ steps, queue })
  const before = selectWorkAhead(model.bucketsOf(queue.pool, now), queue.priority, now + objective, now)
  /** The processor-milliseconds that are done before the job starts, if each bucket yields to it at a given wall-clock time. */
  const workAheadUntil = (yieldsAt: (bucket: WorkBucket) => number): number => {
    let at = now
    for (const bucket of before) at = Math.max(at, Math.min(at + workOf(bucket) / processors, yieldsAt(bucket)))
    for (const job of expected) {
      // Jobs that return after this job starts do not delay it.
      if (job.returnsAt > at) break
      at += workOf(job) / processors
    }
    return (at - now) * processors
  }
  const ownWorkMs = steps.reduce((sum, step) => sum + step.count * declaredWorkMs(step) * model.workFactorOf(queue.name, kindOf(step)), 0)
  const ownMs = Math.max(chainMsOf(submission, queue, model), ownWorkMs / processors)
  // Late jobs rank behind jobs in time, and so yield to this job while it is in time; once it is late itself, they precede it again.
  const aheadInTimeMs = workAheadUntil(bucket => bucket.latestBeginAt)
  // At its own latest start a job becomes late together with those before it.
  const isInTime = aheadInTimeMs / processors < objective - criticalPathMs(steps)
  const aheadMs = isInTime ? aheadInTimeMs : workAheadUntil(bucket => bucket.worthlessAt)
  const endsInMs = aheadMs / processors + ownMs
  return { aheadMs, backlogMs: model.workMs(queue.pool) / processors, endsInMs, lateMs: endsInMs - worthlessAfterObjectives * objective }
}

/** Selects the work that is scheduled before a new job: that of jobs in time, by priority, then started jobs, then by due time. */
function selectWorkAhead (buckets: readonly WorkBucket[], priority: number, dueAt: number, now: number): readonly WorkBucket[] {
  return buckets
    .filter(bucket => bucket.dueAt > now && (bucket.priority < priority || (bucket.priority === priority && (bucket.isStarted || bucket.dueAt <= dueAt))))
    .sort((a, b) => a.priority - b.priority || Number(b.isStarted) - Number(a.isStarted) || a.dueAt - b.dueAt)
}
