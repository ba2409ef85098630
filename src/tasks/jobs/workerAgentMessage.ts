import type { WorkerReport } from '../../core/jobs'
import type { LookOutcome, OrderOutcome } from '../../workers'
import type { ControlReply } from './controlProtocol'

/** A worker as it registers with the agent beside it. */
export interface Registration extends Omit<WorkerReport, 'worker'> {
  readonly workerId: string
  /** Grows with each registration of a boot, so that a late one can be told. */
  readonly sequence: number
}

/** A message to the supervisor of a worker; a tick lets it do what is due. */
export type SupervisorMessage =
  | { readonly type: 'registered', readonly registration: Registration }
  /** The worker said that it ends now. */
  | { readonly type: 'left', readonly workerId: string }
  | { readonly type: 'linkOpen', readonly term: number }
  | { readonly type: 'linkLost' }
  | { readonly type: 'control', readonly message: ControlReply }
  | { readonly type: 'looked', readonly worker: string, readonly number: number, readonly outcome: LookOutcome }
  | { readonly type: 'startAnswered', readonly worker: string, readonly task: string, readonly run: number, readonly outcome: OrderOutcome }
  | { readonly type: 'stopAnswered', readonly worker: string, readonly task: string, readonly run: number, readonly outcome: OrderOutcome }
  | { readonly type: 'tick' }

/** A message to the task of an agent. */
export type WorkerAgentMessage = SupervisorMessage | { readonly type: 'stop' }
