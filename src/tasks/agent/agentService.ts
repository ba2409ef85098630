import http from 'node:http'
import { randomUUID } from 'node:crypto'
import type { Arrival, EndStatus } from '../../core/endpointGate'
import { Failure } from '../../core/failures'
import { Histograms, type Logger, type Metrics } from '../../observability'
import { callerHeaders, ConnectionPool, createPeerHandler, formatAddress, internalHeaders, openListener, peerListenerBounds, type Address, type Listener } from '../../transport'
import type { AgentMessage, ForwardedRequest } from './agentMessage'
import type { AnswerBuffer } from './answerBuffer'
import { createAgentRouter } from './agentRouter'
import { AgentTask } from './agentTask'
import { Announcer } from './announcer'
import { EndpointExchange } from './endpointExchange'
import type { Mailbox } from '../mailbox'
import { openStatusListener } from '../statusListener'

/** Options of an agent. Times are in milliseconds. */
export interface AgentOptions {
  readonly name: string
  readonly zone: string
  readonly listen: Address
  /** The address that entry processes use, if it differs from the listening address. */
  readonly advertise?: Address
  /** The listening address for status requests; without it no histograms are recorded. */
  readonly status?: Address
  readonly endpoint: Address
  readonly entryAddresses: readonly Address[]
  /** The catalogue entries that the endpoint serves. */
  readonly catalogueEntries: readonly string[]
  readonly slots: number
  readonly queue: number
  /** The most connections opened to the endpoint. */
  readonly connections: number
  readonly peerKey: string
  readonly announceMs: number
  readonly heartbeatMs: number
  readonly rememberMs: number
  readonly maximumRecords: number
  /** Bytes of one answer that are buffered so that it can be fetched again. */
  readonly keptAnswerBytes: number
  /** The total size of all buffered complete answers, in bytes. */
  readonly keptBytes: number
  readonly catalogueLeaseMs: number
  readonly callTimeoutMs: number
  readonly idleConnectionMs: number
  readonly now: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}

/** A running agent; the addresses are those that it actually listens on. */
export interface Agent {
  readonly address: Address
  readonly incarnation: string
  /** The address for status requests; undefined if the options have none. */
  readonly status: Address | undefined
  /** The catalogue revision that the agent enforces. */
  readonly revision: () => number
  /** Announces the drain to all entry processes, finishes the requests in progress, then stops. */
  drain (): Promise<void>
  /** Stops immediately and drops all connections, as a crash would. */
  kill (): void
}

const requestPath = '/request'
const answerPath = '/answer/'
/** The memory accounted per buffered answer in addition to its body, for headers and bookkeeping. */
const answerOverheadBytes = 1024
const endpointTimeoutMarginMs = 1000

/** Starts an agent for an endpoint; resolves once it listens. */
export async function createAgent (options: AgentOptions): Promise<Agent> {
  const service = new AgentService(options)
  await service.start()
  return service
}

class AgentService implements Agent {
  readonly incarnation = randomUUID()
  private readonly connections: http.Agent
  private readonly pool: ConnectionPool
  private readonly exchanges = new Map<string, EndpointExchange>()
  private readonly waiting = new Set<http.ServerResponse>()
  /** Complete answers by request id, oldest first. */
  private readonly ended = new Map<string, AnswerBuffer>()
  private keptBytes = 0
  private announcers: readonly Announcer[] = []
  private heartbeat: NodeJS.Timeout | undefined
  private listener: Listener | undefined
  private statusListener: Listener | undefined
  private histograms: Histograms | undefined
  private task: AgentTask | undefined

  constructor (private readonly options: AgentOptions) {
    this.connections = new http.Agent({ keepAlive: true, maxSockets: options.connections, timeout: 1000 })
    this.pool = new ConnectionPool({ idleMs: options.idleConnectionMs, maximumPerAddress: 4 })
  }

  get address (): Address {
    return this.requireListener().address
  }

  get status (): Address | undefined {
    return this.statusListener?.address
  }

  revision = (): number => this.task?.revision ?? 0

