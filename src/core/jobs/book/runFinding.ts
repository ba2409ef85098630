import type { RunEnd } from './job'

/** On what ground a run was released. */
export type ReleaseCause =
  /** The agent says that the worker can't run it any more. */
  | 'absent'
  /** The agent says that the boot has ended. */
  | 'bootEnded'
  /** A later boot runs on the same VM. */
  | 'bootSuperseded'
  /** Every lease which the worker may hold has ended. */
  | 'leaseLapsed'

/** What the leader concluded about a run, for logs and metrics. */
export type RunFinding =
  /** A run counts as over though its end was not listed. `reportAgeMs` is how old the newest word of its worker is; undefined if there was none. */
  | { readonly type: 'released', readonly task: string, readonly run: number, readonly worker: string, readonly cause: ReleaseCause, readonly reportAgeMs: number | undefined }
  /** A listed end changed nothing: the task had gone on to `currentRun`, or its run was released before. */
  | { readonly type: 'endIgnored', readonly task: string, readonly run: number, readonly worker: string, readonly end: RunEnd, readonly currentRun: number | undefined, readonly currentWorker: string | undefined }
  /** A worker lists a run which the book does not have there; the task's present run is `currentRun`. */
  | { readonly type: 'strayListed', readonly task: string, readonly run: number, readonly worker: string, readonly currentRun: number | undefined, readonly currentWorker: string | undefined }
