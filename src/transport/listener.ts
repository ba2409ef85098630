import http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Address } from './connectionPool'
import type { RequestHandler } from './peerServer'

/** Bounds of a listener. */
export interface ListenerOptions {
  readonly address: Address
  readonly handle: RequestHandler
  readonly maximumConnections: number
  /** The longest header block in bytes; a longer one gets 431. */
  readonly maximumHeaderBytes: number
  /** The time in which the headers must arrive, in milliseconds; a slower one gets 408. */
  readonly headersTimeoutMs: number
  /** Idle connections are closed after this time, in milliseconds. */
  readonly keepAliveMs: number
  /** Whether the handler itself tells a client to send its body. */
  readonly isContinueManual?: boolean
}

/** A listening socket with its connections. */
export interface Listener {
  readonly address: Address
  /** Stops accepting, lets running requests end, and closes idle connections. */
  drain (): Promise<void>
  /** Breaks all connections at once. */
  destroy (): void
}

/** Bounds which suit listeners for our own processes. */
export const peerListenerBounds = {
  maximumConnections: 8192,
  maximumHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  keepAliveMs: 60_000
} as const

/** Opens a listener; rejects with Node's error if the address cannot be used. */
export async function openListener (options: ListenerOptions): Promise<Listener> {
  const server = http.createServer({
    maxHeaderSize: options.maximumHeaderBytes,
    headersTimeout: options.headersTimeoutMs,
    // Slow bodies are bounded by the handler, which knows what the body may be.
    requestTimeout: 0,
    connectionsCheckingInterval: Math.max(50, options.headersTimeoutMs / 4),
    keepAliveTimeout: options.keepAliveMs,
    noDelay: true
  }, options.handle)
  if (options.isContinueManual === true) server.on('checkContinue', options.handle)
  server.maxConnections = options.maximumConnections
  const sockets = new Set<Socket>()
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(options.address.port, options.address.host, () => resolve())
  })
  const { port } = server.address() as AddressInfo
  return {
    address: { host: options.address.host, port },
    drain: async () => await drain(server),
    destroy: () => {
      server.close()
      for (const socket of sockets) socket.destroy()
    }
  }
}

async function drain (server: http.Server): Promise<void> {
  await new Promise<void>(resolve => {
    server.close(() => resolve())
    server.closeIdleConnections()
    const sweep = setInterval(() => server.closeIdleConnections(), 50)
    server.once('close', () => clearInterval(sweep))
  })
}
