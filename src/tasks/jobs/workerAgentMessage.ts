import type { WorkerReport } from '../../core/jobs'
import type { LookOutcome, OrderOutcome } from '../../workers'
import type { ControlReply } from './controlProtocol'

/** The registration of a worker with the agent beside it. */
export interface Registration extends Omit<WorkerReport, 'worker'> {
  readonly workerId: string
  /** Increases with each registration of a boot, so that a delayed one is recognised. */
  readonly sequence: number
}

/** A message to `WorkerSupervisor`; a tick triggers whatever is due. */
export type SupervisorMessage =
  | { readonly type: 'registered', readonly registration: Registration }
  /** The worker announced that it is exiting. */
  | { readonly type: 'left', readonly workerId: string }
  | { readonly type: 'linkOpen', readonly term: number }
  | { readonly type: 'linkLost' }
  | { readonly type: 'control', readonly message: ControlReply }
  /** The worker's answer when it was asked whether it is the boot of a heartbeat; one such question is under way at a time. */
  | { readonly type: 'identified', readonly outcome: LookOutcome }
  /** The outcome of a probe whether anything listens at the worker's address. */
  | { readonly type: 'probed', readonly number: number, readonly outcome: LookOutcome }
  | { readonly type: 'looked', readonly worker: string, readonly number: number, readonly outcome: LookOutcome }
  | { readonly type: 'startAnswered', readonly worker: string, readonly task: string, readonly run: number, readonly outcome: OrderOutcome }
  | { readonly type: 'stopAnswered', readonly worker: string, readonly task: string, readonly run: number, readonly outcome: OrderOutcome }
  | { readonly type: 'tick' }

/** A message to `WorkerAgent`. */
export type WorkerAgentMessage = SupervisorMessage | { readonly type: 'stop' }
