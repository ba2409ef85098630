import type { AbsenceReason, AdmissionRefusal, CallerAnswer, CallerCall, JobOperation, Manifest, RefusalReason, WorkerLook, WorkerReport } from '../../core/jobs'
import type { ControlReply } from './controlProtocol'

/** The stream of one agent, as the leader's task uses it. */
export interface AgentSession {
  readonly agent: string
  /** Grows with each stream that is accepted here. */
  readonly number: number
  send (message: AgentOrder): void
}

/** What the leader says to an agent. */
export type AgentOrder = Exclude<ControlReply, { readonly type: 'directory' | 'answer' }>

/** Why a job is not accepted. */
export interface Refusal {
  readonly reason: RefusalReason
  /** What a refusal under load rests on. */
  readonly overload?: AdmissionRefusal | undefined
}

/** How a manifest was received. */
export type ManifestOutcome = 'inForce' | 'notLeading' | 'unknown'

/** Whether an evacuation of an availability zone begins or ends. */
export type EvacuationChange = 'start' | 'end'

/** How an order to evacuate a zone, or its withdrawal, was received; one of no effect is committed, too. */
export type EvacuationOutcome = 'committed' | 'notLeading' | 'unknown'

/** A message to the leader of jobs; a tick lets it do what is due. */
export type JobLeaderMessage =
  /** The replica leads and has applied everything that was committed before. */
  | { readonly type: 'lead', readonly term: number }
  | { readonly type: 'follow' }
  | { readonly type: 'tick' }
  | { readonly type: 'call', readonly call: Extract<CallerCall, { readonly type: 'submit' | 'cancel' }>, readonly reply: (answer: CallerAnswer) => void }
  | { readonly type: 'manifest', readonly manifest: Manifest, readonly reply: (outcome: ManifestOutcome) => void }
  | { readonly type: 'evacuation', readonly zone: string, readonly change: EvacuationChange, readonly reply: (outcome: EvacuationOutcome) => void }
  | { readonly type: 'worker', readonly session: AgentSession, readonly report: WorkerReport }
  | { readonly type: 'look', readonly session: AgentSession, readonly look: WorkerLook }
  | { readonly type: 'ended', readonly session: AgentSession, readonly worker: string, readonly reason: string }
  | { readonly type: 'absent', readonly session: AgentSession, readonly worker: string, readonly task: string, readonly run: number, readonly reason: AbsenceReason }
  | { readonly type: 'agentLost', readonly session: AgentSession }
  | { readonly type: 'committed', readonly term: number, readonly batch: ProposedBatch, readonly isCommitted: boolean }

/** A message to the task of the leader. */
export type LeaderMessage = JobLeaderMessage | { readonly type: 'stop' }

/** Operations which were proposed together, and what waits for their commit. */
export interface ProposedBatch {
  readonly operations: readonly JobOperation[]
  /** Called once with whether the operations are committed. */
  readonly waiters: Array<(isCommitted: boolean) => void>
}
