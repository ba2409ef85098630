import type { Resources } from '../core/catalogue'
import type { Failure } from '../core/failures'
import type { Result } from '../core/results'

/** Names one attempt of a task. A worker refuses attempts lower than the newest it knows. */
export interface AttemptName {
  readonly taskId: string
  readonly attempt: number
}

/** What a worker needs to run an attempt. */
export interface TaskOrder extends AttemptName {
  readonly entry: string
  readonly reservation: Resources
  readonly input: string
  /** The worker's time after which this order is void, in milliseconds. */
  readonly validUntilMs: number
  /** The incarnation of the worker which the order is for. */
  readonly incarnation: string
  /** The checkpoint from which the task resumes. */
  readonly checkpoint?: string
}

/** The state of one attempt as its worker reports it. */
export interface AttemptReport extends AttemptName {
  /** An attempt which ended with its lease is `stopped` too; an end is reported until it is recorded. */
  readonly state: 'running' | 'finished' | 'failed' | 'stopped'
  readonly result?: string
  readonly checkpoint?: string
  /** Measured use; it is older than the report. */
  readonly usage?: Resources
  /** Worker time at which the usage was sampled, in milliseconds. */
  readonly sampledAtMs?: number
  /** How fast the task ran then compared with running alone; 1 is full speed. */
  readonly speed?: number
}

/** What a worker says when its lease is renewed. */
export interface WorkerReport {
  /** The worker's own clock, in milliseconds. */
  readonly clockMs: number
  /** Drawn anew at each start of the worker; its former tasks do not run any more. */
  readonly incarnation: string
  readonly capacity: Resources
  readonly rack: string
  readonly zone: string
  readonly attempts: readonly AttemptReport[]
}

/** Renews the one lease of a worker, which covers all of its tasks. */
export interface LeaseRenewal {
  /** The term of the leader; a worker refuses lower ones. */
  readonly term: number
  /** The end of the lease in the worker's own clock; absent to ask for a report only. */
  readonly leaseUntilMs?: number
  /** Ended attempts which the ledger has recorded; the worker may forget them one lease later. */
  readonly recorded: readonly AttemptName[]
}

/** The platform's workers. Every command is idempotent. */
export abstract class WorkerPlatform {
  /** Renews a lease and reads the worker's report. */
  abstract renew (worker: string, renewal: LeaseRenewal): Promise<Result<WorkerReport, Failure>>
  /** Starts an attempt under the worker's lease. */
  abstract start (worker: string, term: number, order: TaskOrder): Promise<Result<void, Failure>>
  /** Checkpoints and stops an attempt; the report says when it has stopped. */
  abstract evict (worker: string, term: number, attempt: AttemptName): Promise<Result<void, Failure>>
  /** Stops an attempt without a checkpoint. */
  abstract stop (worker: string, term: number, attempt: AttemptName): Promise<Result<void, Failure>>
  /** Limits an attempt to a share of its processors, from 0 to 1. */
  abstract throttle (worker: string, term: number, attempt: AttemptName, share: number): Promise<Result<void, Failure>>
}
