import type http from 'node:http'
import type { Failure, FailureCode } from '../../core/failures'
import { callerHeaders, type Outcome } from '../../transport'

/** A failure as it is reported to a caller or an operator. */
export interface FailureReply {
  readonly failure: Failure
  readonly outcome: Outcome
  /** The suggested delay before a retry, in milliseconds. */
  readonly retryAfterMs?: number
}

const millisecondsPerSecond = 1000

const statuses: Readonly<Partial<Record<FailureCode, number>>> = {
  'request/malformed': 400,
  'request/unauthorized': 401,
  'request/unknown-path': 404,
  'request/unknown-entry': 404,
  'request/wrong-class': 405,
  'request/body-too-slow': 408,
  'request/body-too-large': 413,
  'request/duplicate': 409,
  'request/answer-lost': 409,
  'catalogue/invalid': 422,
  'catalogue/conflict': 409,
  'task/unknown': 404,
  'task/wrong-state': 409
}

/** The HTTP status of a failure: by its code; for other codes 503, or 502 or 504 if the outcome is unknown. */
export function statusOf (failure: Failure, outcome: Outcome): number {
  const status = statuses[failure.code]
  if (status !== undefined) return status
  if (outcome !== 'unknown') return 503
  return failure.code === 'request/deadline' ? 504 : 502
}

/** Answers with a failure as JSON; does nothing if the head was already sent or the connection is closed. */
export function replyFailure (response: http.ServerResponse, reply: FailureReply): void {
  if (response.headersSent || response.destroyed) return
  const { failure, outcome, retryAfterMs } = reply
  const status = statusOf(failure, outcome)
  const retryAfter = retryAfterMs ?? (status === 503 ? millisecondsPerSecond : undefined)
  replyJson(response, status, { outcome, failure: failure.code, message: failure.message, ...failure.detail }, {
    [callerHeaders.outcome]: outcome,
    [callerHeaders.failure]: failure.code,
    ...(retryAfter === undefined ? {} : { 'retry-after': String(Math.ceil(retryAfter / millisecondsPerSecond)) })
  })
}

/** Answers with a JSON body; does nothing if the head was already sent or the connection is closed. */
export function replyJson (response: http.ServerResponse, status: number, body: unknown, headers: http.OutgoingHttpHeaders = {}): void {
  if (response.headersSent || response.destroyed) return
  const text = JSON.stringify(body) + '\n'
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers })
  response.end(text)
}
