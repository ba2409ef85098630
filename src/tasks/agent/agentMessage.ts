import type { CatalogueUpdate } from '../../core/catalogue'
import type { Arrival, ArrivingRequest, EndStatus, RequestStatus } from '../../core/endpointGate'
import type { Announcement } from '../../core/routing'

/** A request as forwarded by an entry process, with the catalogue state on which it was routed. */
export interface ForwardedRequest extends Omit<ArrivingRequest, 'concurrency'> {
  readonly incarnation: string
  /** The version of the catalogue entry that the entry process used. */
  readonly entryVersion: number
  /** The sender's catalogue revision, and the time since it was last known to be the newest. */
  readonly revision: number
  readonly revisionAgeMs: number
}

/** Receives the decision about a forwarded request, and for a waiting one whether it starts or expires. */
export interface RequestListener {
  decided (arrival: Arrival): void
  started (): void
  expired (): void
}

/** A message to the mailbox of an AgentTask. */
export type AgentMessage =
  | { readonly type: 'arrive', readonly request: ForwardedRequest, readonly listener: RequestListener }
  | { readonly type: 'finish', readonly requestId: string, readonly status: EndStatus }
  | { readonly type: 'abandon', readonly requestId: string, readonly incarnation: string, readonly sentMsAgo: number, readonly reply: (status: RequestStatus) => void }
  | { readonly type: 'status', readonly requestId: string, readonly incarnation: string, readonly reply: (status: RequestStatus) => void }
  | { readonly type: 'update', readonly update: CatalogueUpdate }
  | { readonly type: 'confirm', readonly revision: number, readonly ageMs: number }
  | { readonly type: 'announcement', readonly source: string, readonly reply: (announcement: Announcement) => void }
  | { readonly type: 'tick' }
  | { readonly type: 'drain', readonly reply: () => void }
  | { readonly type: 'stop' }
