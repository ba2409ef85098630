import type { JobState, Submission } from './book'

/** A call to a queue. Host and path prefix select the queue; the rest of the path is the id of the job. */
export type CallerCall =
  /** The submission contains the zone of the entry process once a gateway has forwarded it. */
  | { readonly type: 'submit', readonly host: string, readonly path: string, readonly submission: Omit<Submission, 'jobId'> }
  | { readonly type: 'readState', readonly host: string, readonly path: string }
  | { readonly type: 'cancel', readonly host: string, readonly path: string }

/** The answer to a `CallerCall`. */
export type CallerAnswer =
  /** The job is stored durably. */
  | { readonly type: 'accepted' }
  | { readonly type: 'state', readonly state: JobState }
  /** Number of jobs of the queue without a started task. */
  | { readonly type: 'queued', readonly count: number }
  | { readonly type: 'cancelled' }
  | { readonly type: 'noQueue' }
  | { readonly type: 'noJob' }
  /** The job is not stored and will not run; the caller may retry after this time in milliseconds. */
  | { readonly type: 'refused', readonly reason: RefusalReason, readonly retryAfterMs: number }
  /** It is not known whether the job was stored. */
  | { readonly type: 'unknown' }

/** The reason why a call was refused. */
export type RefusalReason = 'noLeader' | 'noManifest' | 'overload' | 'hopeless' | 'unsupported' | 'draining' | 'evacuated' | 'overdue'

/** The part of a path after the prefix of its queue: the id of a job, or empty for the queue itself. */
export function jobIdOf (path: string, pathPrefix: string): string {
  return path.slice(pathPrefix.length)
}
