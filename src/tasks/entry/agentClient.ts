import http from 'node:http'
import { createTRPCClient, type TRPCClient } from '@trpc/client'
import type { RequestStatus } from '../../core/endpointGate'
import { callerHeaders, ConnectionPool, createPeerLink, internalHeaders, parseAddress, peerKeyHeader } from '../../transport'
import type { AgentRouter } from '../agent'

/** Options of calls to agents. */
export interface AgentClientOptions {
  readonly peerKey: string
  readonly callTimeoutMs: number
  readonly idleConnectionMs: number
  readonly maximumConnections: number
}

/** Where a request was sent. */
export interface AgentTarget {
  readonly agent: string
  readonly address: string
  readonly incarnation: string
}

/** A request which is sent to an agent. */
export interface AgentRequest {
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly requestId: string
  readonly source: string
  readonly entry: string
  readonly entryVersion: number
  readonly revision: number
  readonly revisionAgeMs: number
  readonly timeoutMs: number
}

/** The connections of an entry process to agents. */
export class AgentClient {
  private readonly pool: ConnectionPool
  /** Questions about requests whose connection went silent go over connections of their own. */
  private readonly questionPool: ConnectionPool
  private readonly clients = new Map<string, TRPCClient<AgentRouter>>()

  constructor (private readonly options: AgentClientOptions) {
    this.pool = new ConnectionPool({ idleMs: options.idleConnectionMs, maximumPerAddress: options.maximumConnections })
    this.questionPool = new ConnectionPool({ idleMs: 1, maximumPerAddress: 64 })
  }

  /** Opens a request; the caller writes the body. */
  send (target: AgentTarget, request: AgentRequest): http.ClientRequest {
    return http.request({
      ...parseAddress(target.address),
      agent: this.pool.agent,
      method: request.method,
      path: `/request${request.path}`,
      headers: {
        ...request.headers,
        [peerKeyHeader]: this.options.peerKey,
        [internalHeaders.requestId]: request.requestId,
        [internalHeaders.incarnation]: target.incarnation,
        [internalHeaders.source]: request.source,
        [internalHeaders.entry]: request.entry,
        [internalHeaders.entryVersion]: String(request.entryVersion),
        [internalHeaders.revision]: String(request.revision),
        [internalHeaders.revisionAge]: String(Math.ceil(request.revisionAgeMs)),
        [callerHeaders.timeout]: String(Math.max(1, Math.floor(request.timeoutMs)))
      }
    })
  }

  /** Asks for an answer again, from an offset of its body on. */
  fetchAnswer (target: AgentTarget, requestId: string, offset: number): http.ClientRequest {
    const request = http.request({
      ...parseAddress(target.address),
      agent: this.questionPool.agent,
      path: `/answer/${requestId}`,
      headers: { [peerKeyHeader]: this.options.peerKey, [internalHeaders.offset]: String(offset) }
    })
    return request.end()
  }

  /** Closes idle connections to an agent after one of its connections went silent. */
  distrust (target: AgentTarget): void {
    this.pool.dropIdle(parseAddress(target.address))
  }

  /** Makes sure that a request which was sent so long ago never runs, or says how far it got; undefined if the agent does not answer. */
  async abandon (target: AgentTarget, requestId: string, sentMsAgo: number): Promise<RequestStatus | undefined> {
    return await this.ask(async client => await client.abandon.mutate({ requestId, incarnation: target.incarnation, sentMsAgo: Math.min(Math.max(0, sentMsAgo), Number.MAX_SAFE_INTEGER) }), target)
  }

  /** Says how far a request got; undefined if the agent does not answer. */
  async status (target: AgentTarget, requestId: string): Promise<RequestStatus | undefined> {
    return await this.ask(async client => await client.status.query({ requestId, incarnation: target.incarnation }), target)
  }

  close (): void {
    this.pool.close()
    this.questionPool.close()
  }

  private async ask (question: (client: TRPCClient<AgentRouter>) => Promise<RequestStatus>, target: AgentTarget): Promise<RequestStatus | undefined> {
    try {
      return await question(this.clientOf(target.address))
    } catch {
      return undefined
    }
  }

  private clientOf (address: string): TRPCClient<AgentRouter> {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const client = createTRPCClient<AgentRouter>({
      links: [createPeerLink({ address: parseAddress(address), pool: this.questionPool, peerKey: this.options.peerKey, timeoutMs: this.options.callTimeoutMs })]
    })
    this.clients.set(address, client)
    return client
  }
}
