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
  /** How long a request that is read now may have waited unread, in milliseconds, because the process was stopped or its VM suspended. */
  readonly unreadMs: () => number
  /** Monotonic time in milliseconds, including suspensions of the VM. */
  readonly now: () => number
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
/** Delay in milliseconds after which a caller whose submission was read too late may submit again. */
const retryAfterOverdueMs = 1000

/** Handles the requests of callers: submits, cancels and reads jobs. */
export function createCallerHandler (options: CallerHandlerOptions): RequestHandler {
  return (request, response) => {
    serve(request, response, options).catch((error: unknown) => sendInternalError(response, options.logger, error))
  }
}

async function serve (request: http.IncomingMessage, response: http.ServerResponse, options: CallerHandlerOptions): Promise<void> {
  const receivedAt = options.now()
  const unreadMs = options.unreadMs()
  const call = await decodeCall(request)
  if (typeof call === 'number') return sendJson(response, call)
  if (unreadMs > 0) await readWaitingInput()
  if (call.type === 'submit' && hasCallerLeft(request, unreadMs)) return options.logger.info('caller_left', { call: call.type, path: call.path, unread_ms: Math.round(unreadMs) })
  const wait = Number(request.headers['deadline-ms'] ?? defaultDeadlineMs)
  const waitMs = (Number.isFinite(wait) && wait > 0 ? wait : defaultDeadlineMs) * answerDeadlineShare
  const remainingMs = waitMs - unreadMs - (options.now() - receivedAt)
  const isOverdue = call.type === 'submit' && remainingMs <= 0
  const answer: CallerAnswer = isOverdue ? { type: 'refused', reason: 'overdue', retryAfterMs: retryAfterOverdueMs } : await options.call(call, call.type === 'submit' ? remainingMs : waitMs)
  const { status, body, headers } = encodeAnswer(answer)
  const durationMs = options.now() - receivedAt
  options.onAnswered(call.type, status, durationMs, call.host)
  if (call.type !== 'readState' || status >= 400) {
    options.logger.info('caller_answered', { call: call.type, path: call.path, status, answer: answer.type, reason: answer.type === 'refused' ? answer.reason : undefined, ms: Math.round(durationMs) })
  }
  sendJson(response, status, body, headers)
}

/** Resolves after the event loop has read further input: the end of a connection is read in the turn after its last request. */
async function readWaitingInput (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
  await new Promise(resolve => setImmediate(resolve))
}

/** Whether the caller has left. One that only ends its own side right after its request still waits for the answer; one that did so while the process stood still does not. */
function hasCallerLeft ({ socket }: http.IncomingMessage, unreadMs: number): boolean {
  return socket.destroyed || (unreadMs > 0 && socket.readableEnded)
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
