import type { EndedRun, RunningTask, RunOrder } from '../core/jobs'

/** Why a worker did not start a run. */
export type StartRefusal =
  /** It has seen a higher term. */
  | 'fenced'
  /** A run of this task which is not lower was stopped or has ended there. */
  | 'superseded'
  /** The lease had ended already. */
  | 'late'
  | 'noRoom'
  | 'noTicket'
  /** It is unhealthy and has done nothing. */
  | 'unhealthy'
  | 'malformed'
  /** Another boot answered. */
  | 'otherBoot'

/** What came of an order to a worker. */
export type OrderOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'refused', readonly reason: StartRefusal }
  /** No answer came; the order may be carried out now, later or never. */
  | { readonly type: 'unanswered' }
  /** Nothing listens at the worker's address. */
  | { readonly type: 'notListening' }

/** What every order to a worker carries. */
export interface OrderContext {
  /** The id under which the worker is known; another boot refuses. */
  readonly workerId: string
  /** The term of the leader which the agent follows; a worker refuses one that is lower than it has seen. */
  readonly term: number
}

/** Asks a worker what it lists and extends its lease. */
export interface LookRequest extends OrderContext {
  /** Ends up to this sequence number are forgotten by the worker. */
  readonly acknowledged: number
  /** The end of the lease in the worker's clock, in milliseconds; absent to leave it as it is. */
  readonly leaseEndMs?: number | undefined
  /** How long the answer may wait for an end, in milliseconds. */
  readonly waitMs: number
}

/** What the worker listed; `hasMoreEnds` if there may be ends beside those that it lists at a time. */
export type LookOutcome =
  | { readonly type: 'listed', readonly bornMs: number, readonly clockMs: number, readonly running: readonly RunningTask[], readonly ends: readonly EndedRun[], readonly hasMoreEnds: boolean }
  | Exclude<OrderOutcome, { readonly type: 'done' }>

/** The calls of an agent to the worker beside it. */
export abstract class WorkerDriver {
  /** Orders the start of a run under a lease which ends at a time of the worker's clock. */
  abstract start (order: RunOrder, leaseEndMs: number, context: OrderContext): Promise<OrderOutcome>
  /** Orders the stop of a run; one which isn't there can't start any more. */
  abstract stop (task: string, run: number, context: OrderContext): Promise<OrderOutcome>
  /** Sets the share of its speed at which a run works, in percent. */
  abstract pace (task: string, run: number, percent: number, context: OrderContext): Promise<OrderOutcome>
  abstract look (request: LookRequest): Promise<LookOutcome>
  /** Closes the connections. */
  abstract close (): void
}
