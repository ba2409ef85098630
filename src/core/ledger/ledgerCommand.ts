import type { CatalogueEntry, Resources } from '../catalogue'
import type { JobOperation } from '../jobs'

/** An operator's change of one catalogue entry. */
export interface ChangeEntry {
  readonly type: 'changeEntry'
  /** Identifies the change; a resend has the same id and gets the first answer. */
  readonly changeId: string
  /** The operator who requests the change, for the history. */
  readonly by: string
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
  readonly name: string
  /** The version that the operator has seen; 0 for a name never used. */
  readonly expectedVersion: number
  /** The new entry; absent to remove it. */
  readonly entry?: CatalogueEntry
}

/** The agent, and its incarnation, to which a keyed request is sent. */
export interface ClaimTarget {
  readonly agent: string
  readonly incarnation: string
  readonly requestId: string
}

/** Claims an idempotency key before the request is sent anywhere. */
export interface OpenClaim {
  readonly type: 'openClaim'
  readonly key: string
  /** Digest of the request, so that a key is not used for two different ones. */
  readonly digest: string
  readonly target: ClaimTarget
  readonly at: number
  /** When the claim is forgotten, in milliseconds of the leader's wall clock. */
  readonly expiresAt: number
}

/** Moves a claim to another target after the former one has confirmed that it did not and will not run the request. */
export interface MoveClaim {
  readonly type: 'moveClaim'
  readonly key: string
  readonly attempt: number
  readonly target: ClaimTarget
}

/** The answer to a keyed request, kept with its claim. */
export interface KeptAnswer {
  readonly status: number
  readonly contentType: string
  /** The body in base64; absent when it is too long to keep. */
  readonly body?: string
}

/** Records how a claimed request ended. */
export interface EndClaim {
  readonly type: 'endClaim'
  readonly key: string
  readonly attempt: number
  readonly outcome: 'answered' | 'notRun' | 'unknown'
  readonly answer?: KeptAnswer
}

/** Registers a worker, changes its capacity, or records that it restarted. */
export interface RegisterWorker {
  readonly type: 'registerWorker'
  readonly name: string
  /** Chosen at each start of the worker; a new one ends all attempts of the worker. */
  readonly incarnation: string
  readonly at: number
  readonly capacity: Resources
  readonly rack: string
  readonly zone: string
}

/** Marks a worker as unavailable for new tasks, or as available again. */
export interface CordonWorker {
  readonly type: 'cordonWorker'
  readonly name: string
  readonly cordoned: boolean
}

/** Limits the resources that all running tasks of an organisation may reserve together. */
export interface SetQuota {
  readonly type: 'setQuota'
  readonly organisation: string
  readonly quota: Resources
}

/** Adds a task to the queue. */
export interface SubmitTask {
  readonly type: 'submitTask'
  readonly taskId: string
  readonly entry: string
  readonly at: number
  /** The input of the task, as the caller sent it. */
  readonly input: string
}

/** Assigns a queued task to a worker and reserves its resources there. */
export interface AssignTask {
  readonly type: 'assignTask'
  readonly taskId: string
  readonly attempt: number
  readonly worker: string
  readonly reservation: Resources
  readonly at: number
}

/** Starts an eviction, in which the worker checkpoints and stops the task. */
export interface EvictTask {
  readonly type: 'evictTask'
  readonly taskId: string
  readonly attempt: number
  readonly at: number
}

/** Records that a worker no longer runs an attempt; the task goes back to the queue. */
export interface ReleaseTask {
  readonly type: 'releaseTask'
  readonly taskId: string
  readonly attempt: number
  readonly reason: 'evicted' | 'leaseExpired' | 'failed' | 'refused'
  /** Name of the newest checkpoint, if there is one. */
  readonly checkpoint?: string
  readonly at: number
}

/** Records the result of a task. */
export interface FinishTask {
  readonly type: 'finishTask'
  readonly taskId: string
  readonly attempt: number
  readonly result: string
  readonly at: number
}

/** Removes a task from the queue permanently, with the reason. */
export interface ParkTask {
  readonly type: 'parkTask'
  readonly taskId: string
  readonly reason: string
  readonly at: number
}

/** Cancels a task; a running one is stopped first. */
export interface CancelTask {
  readonly type: 'cancelTask'
  readonly taskId: string
  readonly at: number
}

/** Written at the start of a leader's term, so that the entries before it are committed. */
export interface NoOperation {
  readonly type: 'noOperation'
}

/** Changes jobs and their runs; the operations are applied in order. */
export interface ChangeJobs {
  readonly type: 'changeJobs'
  readonly operations: readonly JobOperation[]
}

/** All commands that change the ledger. */
export type LedgerCommand =
  | ChangeEntry | OpenClaim | MoveClaim | EndClaim | RegisterWorker | CordonWorker | SetQuota
  | SubmitTask | AssignTask | EvictTask | ReleaseTask | FinishTask | ParkTask | CancelTask | ChangeJobs | NoOperation
