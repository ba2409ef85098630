import type { EndedRun, RunningTask, RunOrder } from '../core/jobs'

/** Why a worker refused an order. */
export type StartRefusal =
  /** The worker has seen a higher term. */
  | 'fenced'
  /** The same or a higher run of this task has been stopped or has ended on the worker. */
  | 'superseded'
  /** The lease of the order has already ended. */
  | 'late'
  | 'noRoom'
  | 'noTicket'
  /** The worker is unhealthy and has not carried out the order. */
  | 'unhealthy'
  | 'malformed'
  /** The answer came from another boot than the one the order was meant for. */
  | 'otherBoot'

/** The outcome of an order to a worker. */
export type OrderOutcome =
  | { readonly type: 'done' }
  | { readonly type: 'refused', readonly reason: StartRefusal }
  /** No conclusive answer arrived; the order may be carried out now, later or never. */
  | { readonly type: 'unanswered' }
  /** Nothing listens at the worker's address. */
  | { readonly type: 'notListening' }

/** Fields that every order to a worker carries. */
export interface OrderContext {
  /** The id under which the worker is registered; a boot with another id refuses the order. */
  readonly workerId: string
  /** The term of the leader that the agent follows; a worker refuses a lower term than it has seen. */
  readonly term: number
}

/** Requests the lists of a worker's runs and ends, and extends its lease. */
export interface LookRequest extends OrderContext {
  /** The worker drops ends up to this sequence number. */
  readonly acknowledged: number
  /** The end of the lease on the worker's clock, in milliseconds; absent to leave the lease unchanged. */
  readonly leaseEndMs?: number | undefined
  /** How long the worker may delay its answer until a run ends, in milliseconds. */
  readonly waitMs: number
}

/** The lists of a worker; `hasMoreEnds` says whether there may be ends beyond the limit of one list, or runs or ends whose rows can't be read. */
export type LookOutcome =
  | { readonly type: 'listed', readonly bornMs: number, readonly clockMs: number, readonly running: readonly RunningTask[], readonly ends: readonly EndedRun[], readonly hasMoreEnds: boolean }
  | Exclude<OrderOutcome, { readonly type: 'done' }>

/** A worker id that no boot has. */
const nobodysId = '(none)'

/** The calls of an agent to the worker on its VM. */
export abstract class WorkerDriver {
  /** Orders the start of a run under a lease that ends at `leaseEndMs` on the worker's clock. */
  abstract start (order: RunOrder, leaseEndMs: number, context: OrderContext): Promise<OrderOutcome>
  /** Orders the stop of a run; an absent run can no longer start afterwards. */
  abstract stop (task: string, run: number, context: OrderContext): Promise<OrderOutcome>
  /** Limits a run to a percentage of its full speed. */
  abstract pace (task: string, run: number, percent: number, context: OrderContext): Promise<OrderOutcome>
  abstract look (request: LookRequest): Promise<LookOutcome>

  /** Asks which boot answers under a worker id: a look that waits for nothing, acknowledges nothing and grants no lease. */
  async identify (context: OrderContext): Promise<LookOutcome> {
    return await this.look({ ...context, acknowledged: 0, waitMs: 0 })
  }

  /** Asks whether anything listens at the worker's address: as `identify`, under an id that no boot has. Any answer, also a refusal, means that something does. */
  async probe (term: number): Promise<LookOutcome> {
    return await this.identify({ workerId: nobodysId, term })
  }

  /** Closes all connections to the worker. */
  abstract close (): void
}
