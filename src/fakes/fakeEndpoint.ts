import http from 'node:http'
import type { AddressInfo, Socket } from 'node:net'
import type { Address } from '../transport'

/** Options of {@link createFakeEndpoint}. */
export interface FakeEndpointOptions {
  readonly name: string
  readonly address?: Address
  /** Service time of a request, in milliseconds. */
  readonly serviceMs: (request: http.IncomingMessage) => number
  /** Replaces the default answer; must end the response. */
  readonly answer?: (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer) => void
}

/** An HTTP service that counts the requests it ran. */
export interface FakeEndpoint {
  readonly address: Address
  /** Number of requests by the value of their `x-order` header. */
  readonly runs: ReadonlyMap<string, number>
  /** Number of requests started so far. */
  readonly started: () => number
  readonly running: () => number
  /** Highest number of concurrent requests. */
  readonly peak: () => number
  /** Closes all connections and stops listening. */
  kill (): Promise<void>
}

/** Starts a fake endpoint, on a free loopback port unless an address is given. */
export async function createFakeEndpoint (options: FakeEndpointOptions): Promise<FakeEndpoint> {
  const runs = new Map<string, number>()
  const sockets = new Set<Socket>()
  let started = 0
  let running = 0
  let peak = 0

  function begin (request: http.IncomingMessage): void {
    started += 1
    running += 1
    peak = Math.max(peak, running)
    const order = request.headers['x-order']
    if (typeof order === 'string') runs.set(order, (runs.get(order) ?? 0) + 1)
  }

  function answer (request: http.IncomingMessage, response: http.ServerResponse, body: Buffer): void {
    if (options.answer !== undefined) return options.answer(request, response, body)
    const text = JSON.stringify({ endpoint: options.name, method: request.method, url: request.url, order: request.headers['x-order'], bytes: body.length })
    response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }

  const server = http.createServer((request, response) => {
    const chunks: Buffer[] = []
    response.on('error', () => {})
    request.on('error', () => {})
    request.on('data', (chunk: Buffer) => chunks.push(chunk))
    request.once('end', () => {
      begin(request)
      const finish = (): void => {
        running -= 1
        answer(request, response, Buffer.concat(chunks))
      }
      const serviceMs = options.serviceMs(request)
      if (serviceMs <= 0) finish()
      else setTimeout(finish, serviceMs)
    })
  })
  server.on('connection', socket => {
    sockets.add(socket)
    socket.once('close', () => sockets.delete(socket))
  })
  await new Promise<void>(resolve => server.listen(options.address?.port ?? 0, options.address?.host ?? '127.0.0.1', resolve))
  const { port } = server.address() as AddressInfo
  return {
    address: { host: '127.0.0.1', port },
    runs,
    started: () => started,
    running: () => running,
    peak: () => peak,
    kill: async () => await new Promise(resolve => {
      server.close(() => resolve())
      for (const socket of sockets) socket.destroy()
    })
  }
}
