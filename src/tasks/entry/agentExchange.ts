import type http from 'node:http'
import type { Dispatch } from '../../core/dispatch'
import type { EndpointLoad } from '../../core/endpointGate'
import { Failure } from '../../core/failures'
import type { EndpointOutcome } from '../../core/routing'
import { callerHeaders, selectForwardedHeaders } from '../../transport'
import { delay, awaitPromise, type Mailbox, type TaskStep } from '../mailbox'
import { AgentConnection, type ConnectionEvent } from './agentConnection'
import type { AgentTarget } from './agentClient'
import { readFailure, readLoad, toEndpointOutcome, type AttemptEnd } from './attemptEnd'
import type { BufferedBody } from './bodyReader'
import type { EntryContext } from './entryContext'
import type { RequestPlan } from './requestPlan'

/** An event in the exchange of one caller: from the agent connection, the dispatcher, a timeout or the caller. */
export type ExchangeEvent =
  | ConnectionEvent
  | { readonly type: 'dispatched', readonly dispatch: Dispatch }
  | { readonly type: 'silent' }
  | { readonly type: 'deadline' }
  | { readonly type: 'callerGone' }

/** How often an answer is fetched again before its outcome is reported as unknown. */
const maximumFetches = 8
/** How often the status of a request is requested from an agent that does not answer. */
const maximumStatusCalls = 4
const statusRetryDelayMs = 150

/** Options of an AgentExchange. */
export interface AgentExchangeOptions {
  readonly context: EntryContext
  readonly plan: RequestPlan
  readonly body: BufferedBody
  readonly request: http.IncomingMessage
  readonly response: http.ServerResponse
  /** The mailbox of the caller's exchange; dispatch events arrive here too. */
  readonly events: Mailbox<ExchangeEvent>
  /** Called with each chunk of the answer. */
  readonly onChunk: (chunk: Buffer) => void
}

/** Sends one caller's request to agents, one attempt at a time, and forwards the answer. */
export class AgentExchange {
  private connection: AgentConnection | undefined
  private forwardedBytes = 0
  private lastLoad: EndpointLoad | undefined
  /** The earliest time at which the request of this attempt can have been sent. */
  private sentAt = 0
  /** Whether the head of the answer has been sent to the caller. */
  isForwarding = false
  /** Whether a body was streamed to an agent; it is not buffered, so it cannot be sent again. */
  hasStreamedBody = false
  /** The HTTP status of the answer; zero before its head has arrived. */
  status = 0
  contentType = ''

  constructor (private readonly options: AgentExchangeOptions) {}

  /** Checks the request's deadline, the silence of the agent and the idle time of the caller. */
  check (now: number): void {
    const { context, plan, response, events } = this.options
    if (!this.isForwarding && now >= plan.deadlineAt) events.offer({ type: 'deadline' })
    if (this.connection === undefined) return
    if (this.connection.silentMs(now) > context.bounds.silenceMs) events.offer({ type: 'silent' })
    if (this.connection.backpressureMs(now) > context.bounds.callerIdleMs) response.destroy()
  }

  /** Closes the connection to the agent. */
  close (): void {
    this.connection?.destroy()
    this.connection = undefined
  }

  /** Runs one attempt at one endpoint to its end and reports the result to the dispatcher. */
  * run (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    const startedAt = this.options.context.now()
    this.sentAt = startedAt
    this.connection = this.open(target, requestId)
    const end = yield * this.awaitEnd(target, requestId)
    this.connection?.destroy()
    this.connection = undefined
    this.ended(target, toEndpointOutcome(end), this.options.context.now() - startedAt, end.type === 'notRun' ? end.load : this.lastLoad)
    return end
  }

  /** Fetches the answer of a request that another exchange sent; `sentAt` is the earliest possible time of sending, by this process's clock. */
  * fetch (target: AgentTarget, requestId: string, sentAt: number): TaskStep<AttemptEnd> {
    this.sentAt = sentAt
    this.connection = this.watch(this.options.context.agents.fetchAnswer(target, requestId, 0))
    const end = yield * this.awaitEnd(target, requestId)
    this.close()
    return end
  }

  private * awaitEnd (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    let fetches = 0
    for (;;) {
      const event = yield * this.options.events.take()
      if (event === undefined || event.type === 'callerGone') return yield * this.handleCallerGone(target, requestId)
      if (event.type === 'deadline' && !this.isForwarding) return yield * this.handleDeadline(target, requestId)
      if ('connection' in event && event.connection !== this.connection) continue
      if (event.type === 'done') return { type: 'answered' }
      if (event.type === 'head') {
        const end = this.handleHead(event.response, event.connection)
        if (end !== undefined) return end
      }
      if (event.type === 'broken' || (event.type === 'silent' && this.isSilent())) {
        fetches += 1
        const end = yield * this.recover(target, requestId, fetches)
        if (end !== undefined) return end
      }
    }
  }

  private isSilent (): boolean {
    return (this.connection?.silentMs(this.options.context.now()) ?? 0) > this.options.context.bounds.silenceMs
  }

  /** Starts forwarding an answer, or returns how the attempt ended without one. */
  private handleHead (head: http.IncomingMessage, connection: AgentConnection): AttemptEnd | undefined {
    this.lastLoad = readLoad(head) ?? this.lastLoad
    const outcome = head.headers[callerHeaders.outcome]
    if (outcome === 'answered') {
      this.forward(head, connection)
      return undefined
    }
    head.resume()
    const failure = readFailure(head)
    // An answer without an outcome header comes from the agent's listener, which refused the request before the agent handled it.
    return outcome === 'unknown' ? { type: 'unknown', failure } : { type: 'notRun', failure, load: this.lastLoad }
  }