  async start (): Promise<void> {
    const { options } = this
    this.listener = await openListener({
      address: options.listen,
      handle: (request, response) => this.handle(request, response),
      isContinueManual: true,
      ...peerListenerBounds
    })
    const address = formatAddress(options.advertise ?? this.listener.address)
    this.task = new AgentTask({
      name: options.name,
      incarnation: this.incarnation,
      address,
      zone: options.zone,
      entries: options.catalogueEntries,
      gate: { slots: options.slots, queue: options.queue, rememberMs: options.rememberMs, maximumRecords: options.maximumRecords },
      catalogueLeaseMs: options.catalogueLeaseMs,
      now: options.now,
      onStaleCatalogue: () => this.requestAnnouncements()
    })
    this.handlePeer = createPeerHandler({
      peerKey: options.peerKey,
      router: createAgentRouter(this.mailbox),
      fallback: (request, response) => this.handleRequest(request, response)
    })
    this.announcers = options.entryAddresses.map(entry => new Announcer({
      entry,
      agent: this.mailbox,
      pool: this.pool,
      peerKey: options.peerKey,
      intervalMs: options.announceMs,
      timeoutMs: options.callTimeoutMs,
      revision: this.revision,
      now: options.now,
      logger: options.logger
    }))
    if (options.status !== undefined) {
      this.histograms = await Histograms.create()
      this.statusListener = await openStatusListener(options.status, () => this.describe())
    }
    this.heartbeat = setInterval(() => this.sendHeartbeats(), options.heartbeatMs)
    options.logger.info('agent_started', { address, incarnation: this.incarnation })
  }

  async drain (): Promise<void> {
    this.options.logger.info('agent_draining')
    const drained = new Promise<void>(resolve => this.mailbox.post({ type: 'drain', reply: resolve }))
    this.requestAnnouncements()
    await drained
    await this.requireListener().drain()
    this.stop()
    this.options.logger.info('agent_stopped')
  }

  kill (): void {
    this.stop()
    this.requireListener().destroy()
    for (const exchange of this.exchanges.values()) exchange.answer.cut()
    this.connections.destroy()
  }

  private handlePeer: (request: http.IncomingMessage, response: http.ServerResponse) => void = (_request, response) => {
    response.writeHead(503).end()
  }

