import type { ConsensusMessage } from '../../core/consensus'
import type { AbsenceReason, CallerAnswer, CallerCall, FormerBoot, ImagePressure, RunOrder, WorkerCrash, WorkerLook, WorkerReport } from '../../core/jobs'

/** A message from a process to a control replica or relay. */
export type ClientMessage =
  /** The first message of each stream. */
  | { readonly type: 'hello', readonly role: 'entry' | 'agent' | 'replica' | 'relay', readonly name: string }
  | { readonly type: 'call', readonly id: number, readonly call: CallerCall }
  | { readonly type: 'worker', readonly report: WorkerReport }
  | { readonly type: 'look', readonly look: WorkerLook }
  /** A boot of a worker has ended, by a crash if there is one. */
  | { readonly type: 'ended', readonly worker: string, readonly reason: string, readonly crash?: WorkerCrash | undefined }
  /** All boots on the agent's VM that were reported have ended, as no worker runs there or one that isn't used yet; with those of which the agent knows more. Repeated until one is reported. */
  | { readonly type: 'vacant', readonly formerBoots: readonly FormerBoot[] }
  /** A run is certainly not at its worker; repeated until `released` arrives or a complete list omits the run. */
  | { readonly type: 'absent', readonly worker: string, readonly task: string, readonly run: number, readonly reason: AbsenceReason }
  | { readonly type: 'consensus', readonly messages: readonly ConsensusMessage[] }

/** What a control replica or relay knows of the consensus group. */
export interface Directory {
  readonly type: 'directory'
  readonly isLeading: boolean
  readonly term: number
  readonly leader?: string | undefined
  readonly members: readonly string[]
  /** Whether the sender keeps the replicated log; a relay, on a VM without a disk, does not. */
  readonly keepsLog: boolean
  /** The replica that founds the group, chosen if none of the seeds keeps the log. */
  readonly founder?: string | undefined
}

/** A message from a control replica or relay to a connected process. */
export type ControlReply =
  /** The answer to `hello`; sent again to replicas when it changes. */
  | Directory
  | { readonly type: 'answer', readonly id: number, readonly answer: CallerAnswer }
  /** The lease of a worker, in milliseconds of its own clock. */
  | { readonly type: 'lease', readonly worker: string, readonly leaseEndMs: number }
  /** Whether the agent may start runs at its worker; sent on each new stream before the complete list, and when it changes. */
  | { readonly type: 'starts', readonly worker: string, readonly areAllowed: boolean }
  /** Orders for a worker; a complete list replaces all orders that the agent has. */
  | { readonly type: 'orders', readonly worker: string, readonly orders: readonly RunOrder[], readonly isComplete: boolean }
  /** Learned pressures of pairs of images, in addition to those sent before. */
  | { readonly type: 'pressures', readonly worker: string, readonly pressures: readonly ImagePressure[] }
  /** The release of a run that was given back is committed. */
  | { readonly type: 'released', readonly worker: string, readonly task: string, readonly run: number }
  /** Ends up to this sequence number are committed. */
  | { readonly type: 'acknowledged', readonly worker: string, readonly sequence: number }