  private forward (head: http.IncomingMessage, connection: AgentConnection): void {
    if (!this.isForwarding) {
      this.isForwarding = true
      this.status = head.statusCode ?? 502
      this.contentType = String(head.headers['content-type'] ?? '')
      this.options.response.writeHead(this.status, head.statusMessage, { ...selectForwardedHeaders(head.headers), [callerHeaders.outcome]: 'answered' })
    }
    connection.forwardBody(head, this.options.response, chunk => {
      this.forwardedBytes += chunk.length
      this.options.onChunk(chunk)
    })
  }

  /** Determines the status of a request whose connection broke or went silent, and fetches its answer if it is waiting, running or has run. */
  private * recover (target: AgentTarget, requestId: string, fetches: number): TaskStep<AttemptEnd | undefined> {
    this.connection?.destroy()
    this.connection = undefined
    this.options.context.agents.closeIdleConnections(target)
    this.options.context.metrics.count('entry.recovered_connection', 1, { agent: target.agent })
    const status = yield * this.abandonWithRetries(target, requestId, this.sentAt)
    if (status === 'notRun') return { type: 'notRun', failure: new Failure('transport/broken', { subject: target.agent }), load: undefined }
    const hasAnswer = status === 'waiting' || status === 'running' || status === 'ran'
    if (!hasAnswer || fetches > maximumFetches || this.hasUnfinishedBody()) {
      return { type: 'unknown', failure: new Failure('request/outcome-unknown', { subject: target.agent }) }
    }
    this.connection = this.watch(this.options.context.agents.fetchAnswer(target, requestId, this.forwardedBytes))
    return undefined
  }

  private hasUnfinishedBody (): boolean {
    return this.hasStreamedBody && !this.options.request.complete
  }

  /** Abandons a request, retrying until the agent answers; undefined if the agent has gone, the deadline has passed or all calls failed. */
  * abandonWithRetries (target: AgentTarget, requestId: string, sentAt: number): TaskStep<string | undefined> {
    for (let call = 0; call < maximumStatusCalls; call += 1) {
      const status = yield * awaitPromise(this.options.context.agents.abandon(target, requestId, this.options.context.now() - sentAt))
      if (status !== undefined) return status
      const isGone = this.options.context.dispatch.findAgent(target.agent)?.incarnation !== target.incarnation
      if (isGone || this.options.context.now() >= this.options.plan.deadlineAt) return undefined
      yield * delay(statusRetryDelayMs)
    }
    return undefined
  }

  /** At the deadline, abandons the request so that the caller learns whether it can still run. */
  private * handleDeadline (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    const failure = new Failure('request/deadline', { subject: this.options.plan.entry.name })
    const status = yield * awaitPromise(this.options.context.agents.abandon(target, requestId, this.options.context.now() - this.sentAt))
    if (status === 'notRun') return { type: 'notRun', failure, load: undefined }
    return { type: 'unknown', failure }
  }

  /** After the caller has disconnected, abandons the request so that it does not start. */
  private * handleCallerGone (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    yield * awaitPromise(this.options.context.agents.abandon(target, requestId, this.options.context.now() - this.sentAt))
    return { type: 'callerGone' }
  }

  private open (target: AgentTarget, requestId: string): AgentConnection {
    const { plan, context, body } = this.options
    const { catalogue } = context.catalogue
    const headers = { ...plan.headers }
    if (body.isWhole) {
      if (body.start.length > 0 || headers['content-length'] !== undefined) headers['content-length'] = String(body.start.length)
    } else {
      headers['expect'] = '100-continue'
    }
    const now = context.now()
    const request = context.agents.send(target, {
      method: plan.method,
      path: plan.path,
      headers,
      requestId,
      source: context.source,
      entry: plan.entry.name,
      entryVersion: plan.entryVersion,
      revision: catalogue.revision,
      revisionAgeMs: catalogue.ageMs(now),
      timeoutMs: plan.deadlineAt - now
    })
    const connection = this.watch(request)
    if (body.isWhole) request.end(body.start)
    else this.streamAfterContinue(request)
    return connection
  }

  private streamAfterContinue (upstream: http.ClientRequest): void {
    upstream.flushHeaders()
    upstream.once('continue', () => {
      this.hasStreamedBody = true
      upstream.write(this.options.body.start)
      this.limitBodySize()
      this.options.request.pipe(upstream)
      this.options.request.once('close', () => { if (!this.options.request.complete) upstream.destroy() })
    })
  }

  /** Aborts a body without a declared length at the size limit, so that the endpoint sees an aborted request and not a complete shorter one. */
  private limitBodySize (): void {
    let size = this.options.body.start.length
    this.options.request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > this.options.context.bounds.maximumBodyBytes) this.options.request.destroy()
    })
  }

  private watch (request: http.ClientRequest): AgentConnection {
    return new AgentConnection(request, this.options.context.now, event => this.options.events.offer(event))
  }

  private ended (target: AgentTarget, endpointOutcome: EndpointOutcome, durationMs: number, load: EndpointLoad | undefined): void {
    this.options.context.dispatch.mailbox.post({ type: 'ended', end: { agent: target.agent, incarnation: target.incarnation, endpointOutcome, durationMs, load } })
  }
}
