import type { JobState, Submission } from './book'

/** What a caller asks of a queue; host and path select the queue, and the rest of the path names the job. */
export type CallerCall =
  /** The submission names the zone of the entry process once a gateway has sent it. */
  | { readonly type: 'submit', readonly host: string, readonly path: string, readonly submission: Omit<Submission, 'jobId'> }
  | { readonly type: 'readState', readonly host: string, readonly path: string }
  | { readonly type: 'cancel', readonly host: string, readonly path: string }

/** The answer to it. */
export type CallerAnswer =
  /** The job is stored. */
  | { readonly type: 'accepted' }
  | { readonly type: 'state', readonly state: JobState }
  /** Jobs of the queue of which nothing has started. */
  | { readonly type: 'queued', readonly count: number }
  | { readonly type: 'cancelled' }
  | { readonly type: 'noQueue' }
  | { readonly type: 'noJob' }
  /** Not stored and never run; the caller may come back after this time in milliseconds. */
  | { readonly type: 'refused', readonly reason: RefusalReason, readonly retryAfterMs: number }
  /** Whether it was stored is not known. */
  | { readonly type: 'unknown' }

/** Why a call was refused. */
export type RefusalReason = 'noLeader' | 'noManifest' | 'overload' | 'hopeless' | 'unsupported' | 'draining' | 'evacuated'

/** The part of a path after the prefix of its queue: a job's id, or nothing for the queue itself. */
export function jobIdOf (path: string, pathPrefix: string): string {
  return path.slice(pathPrefix.length)
}
