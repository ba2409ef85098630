import type { Resources } from '../../catalogue'
import type { Suspicion, TaskCrash } from '../crashes'
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

/** What a worker lacks for one more task of a step. */
export type WorkerLack =
  /** Its agent has no stream to the leader, or was not heard of recently. */
  | 'connection'
  /** It leaves, or its availability zone is evacuated. */
  | 'leaving'
  /** It takes no more runs until one has shown that it is healthy or warm. */
  | 'proof'
  | 'label'
  | 'room'
  /** It runs as many tasks of the step as it may. */
  | 'stepLimit'
  /** It is held for other tasks. */
  | 'hold'
  /** It could take one. */
  | 'none'

/** The room of a usable worker for long-running tasks. */
export interface WorkerRoom {
  /** What is not reserved. */
  readonly free: Resources
  /** Capacity less what long-running tasks reserve: the most that preemption could free. */
  readonly reclaimable: Resources
}

/** A conclusion of the leader about a run, for logs and metrics. */
export type RunFinding =
  /** A run is considered ended although its end was not listed. `reportAgeMs` is the age of the newest message from its worker; undefined if there was none. */
  | { readonly type: 'released', readonly task: string, readonly run: number, readonly worker: string, readonly cause: ReleaseCause, readonly reportAgeMs: number | undefined }
  /** A worker crashed, and the run may have caused it; `suspicion` includes this crash. */
  | { readonly type: 'suspected', readonly task: string, readonly run: number, readonly worker: string, readonly crash: TaskCrash, readonly suspicion: Suspicion | undefined }
  /** The job of a task is given up, because the task crashes its workers. */
  | { readonly type: 'givenUp', readonly task: string, readonly suspicion: Suspicion }
  /** A listed end changed nothing, because the task has moved on to `currentRun` or its run was released before. */
  | { readonly type: 'endIgnored', readonly task: string, readonly run: number, readonly worker: string, readonly end: RunEnd, readonly currentRun: number | undefined, readonly currentWorker: string | undefined }
  /** A worker lists a run that the book does not have on it; the current run of the task is `currentRun`. */
  | { readonly type: 'strayListed', readonly task: string, readonly run: number, readonly worker: string, readonly currentRun: number | undefined, readonly currentWorker: string | undefined }
  /** Tasks of a long-running step have waited for `waitingMs`, and each needs `needed`; `lacks` says for each worker of the pool why it takes none of them, `rooms` what room the usable ones have. */
  | { readonly type: 'waiting', readonly step: string, readonly tasks: number, readonly waitingMs: number, readonly needed: Resources, readonly lacks: ReadonlyMap<string, WorkerLack>, readonly rooms: ReadonlyMap<string, WorkerRoom> }
  /** Tasks of a long-running step are live, but their workers don't list them as at work; of these `task` has been so for the longest time. `listedRun` and `percent` are what its worker listed last of it. */
  | { readonly type: 'notAtWork', readonly step: string, readonly tasks: number, readonly task: string, readonly run: number, readonly worker: string, readonly absentMs: number, readonly isConnected: boolean, readonly listedRun: number | undefined, readonly percent: number | undefined }
