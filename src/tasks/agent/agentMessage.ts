import type { CatalogueUpdate } from '../../core/catalogue'
import type { Arrival, ArrivingRequest, EndStatus, RequestStatus } from '../../core/endpointGate'
import type { Announcement } from '../../core/routing'

/** A request as an entry process forwards it. */
export interface ForwardedRequest extends Omit<ArrivingRequest, 'concurrency'> {
  readonly incarnation: string
  /** The version of its catalogue entry which the entry process acted on. */
  readonly entryVersion: number
  /** The sender's catalogue revision, and how long ago it was the newest. */
  readonly revision: number
  readonly revisionAgeMs: number
}

/** What an agent does with a forwarded request. Later calls tell when a waiting one starts or is given up. */
export interface RequestListener {
  decided (arrival: Arrival): void
  started (): void
  expired (): void
}

/** A message to the task of an agent. */
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
