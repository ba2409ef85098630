import type { ConsensusMessage } from '../../core/consensus'
import type { AbsenceReason, CallerAnswer, CallerCall, ImagePressure, RunOrder, WorkerLook, WorkerReport } from '../../core/jobs'

/** What a process says to a control replica on its stream. */
export type ClientMessage =
  /** The first message of each stream. */
  | { readonly type: 'hello', readonly role: 'entry' | 'agent' | 'replica' | 'relay', readonly name: string }
  | { readonly type: 'call', readonly id: number, readonly call: CallerCall }
  | { readonly type: 'worker', readonly report: WorkerReport }
  | { readonly type: 'look', readonly look: WorkerLook }
  /** A boot of a worker has ended. */
  | { readonly type: 'ended', readonly worker: string, readonly reason: string }
  /** A run is certainly not at its worker; sent again until `released` comes or a complete list lacks the run. */
  | { readonly type: 'absent', readonly worker: string, readonly task: string, readonly run: number, readonly reason: AbsenceReason }
  | { readonly type: 'consensus', readonly messages: readonly ConsensusMessage[] }

/** What a process that serves control knows of the group. */
export interface Directory {
  readonly type: 'directory'
  readonly isLeading: boolean
  readonly term: number
  readonly leader?: string | undefined
  readonly members: readonly string[]
  /** Whether the sender keeps the log; one on a VM without a disk does not. */
  readonly keepsLog: boolean
  /** The replica which begins the group, if none of the seeds keeps the log. */
  readonly founder?: string | undefined
}

/** What a control replica answers. */
export type ControlReply =
  /** The answer to `hello`, sent again to replicas when it changes. */
  | Directory
  | { readonly type: 'answer', readonly id: number, readonly answer: CallerAnswer }
  /** The lease of a worker, in milliseconds of its own clock. */
  | { readonly type: 'lease', readonly worker: string, readonly leaseEndMs: number }
  /** Whether the agent may have runs started at its worker; sent on each new stream before the complete list, and when it changes. */
  | { readonly type: 'starts', readonly worker: string, readonly areAllowed: boolean }
  /** Orders for a worker; a complete list replaces all that the agent held. */
  | { readonly type: 'orders', readonly worker: string, readonly orders: readonly RunOrder[], readonly isComplete: boolean }
  /** What was learned of pairs of images, beside what was sent before. */
  | { readonly type: 'pressures', readonly worker: string, readonly pressures: readonly ImagePressure[] }
  /** It is committed that a run which was given back is over. */
  | { readonly type: 'released', readonly worker: string, readonly task: string, readonly run: number }
  /** Ends up to this sequence number are committed. */
  | { readonly type: 'acknowledged', readonly worker: string, readonly sequence: number }
