import type http from 'node:http'
import type { CallerAnswer, CallerCall, JobState } from '../core/jobs'
import type { Logger } from '../observability'
import type { RequestHandler } from '../transport'
import { sendInternalError, readBody, sendJson } from './httpBody'
import { decodeSubmission } from './submissionCodec'

/** Options of {@link createCallerHandler}. */
export interface CallerHandlerOptions {
  /** Forwards a call to the leader; `deadlineMs` is how long the caller waits for the answer. */
  readonly call: (call: CallerCall, deadlineMs: number) => Promise<CallerAnswer>
  readonly logger: Logger
  /** Reports an answered request: its kind, HTTP status, duration in milliseconds and `Host` header. */
  readonly onAnswered: (kind: string, status: number, durationMs: number, host: string) => void
}

/** Limit of a request body; a spec and the largest graph of steps are far smaller. */
const maximumBodyBytes = 262_144
/** How long a caller waits if it sends no `deadline-ms` header. */
const defaultDeadlineMs = 3000
/** Share of the caller's deadline granted to the leader, so that the answer arrives before the caller gives up. */
const answerDeadlineShare = 0.9

/** Handles the requests of callers: submits, cancels and reads jobs. */
export function createCallerHandler (options: CallerHandlerOptions): RequestHandler {
  return (request, response) => {
    serve(request, response, options).catch((error: unknown) => sendInternalError(response, options.logger, error))
  }
}

async function serve (request: http.IncomingMessage, response: http.ServerResponse, options: CallerHandlerOptions): Promise<void> {
  const receivedAt = performance.now()
  const call = await decodeCall(request)
  if (typeof call === 'number') return sendJson(response, call)
  const wait = Number(request.headers['deadline-ms'] ?? defaultDeadlineMs)
  const answer = await options.call(call, (Number.isFinite(wait) && wait > 0 ? wait : defaultDeadlineMs) * answerDeadlineShare)
  const { status, body, headers } = encodeAnswer(answer)
  const durationMs = performance.now() - receivedAt
  options.onAnswered(call.type, status, durationMs, call.host)
  if (call.type !== 'readState' || status >= 400) {
    options.logger.info('caller_answered', { call: call.type, path: call.path, status, answer: answer.type, reason: answer.type === 'refused' ? answer.reason : undefined, ms: Math.round(durationMs) })
  }
  sendJson(response, status, body, headers)
}

async function decodeCall (request: http.IncomingMessage): Promise<CallerCall | number> {
  const host = (request.headers.host ?? '').replace(/:\d+$/, '')
  const path = (request.url ?? '/').split('?')[0] ?? '/'
  switch (request.method) {
    case 'GET': return { type: 'readState', host, path }
    case 'DELETE': return { type: 'cancel', host, path }
    case 'POST': {
      const text = await readBody(request, maximumBodyBytes)
      if (text === undefined) return 413
      const submission = decodeSubmission(text)
      return submission.ok ? { type: 'submit', host, path, submission: submission.val } : 400
    }
    default: return 405
  }
}

interface EncodedAnswer {
  readonly status: number
  readonly body?: object
  readonly headers?: http.OutgoingHttpHeaders
}

function encodeAnswer (answer: CallerAnswer): EncodedAnswer {
  switch (answer.type) {
    case 'accepted': return { status: 200, body: {} }
    case 'cancelled': return { status: 200, body: {} }
    case 'state': return { status: 200, body: { state: stateNames[answer.state] } }
    case 'queued': return { status: 200, body: { pending: answer.count } }
    case 'noQueue': return { status: 404 }
    case 'noJob': return { status: 410 }
    case 'refused': return { status: answer.reason === 'overload' || answer.reason === 'hopeless' ? 429 : 503, headers: { 'retry-after': String(Math.max(1, Math.ceil(answer.retryAfterMs / 1000))) } }
    // After a 504 the platform retries with the same id.
    case 'unknown': return { status: 504 }
  }
}

const stateNames: Readonly<Record<JobState, string>> = { queued: 'queued', active: 'active', complete: 'complete', failed: 'failed', cancelled: 'cancelled' }

/** Handles readiness checks; the request body is not read. */
export function createReadinessHandler (isReady: () => boolean): RequestHandler {
  return (request, response) => {
    if (request.url !== '/-/readyz') return sendJson(response, 404)
    sendJson(response, isReady() ? 200 : 503)
  }
}
