import type http from 'node:http'
import type { EndpointLoad } from '../../core/endpointGate'
import { Failure, isFailureRecord } from '../../core/failures'
import type { EndpointOutcome } from '../../core/routing'
import { callerHeaders, internalHeaders } from '../../transport'

/** How an attempt at one endpoint ended. */
export type AttemptEnd =
  | { readonly type: 'answered' }
  | { readonly type: 'notRun', readonly failure: Failure, readonly load: EndpointLoad | undefined }
  | { readonly type: 'unknown', readonly failure: Failure }
  | { readonly type: 'callerGone' }

/** Failures after which the same endpoint should not get the request again. A full or unsure endpoint may. */
export function isEndpointProblem (failure: Failure): boolean {
  return !['agent/no-slot', 'transport/broken', 'request/stale-catalogue'].includes(failure.code)
}

/** What an end says about the health of the endpoint. */
export function signOf (end: AttemptEnd): EndpointOutcome {
  if (end.type === 'answered') return 'answered'
  if (end.type === 'callerGone') return 'cancelled'
  if (end.type === 'notRun') return end.failure.code === 'agent/endpoint-failed' ? 'failed' : 'refused'
  return 'failed'
}

/** The load which an agent reports with an answer. */
export function readLoad (head: http.IncomingMessage): EndpointLoad | undefined {
  const text = head.headers[internalHeaders.load]
  if (typeof text !== 'string') return undefined
  const [busy = 0, yours = 0] = text.split(',').map(Number)
  return { busy, yours }
}

/** The failure which an agent reports in place of an answer. */
export function readFailure (head: http.IncomingMessage): Failure {
  const record = { code: head.headers[callerHeaders.failure], detail: {} }
  if (isFailureRecord(record)) return new Failure(record.code)
  return new Failure('transport/broken', { got: `status ${head.statusCode ?? 0}` })
}
