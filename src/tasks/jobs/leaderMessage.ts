import type { AbsenceReason, AdmissionRefusal, CallerAnswer, CallerCall, FormerBoot, JobOperation, Manifest, RefusalReason, WorkerCrash, WorkerLook, WorkerReport } from '../../core/jobs'
import type { ControlReply } from './controlProtocol'

/** The stream of one agent as the leader sees it; a new stream of the same agent is a new session. */
export interface AgentSession {
  readonly agent: string
  /** Increases with each stream that this replica accepts, so that of two sessions the newer is known. */
  readonly number: number
  send (message: MessageToAgent): void
}

/** A message from the leader to an agent: leases, orders and confirmations. */
export type MessageToAgent = Exclude<ControlReply, { readonly type: 'directory' | 'answer' }>

/** Why a job is refused. */
export interface Refusal {
  readonly reason: RefusalReason
  /** The figures on which a refusal for overload is based. */
  readonly overload?: AdmissionRefusal | undefined
}

/** The outcome of putting a manifest; `unknown` if it was proposed but its commit was not confirmed. */
export type ManifestOutcome = 'inForce' | 'notLeading' | 'unknown'

/** Whether the evacuation of an availability zone starts or ends. */
export type EvacuationChange = 'start' | 'end'

/** The outcome of starting or ending an evacuation; a request without effect is committed, too. */
export type EvacuationOutcome = 'committed' | 'notLeading' | 'unknown'

/** A message to `JobLeader`; a tick triggers whatever is due. */
export type JobLeaderMessage =
  /** The replica has become leader and has applied all earlier entries. */
  | { readonly type: 'lead', readonly term: number }
  | { readonly type: 'follow' }
  | { readonly type: 'tick' }
  | { readonly type: 'call', readonly call: Extract<CallerCall, { readonly type: 'submit' | 'cancel' }>, readonly reply: (answer: CallerAnswer) => void }
  | { readonly type: 'manifest', readonly manifest: Manifest, readonly reply: (outcome: ManifestOutcome) => void }
  | { readonly type: 'evacuation', readonly zone: string, readonly change: EvacuationChange, readonly reply: (outcome: EvacuationOutcome) => void }
  | { readonly type: 'worker', readonly session: AgentSession, readonly report: WorkerReport }
  | { readonly type: 'look', readonly session: AgentSession, readonly look: WorkerLook }
  | { readonly type: 'ended', readonly session: AgentSession, readonly worker: string, readonly reason: string, readonly crash?: WorkerCrash | undefined }
  | { readonly type: 'vacant', readonly session: AgentSession, readonly formerBoots: readonly FormerBoot[] }
  | { readonly type: 'absent', readonly session: AgentSession, readonly worker: string, readonly task: string, readonly run: number, readonly reason: AbsenceReason }
  /** The stream of an agent has ended: it was closed or reset by its VM, or nothing came on it any more. */
  | { readonly type: 'agentLost', readonly session: AgentSession, readonly isSilent: boolean }
  | { readonly type: 'committed', readonly term: number, readonly batch: ProposedBatch, readonly isCommitted: boolean }

/** A message to `LeaderTask`. */
export type LeaderMessage = JobLeaderMessage | { readonly type: 'stop' }

/** Operations that were proposed together, and the callbacks that await their commit; without operations, a confirmation of the leadership. */
export interface ProposedBatch {
  readonly operations: readonly JobOperation[]
  /** Each is called once with whether the operations are committed. */
  readonly waiters: Array<(isCommitted: boolean) => void>
}
