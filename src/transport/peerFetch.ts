import http from 'node:http'
import { Failure } from '../core/failures'
import { parseAddress, type ConnectionPool } from './connectionPool'

/** Options of calls to peers. */
export interface PeerFetchOptions {
  readonly pool: ConnectionPool
  /** The whole time of one call, in milliseconds. */
  readonly timeoutMs: number
}

/** The part of the fetch function which tRPC's client uses. */
export type PeerFetch = (input: string | URL | Request, init?: PeerFetchInit) => Promise<Response>

interface PeerFetchInit {
  readonly method?: string
  readonly headers?: unknown
  readonly body?: unknown
  readonly signal?: AbortSignal | null
}

const maximumReplyBytes = 64 * 1024 * 1024

/**
 * Makes a fetch function over the project's own pool. The runtime's fetch keeps sockets which
 * cannot be reached from here; a socket whose call timed out must never be used again.
 */
export function createPeerFetch (options: PeerFetchOptions): PeerFetch {
  return async (input, init) => await new Promise<Response>((resolve, reject) => {
    const url = new URL(String(input))
    const request = http.request({
      ...parseAddress(url.host),
      path: url.pathname + url.search,
      method: init?.method ?? 'GET',
      headers: toHeaders(init?.headers),
      agent: options.pool.agent
    })
    const timer = setTimeout(() => {
      request.destroy(new Failure('transport/timeout', { subject: url.host, expected: `an answer within ${options.timeoutMs} ms` }))
    }, options.timeoutMs)
    request.once('close', () => clearTimeout(timer))
    request.once('error', error => {
      options.pool.dropIdle(parseAddress(url.host))
      reject(error instanceof Failure ? error : new Failure('transport/broken', { subject: url.host, got: error.message }))
    })
    request.once('response', response => readReply(response, resolve, reject))
    init?.signal?.addEventListener('abort', () => request.destroy())
    request.end(typeof init?.body === 'string' ? init.body : undefined)
  })
}

function readReply (response: http.IncomingMessage, resolve: (response: Response) => void, reject: (error: Error) => void): void {
  const chunks: Buffer[] = []
  let size = 0
  response.on('data', (chunk: Buffer) => {
    size += chunk.length
    chunks.push(chunk)
    if (size > maximumReplyBytes) response.destroy(new Failure('transport/broken', { expected: `at most ${maximumReplyBytes} bytes` }))
  })
  response.once('error', error => reject(new Failure('transport/broken', { got: error.message })))
  response.once('end', () => resolve(new Response(Buffer.concat(chunks), { status: response.statusCode ?? 500 })))
}

function toHeaders (headers: unknown): Record<string, string> {
  if (typeof headers !== 'object' || headers === null) return {}
  return { ...headers as Record<string, string> }
}
