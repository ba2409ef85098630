import http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Address } from './connectionPool'
import type { RequestHandler } from './peerServer'

/** Address, handler and limits of a listener. */
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
  /** Whether the handler itself answers `Expect: 100-continue`. */
  readonly isContinueManual?: boolean
}

/** A listening socket with its connections. */
export interface Listener {
  readonly address: Address
  /** Stops accepting connections, closes idle ones and waits until running requests have ended. */
  drain (): Promise<void>
  /** Closes all connections immediately, including those in use. */
  destroy (): void
}

/** Limits of listeners for the processes of a deployment. */
export const peerListenerBounds = {
  maximumConnections: 8192,
  maximumHeaderBytes: 16 * 1024,
  headersTimeoutMs: 10_000,
  keepAliveMs: 60_000
} as const

/** Opens a listener; rejects with Node's error if the address cannot be bound. */
export async function openListener (options: ListenerOptions): Promise<Listener> {
  const server = http.createServer({
    maxHeaderSize: options.maximumHeaderBytes,
    headersTimeout: options.headersTimeoutMs,
    // The handler limits the time of slow bodies, as it knows which bodies are acceptable.
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
