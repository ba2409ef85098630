import http from 'node:http'
import { createTRPCClient, type TRPCClient } from '@trpc/client'
import type { RequestStatus } from '../../core/endpointGate'
import { callerHeaders, ConnectionPool, createPeerLink, internalHeaders, parseAddress, peerKeyHeader } from '../../transport'
import type { AgentRouter } from '../agent'

/** Options of an AgentClient. Times are in milliseconds; the connection limit is per agent. */
export interface AgentClientOptions {
  readonly peerKey: string
  readonly callTimeoutMs: number
  readonly idleConnectionMs: number
  readonly maximumConnections: number
}

/** The agent a request is sent to; the incarnation tells a restarted agent from its predecessor. */
export interface AgentTarget {
  readonly agent: string
  readonly address: string
  readonly incarnation: string
}

/** A request forwarded to an agent, with the routing information that travels in internal headers. */
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

/** Sends requests and calls from an entry process to agents over pooled connections. */
export class AgentClient {
  private readonly pool: ConnectionPool
  /** Status calls and answer fetches use separate connections, because they follow a request connection that failed or went silent. */
  private readonly recoveryPool: ConnectionPool
  private readonly clients = new Map<string, TRPCClient<AgentRouter>>()

  constructor (private readonly options: AgentClientOptions) {
    this.pool = new ConnectionPool({ idleMs: options.idleConnectionMs, maximumPerAddress: options.maximumConnections })
    this.recoveryPool = new ConnectionPool({ idleMs: 1, maximumPerAddress: 64 })
  }

  /** Opens a request without ending it; the caller of this method writes the body. */
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

  /** Fetches the answer of an earlier request, starting at a byte offset of its body. */
  fetchAnswer (target: AgentTarget, requestId: string, offset: number): http.ClientRequest {
    const request = http.request({
      ...parseAddress(target.address),
      agent: this.recoveryPool.agent,
      path: `/answer/${requestId}`,
      headers: { [peerKeyHeader]: this.options.peerKey, [internalHeaders.offset]: String(offset) }
    })
    return request.end()
  }

  /** Closes idle connections to an agent, which may be dead too once one of its connections has failed or gone silent. */
  closeIdleConnections (target: AgentTarget): void {
    this.pool.closeIdle(parseAddress(target.address))
  }

  /**
   * Prevents a request that has not started from running and returns its status; undefined if the agent does not answer.
   * With the time since sending, the agent tells whether an unknown id proves that the request has not run.
   */
  async abandon (target: AgentTarget, requestId: string, sentMsAgo: number): Promise<RequestStatus | undefined> {
    return await this.tryCall(async client => await client.abandon.mutate({ requestId, incarnation: target.incarnation, sentMsAgo: Math.min(Math.max(0, sentMsAgo), Number.MAX_SAFE_INTEGER) }), target)
  }

  /** Returns the status of a request; undefined if the agent does not answer. */
  async status (target: AgentTarget, requestId: string): Promise<RequestStatus | undefined> {
    return await this.tryCall(async client => await client.status.query({ requestId, incarnation: target.incarnation }), target)
  }

  close (): void {
    this.pool.close()
    this.recoveryPool.close()
  }

  private async tryCall (call: (client: TRPCClient<AgentRouter>) => Promise<RequestStatus>, target: AgentTarget): Promise<RequestStatus | undefined> {
    try {
      return await call(this.clientOf(target.address))
    } catch {
      return undefined
    }
  }

  private clientOf (address: string): TRPCClient<AgentRouter> {
    const known = this.clients.get(address)
    if (known !== undefined) return known
    const client = createTRPCClient<AgentRouter>({
      links: [createPeerLink({ address: parseAddress(address), pool: this.recoveryPool, peerKey: this.options.peerKey, timeoutMs: this.options.callTimeoutMs })]
    })
    this.clients.set(address, client)
    return client
  }
}
