import type { EntryVersion, Resources } from '../catalogue'
import type { FailureRecord } from '../failures'
import type { ClaimTarget, KeptAnswer } from './ledgerCommand'

/** An accepted change of the catalogue, for the history. */
export interface AcceptedChange {
  readonly changeId: string
  readonly by: string
  readonly at: number
  readonly version: EntryVersion
}

/** A remembered answer to a change. */
export interface ChangeAnswer {
  readonly changeId: string
  readonly accepted?: AcceptedChange
  readonly failure?: FailureRecord
}

/** The state of a keyed request. */
export interface Claim {
  readonly key: string
  readonly digest: string
  readonly attempt: number
  readonly state: 'open' | 'answered' | 'notRun' | 'unknown'
  readonly target: ClaimTarget
  /** When it was opened, in milliseconds of the leader's wall clock; absent in claims of earlier versions. */
  readonly openedAt?: number
  readonly expiresAt: number
  readonly answer?: KeptAnswer
}

/** A worker as the ledger knows it. */
export interface WorkerRecord {
  readonly name: string
  readonly incarnation: string
  readonly capacity: Resources
  readonly rack: string
  readonly zone: string
  readonly cordoned: boolean
}

/** Where a live attempt runs. */
export interface Assignment {
  readonly worker: string
  readonly reservation: Resources
  readonly at: number
}

/** One state transition of a task. */
export interface TaskEvent {
  readonly at: number
  readonly step: 'submitted' | 'assigned' | 'evicting' | 'evicted' | 'leaseExpired' | 'workerRestarted' | 'failed' | 'refused' | 'finished' | 'parked' | 'cancelling' | 'cancelled'
  readonly attempt: number
  readonly worker?: string
}

/** The state of a task. */
export type TaskState = 'queued' | 'running' | 'evicting' | 'cancelling' | 'finished' | 'parked' | 'cancelled'

/** A task as the ledger knows it. */
export interface TaskRecord {
  readonly taskId: string
  readonly entry: string
  readonly organisation: string
  readonly submittedAt: number
  readonly input: string
  readonly state: TaskState
  /** The number of the current attempt; 0 before the first. */
  readonly attempt: number
  readonly assignment?: Assignment
  readonly checkpoint?: string
  readonly result?: string
  readonly reason?: string
  /** Workers on which an attempt failed. */
  readonly failedOn: readonly string[]
  readonly history: readonly TaskEvent[]
}

/** The answer to an accepted command. */
export type LedgerReply =
  | { readonly type: 'change', readonly change: AcceptedChange }
  | { readonly type: 'claim', readonly claim: Claim, readonly isNew: boolean, readonly ageMs?: number }
  | { readonly type: 'task', readonly task: TaskRecord }
  | { readonly type: 'worker', readonly worker: WorkerRecord }
  | { readonly type: 'done' }
