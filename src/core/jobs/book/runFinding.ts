import type { RunEnd } from './job'

/** Why a run was released. */
export type ReleaseCause =
  /** The agent reports that the worker can't run it any more. */
  | 'absent'
  /** The agent reports that the boot has ended. */
  | 'bootEnded'
  /** A later boot runs on the same VM. */
  | 'bootSuperseded'
  /** Every lease that the worker may hold has ended. */
  | 'leaseLapsed'

/** A conclusion of the leader about a run, for logs and metrics. */
export type RunFinding =
  /** A run is considered ended although its end was not listed. `reportAgeMs` is the age of the newest message from its worker; undefined if there was none. */
  | { readonly type: 'released', readonly task: string, readonly run: number, readonly worker: string, readonly cause: ReleaseCause, readonly reportAgeMs: number | undefined }
  /** A listed end changed nothing, because the task has moved on to `currentRun` or its run was released before. */
  | { readonly type: 'endIgnored', readonly task: string, readonly run: number, readonly worker: string, readonly end: RunEnd, readonly currentRun: number | undefined, readonly currentWorker: string | undefined }
  /** A worker lists a run that the book does not have on it; the current run of the task is `currentRun`. */
  | { readonly type: 'strayListed', readonly task: string, readonly run: number, readonly worker: string, readonly currentRun: number | undefined, readonly currentWorker: string | undefined }
