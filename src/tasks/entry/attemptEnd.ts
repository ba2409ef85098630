import type http from 'node:http'
import type { EndpointLoad } from '../../core/endpointGate'
import { Failure, isFailureRecord } from '../../core/failures'
import type { EndpointOutcome } from '../../core/routing'
import { callerHeaders, internalHeaders } from '../../transport'

/** How an attempt at one endpoint ended; `notRun` is certain, `unknown` means that the request may have run. */
export type AttemptEnd =
  | { readonly type: 'answered' }
  | { readonly type: 'notRun', readonly failure: Failure, readonly load: EndpointLoad | undefined }
  | { readonly type: 'unknown', readonly failure: Failure }
  | { readonly type: 'callerGone' }

/** Whether a failure rules the endpoint out for further attempts. A full endpoint, a broken connection or a stale catalogue does not. */
export function excludesEndpoint (failure: Failure): boolean {
  return !['agent/no-slot', 'transport/broken', 'request/stale-catalogue'].includes(failure.code)
}

/** Maps the end of an attempt to the outcome that the endpoint's health is judged by. */
export function toEndpointOutcome (end: AttemptEnd): EndpointOutcome {
  if (end.type === 'answered') return 'answered'
  if (end.type === 'callerGone') return 'cancelled'
  if (end.type === 'notRun') return end.failure.code === 'agent/endpoint-failed' ? 'failed' : 'refused'
  return 'failed'
}

/** Reads the load that an agent reports in a header of its answer; undefined without the header. */
export function readLoad (head: http.IncomingMessage): EndpointLoad | undefined {
  const text = head.headers[internalHeaders.load]
  if (typeof text !== 'string') return undefined
  const [busy = 0, yours = 0] = text.split(',').map(Number)
  return { busy, yours }
}

/** Reads the failure that an agent reports instead of an answer; an unknown or missing code becomes `transport/broken`. */
export function readFailure (head: http.IncomingMessage): Failure {
  const record = { code: head.headers[callerHeaders.failure], detail: {} }
  if (isFailureRecord(record)) return new Failure(record.code)
  return new Failure('transport/broken', { got: `status ${head.statusCode ?? 0}` })
}
