import { initTRPC } from '@trpc/server'
import { array, number, object, string } from 'valibot'
import type { CatalogueUpdate } from '../../core/catalogue'
import type { ConsensusMessage, MemberState } from '../../core/consensus'
import type { AcceptedChange, Claim, LedgerCommand, LedgerReply, TaskRecord, WorkerRecord } from '../../core/ledger'
import type { EntryVersion, Resources } from '../../core/catalogue'
import type { PeerAnswer } from '../../transport'

/** The catalogue revision that a node enforces, as reported by an entry process. */
export interface NodeReport {
  readonly node: string
  readonly role: 'entry' | 'agent'
  readonly revision: number
}

/** A long poll for catalogue changes after the revision `since`. */
export interface CatalogueWatch {
  readonly since: number
  /** Maximum time that the answer waits for a change, in milliseconds. */
  readonly waitMs: number
  readonly reports: readonly NodeReport[]
}

/** An accepted change and its rollout to the nodes. */
export interface ChangeProgress {
  readonly change: AcceptedChange
  /** Time at which the last node began to enforce it, in milliseconds of the leader's wall clock. */
  readonly inForceSince?: number
  /** Nodes that do not enforce it yet. */
  readonly lagging: readonly string[]
}

/** A worker with its reserved resources and its number of live tasks. */
export interface WorkerStatus {
  readonly worker: WorkerRecord
  readonly reserved: Resources
  readonly tasks: number
}

/** The state of the control group as known to its leader. */
export interface ControlStatus {
  readonly leader: string
  readonly term: number
  readonly committedIndex: number
  /** All replicas. A replica that lost its data counts as repaired once it votes again. */
  readonly replicas: readonly MemberState[]
  readonly revision: number
  readonly queuedTasks: number
  readonly liveTasks: number
  readonly workers: readonly WorkerStatus[]
  readonly nodes: readonly NodeReport[]
}

/** Queries to the control group. Every read is linearizable. */
export type ControlQuery =
  | { readonly type: 'entry', readonly name: string }
  | { readonly type: 'entries' }
  | { readonly type: 'changes' }
  | { readonly type: 'claim', readonly key: string }
  | { readonly type: 'task', readonly taskId: string }
  | { readonly type: 'tasks' }
  | { readonly type: 'status' }

/** The answer to a query. Only the member with the name of the query's type is set, and only if the item exists. */
export interface ControlView {
  readonly entry?: EntryVersion
  readonly entries?: readonly EntryVersion[]
  readonly changes?: readonly ChangeProgress[]
  readonly claim?: Claim
  /** Time since the claim was opened, in milliseconds; absent if unknown. */
  readonly claimAgeMs?: number
  readonly task?: TaskRecord
  readonly tasks?: readonly TaskRecord[]
  readonly status?: ControlStatus
}

/** The operations of a control replica that the router exposes to other processes. */
export interface ControlPeer {
  propose (command: LedgerCommand): Promise<PeerAnswer<LedgerReply>>
  query (query: ControlQuery): Promise<PeerAnswer<ControlView>>
  watch (watch: CatalogueWatch): Promise<PeerAnswer<CatalogueUpdate>>
  deliver (from: string, messages: readonly ConsensusMessage[]): void
}

const trpc = initTRPC.create()

/** Checks only that the input is an object with a type; the ledger validates commands and queries. */
function requireType<Message extends { readonly type: string }> (input: unknown): Message {
  if (typeof input !== 'object' || input === null || typeof (input as { type?: unknown }).type !== 'string') {
    throw new TypeError('expected an object with a type')
  }
  return input as Message
}

const watchSchema = object({
  since: number(),
  waitMs: number(),
  reports: array(object({ node: string(), role: string(), revision: number() }))
})

const deliverySchema = object({ from: string(), messages: array(object({ type: string() })) })

/** Creates the tRPC router of a control replica. */
export function createControlRouter (peer: ControlPeer) {
  return trpc.router({
    /** Proposes a command; answers once it is committed. */
    propose: trpc.procedure.input(requireType<LedgerCommand>).mutation(async ({ input }) => await peer.propose(input)),
    /** Reads from the leader. */
    query: trpc.procedure.input(requireType<ControlQuery>).query(async ({ input }) => await peer.query(input)),
    /** Long poll for catalogue changes. */
    watch: trpc.procedure.input(watchSchema).mutation(async ({ input }) => await peer.watch(input as CatalogueWatch)),
    /** Receives consensus messages of another replica. */
    deliver: trpc.procedure.input((input: unknown) => {
      const validation = deliverySchema['~standard'].validate(input)
      if (validation instanceof Promise || validation.issues !== undefined) throw new TypeError('expected messages of a replica')
      return input as { readonly from: string, readonly messages: readonly ConsensusMessage[] }
    }).mutation(({ input }) => { peer.deliver(input.from, input.messages) })
  })
}

/** The router type from which clients derive their calls. */
export type ControlRouter = ReturnType<typeof createControlRouter>
