import { initTRPC } from '@trpc/server'
import { array, number, object, string } from 'valibot'
import type { CatalogueUpdate } from '../../core/catalogue'
import type { ConsensusMessage, MemberState } from '../../core/consensus'
import type { AcceptedChange, Claim, LedgerCommand, LedgerReply, TaskRecord, WorkerRecord } from '../../core/ledger'
import type { EntryVersion, Resources } from '../../core/catalogue'
import type { PeerAnswer } from '../../transport'

/** The revision which one node enforces, as an entry process reports it. */
export interface NodeReport {
  readonly node: string
  readonly role: 'entry' | 'agent'
  readonly revision: number
}

/** A wish for catalogue changes. */
export interface CatalogueWatch {
  readonly since: number
  /** How long the answer may wait for a change, in milliseconds. */
  readonly waitMs: number
  readonly reports: readonly NodeReport[]
}

/** An accepted change with how far it got. */
export interface ChangeProgress {
  readonly change: AcceptedChange
  /** When the last node enforced it, in milliseconds of the leader's wall clock. */
  readonly inForceSince?: number
  /** Nodes which do not enforce it yet. */
  readonly lagging: readonly string[]
}

/** A worker with what is reserved on it. */
export interface WorkerStatus {
  readonly worker: WorkerRecord
  readonly reserved: Resources
  readonly tasks: number
}

/** The state of the control group as its leader sees it. */
export interface ControlStatus {
  readonly leader: string
  readonly term: number
  readonly committedIndex: number
  /** The replicas; a lost one counts as repaired once it votes again. */
  readonly replicas: readonly MemberState[]
  readonly revision: number
  readonly queuedTasks: number
  readonly liveTasks: number
  readonly workers: readonly WorkerStatus[]
  readonly nodes: readonly NodeReport[]
}

/** What can be read from the control group; every read is linearizable. */
export type ControlQuery =
  | { readonly type: 'entry', readonly name: string }
  | { readonly type: 'entries' }
  | { readonly type: 'changes' }
  | { readonly type: 'claim', readonly key: string }
  | { readonly type: 'task', readonly taskId: string }
  | { readonly type: 'tasks' }
  | { readonly type: 'status' }

/** The answer to a query; the member of the same name is set. */
export interface ControlView {
  readonly entry?: EntryVersion
  readonly entries?: readonly EntryVersion[]
  readonly changes?: readonly ChangeProgress[]
  readonly claim?: Claim
  /** How long ago the claim was opened, in milliseconds; absent if that is not known. */
  readonly claimAgeMs?: number
  readonly task?: TaskRecord
  readonly tasks?: readonly TaskRecord[]
  readonly status?: ControlStatus
}

/** What the calls of other processes need from a control replica. */
export interface ControlPeer {
  propose (command: LedgerCommand): Promise<PeerAnswer<LedgerReply>>
  query (query: ControlQuery): Promise<PeerAnswer<ControlView>>
  watch (watch: CatalogueWatch): Promise<PeerAnswer<CatalogueUpdate>>
  deliver (from: string, messages: readonly ConsensusMessage[]): void
}

const trpc = initTRPC.create()

/** Commands and queries are checked by the ledger; between our processes only their shape is. */
function withType<Message extends { readonly type: string }> (input: unknown): Message {
  if (typeof input !== 'object' || input === null || typeof (input as { type?: unknown }).type !== 'string') {
    throw new TypeError('expected an object with a type')
  }
  return input as Message
}

const watchShape = object({
  since: number(),
  waitMs: number(),
  reports: array(object({ node: string(), role: string(), revision: number() }))
})

const deliveryShape = object({ from: string(), messages: array(object({ type: string() })) })

/** Makes the calls which a control replica answers. */
export function createControlRouter (peer: ControlPeer) {
  return trpc.router({
    /** Proposes a command; answered once it is committed. */
    propose: trpc.procedure.input(withType<LedgerCommand>).mutation(async ({ input }) => await peer.propose(input)),
    /** Reads from the leader. */
    query: trpc.procedure.input(withType<ControlQuery>).query(async ({ input }) => await peer.query(input)),
    /** Waits for catalogue changes. */
    watch: trpc.procedure.input(watchShape).mutation(async ({ input }) => await peer.watch(input as CatalogueWatch)),
    /** Takes messages of another replica. */
    deliver: trpc.procedure.input((input: unknown) => {
      const shape = deliveryShape['~standard'].validate(input)
      if (shape instanceof Promise || shape.issues !== undefined) throw new TypeError('expected messages of a replica')
      return input as { readonly from: string, readonly messages: readonly ConsensusMessage[] }
    }).mutation(({ input }) => { peer.deliver(input.from, input.messages) })
  })
}

/** The type of a control replica's calls, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>
