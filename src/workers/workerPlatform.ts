import type { Resources } from '../core/catalogue'
import type { Failure } from '../core/failures'
import type { Result } from '../core/results'

/** Identifies one attempt of a task. A worker refuses attempts lower than the highest it knows. */
export interface AttemptId {
  readonly taskId: string
  readonly attempt: number
}

/** The order to run an attempt. */
export interface TaskOrder extends AttemptId {
  readonly entry: string
  readonly reservation: Resources
  readonly input: string
  /** Time on the worker's clock after which this order is invalid, in milliseconds. */
  readonly validUntilMs: number
  /** The incarnation of the worker that the order is meant for. */
  readonly incarnation: string
  /** The checkpoint from which the task resumes. */
  readonly checkpoint?: string
}

/** The state of one attempt, as reported by its worker. */
export interface AttemptReport extends AttemptId {
  /** An attempt that ended with its lease is also `stopped`. An end is reported until the ledger has recorded it. */
  readonly state: 'running' | 'finished' | 'failed' | 'stopped'
  readonly result?: string
  readonly checkpoint?: string
  /** Measured usage; the sample is older than the report. */
  readonly usage?: Resources
  /** Time on the worker's clock at which the usage was sampled, in milliseconds. */
  readonly sampledAtMs?: number
  /** Speed of the task at that time relative to running alone; 1 is full speed. */
  readonly speed?: number
}

/** A worker's answer to a lease renewal. */
export interface WorkerReport {
  /** The worker's own clock, in milliseconds. */
  readonly clockMs: number
  /** Random identifier of one start of the worker; tasks of earlier incarnations no longer run. */
  readonly incarnation: string
  readonly capacity: Resources
  readonly rack: string
  readonly zone: string
  readonly attempts: readonly AttemptReport[]
}

/** Renews the lease of a worker, which covers all of its tasks. */
export interface LeaseRenewal {
  /** The term of the leader; a worker refuses a lower term than it has seen. */
  readonly term: number
  /** The end of the lease on the worker's clock, in milliseconds; absent to request a report only. */
  readonly leaseUntilMs?: number
  /** Ended attempts that the ledger has recorded; the worker may drop them one lease later. */
  readonly recorded: readonly AttemptId[]
}

/** The calls to the workers of the platform. Every command is idempotent. */
export abstract class WorkerPlatform {
  /** Renews a lease and returns the worker's report. */
  abstract renew (worker: string, renewal: LeaseRenewal): Promise<Result<WorkerReport, Failure>>
  /** Starts an attempt under the worker's lease. */
  abstract start (worker: string, term: number, order: TaskOrder): Promise<Result<void, Failure>>
  /** Checkpoints and stops an attempt; a later report says that it has stopped. */
  abstract evict (worker: string, term: number, attempt: AttemptId): Promise<Result<void, Failure>>
  /** Stops an attempt without a checkpoint. */
  abstract stop (worker: string, term: number, attempt: AttemptId): Promise<Result<void, Failure>>
  /** Limits an attempt to a share of its processors, from 0 to 1. */
  abstract throttle (worker: string, term: number, attempt: AttemptId, share: number): Promise<Result<void, Failure>>
}