  private handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    response.on('error', () => {})
    this.handlePeer(request, response)
  }

  private get mailbox (): Mailbox<AgentMessage> {
    if (this.task === undefined) throw new Failure('request/draining')
    return this.task.mailbox
  }

  private requireListener (): Listener {
    if (this.listener === undefined) throw new Failure('request/draining')
    return this.listener
  }

  private requestAnnouncements (): void {
    for (const announcer of this.announcers) announcer.requestAnnouncement()
  }

  private handleRequest (request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? ''
    if (url.startsWith(answerPath)) this.attach(url.slice(answerPath.length), request, response)
    else if (url.startsWith(requestPath)) this.forward(request, response)
    else response.writeHead(404).end()
  }

  private forward (request: http.IncomingMessage, response: http.ServerResponse): void {
    const forwarded = readForwardedRequest(request, this.options.now())
    const run = (): void => {
      this.waiting.delete(response)
      this.run(forwarded, request, response)
    }
    const expired = (): void => {
      this.waiting.delete(response)
      this.replyRefusal(forwarded, response, new Failure('request/deadline'))
    }
    const decided = (arrival: Arrival): void => {
      if (arrival.type === 'run') run()
      if (arrival.type === 'wait') this.waiting.add(response)
      if (arrival.type === 'refused') this.replyRefusal(forwarded, response, arrival.failure)
    }
    this.mailbox.post({ type: 'arrive', request: forwarded, listener: { decided, started: run, expired } })
  }

  private run (forwarded: ForwardedRequest, request: http.IncomingMessage, response: http.ServerResponse): void {
    const { options } = this
    const startedAt = options.now()
    // The entry process sends a large body only after 100 Continue, so that after a refusal it need not be sent a second time.
    if (request.headers.expect !== undefined) response.writeContinue()
    const exchange = new EndpointExchange({
      endpoint: options.endpoint,
      connections: this.connections,
      path: (request.url ?? '').slice(requestPath.length) || '/',
      request,
      response,
      keptBytes: options.keptAnswerBytes,
      timeoutMs: Math.max(1, forwarded.deadlineAt - startedAt) + endpointTimeoutMarginMs,
      answerHeaders: () => this.answerHeaders(forwarded.source),
      ended: status => {
        this.record(forwarded.entry, options.now() - startedAt, status)
        this.mailbox.post({ type: 'finish', requestId: forwarded.requestId, status })
        this.keep(forwarded.requestId)
      }
    })
    this.exchanges.set(forwarded.requestId, exchange)
  }

  private record (entry: string, durationMs: number, status: EndStatus): void {
    this.options.metrics.duration('agent.request', durationMs, { entry, status })
    const organisation = this.task?.organisationOf(entry) ?? 'unknown'
    this.histograms?.record(organisation, entry, durationMs)
  }

  private describe (): object {
    return {
      agent: this.options.name,
      incarnation: this.incarnation,
      revision: this.revision(),
      busy: this.task?.loadFor('').busy ?? 0,
      histograms: this.histograms?.summarize() ?? []
    }
  }

  private replyRefusal (forwarded: ForwardedRequest, response: http.ServerResponse, failure: Failure): void {
    if (response.destroyed || response.headersSent) return
    this.options.metrics.count('agent.refused', 1, { code: failure.code })
    response.writeHead(503, {
      ...this.answerHeaders(forwarded.source),
      // The first request with this id may run; only this duplicate is certain not to.
      [callerHeaders.outcome]: failure.code === 'agent/duplicate' ? 'unknown' : 'not-run',
      [callerHeaders.failure]: failure.code
    })
    response.end(failure.message)
  }

  private answerHeaders (source: string): http.OutgoingHttpHeaders {
    const load = this.task?.loadFor(source) ?? { busy: 0, yours: 0 }
    return {
      [internalHeaders.load]: `${load.busy},${load.yours}`,
      [internalHeaders.revision]: String(this.revision())
    }
  }

  /** Sends the answer of an earlier request over a new connection, from the requested offset on. */
  private attach (requestId: string, request: http.IncomingMessage, response: http.ServerResponse): void {
    const offset = Number(request.headers[internalHeaders.offset] ?? 0)
    const headers = { [callerHeaders.outcome]: 'answered', [internalHeaders.offset]: String(offset) }
    const answer = this.exchanges.get(requestId)?.answer ?? this.ended.get(requestId)
    const isAttached = answer?.attach(response, offset, headers) ?? false
    if (isAttached) {
      response.writeProcessing()
      return
    }
    response.writeHead(404, { [callerHeaders.outcome]: 'unknown', [callerHeaders.failure]: 'request/answer-lost' }).end()
  }

  /** Sends 102 Processing for all unanswered requests, so that entry processes do not treat their connections as failed. */
  private sendHeartbeats (): void {
    for (const response of this.waiting) writeHeartbeat(response)
    for (const exchange of this.exchanges.values()) {
      const reader = exchange.answer.waitingReader
      if (reader !== undefined) writeHeartbeat(reader)
    }
  }

  /** Retains a complete answer; the oldest answers are evicted when the total exceeds the limit. */
  private keep (requestId: string): void {
    const answer = this.exchanges.get(requestId)?.answer
    this.exchanges.delete(requestId)
    if (answer?.isWhole !== true) return
    this.ended.set(requestId, answer)
    this.keptBytes += answer.size + answerOverheadBytes
    for (const [oldest, { size }] of this.ended) {
      if (this.keptBytes <= this.options.keptBytes) return
      this.keptBytes -= size + answerOverheadBytes
      this.ended.delete(oldest)
    }
  }

  private stop (): void {
    clearInterval(this.heartbeat)
    this.statusListener?.destroy()
    for (const announcer of this.announcers) announcer.stop()
    this.mailbox.post({ type: 'stop' })
    this.pool.close()
  }
}

function writeHeartbeat (response: http.ServerResponse): void {
  if (!response.headersSent && !response.destroyed) response.writeProcessing()
}

function readForwardedRequest (request: http.IncomingMessage, now: number): ForwardedRequest {
  const text = (name: string): string => String(request.headers[name] ?? '')
  return {
    requestId: text(internalHeaders.requestId),
    incarnation: text(internalHeaders.incarnation),
    source: text(internalHeaders.source),
    entry: text(internalHeaders.entry),
    entryVersion: Number(text(internalHeaders.entryVersion)),
    revision: Number(text(internalHeaders.revision)),
    revisionAgeMs: Number(text(internalHeaders.revisionAge)),
    deadlineAt: now + Number(text(callerHeaders.timeout))
  }
}
