import type http from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'
import type { AnyRouter } from '@trpc/server'
import { callPath, peerKeyHeader } from './peerCaller'

/** Handles one HTTP request and ends its response. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void

/** Options of the handler of calls between the processes of a deployment. */
export interface PeerHandlerOptions {
  readonly peerKey: string
  readonly router: AnyRouter
  /** Handles requests outside the path prefix of calls. */
  readonly fallback: RequestHandler
}

const maximumCallBytes = 64 * 1024 * 1024

/** Creates the request handler of a listener for peers; requests with a wrong key are answered with 401. */
export function createPeerHandler (options: PeerHandlerOptions): RequestHandler {
  const handleCall = createCallHandler(options.router)
  const isKey = createSecretCheck(options.peerKey)
  return (request, response) => {
    if (!isKey(request.headers[peerKeyHeader])) {
      response.writeHead(401).end()
      return
    }
    if (request.url?.startsWith(`${callPath}/`) === true) handleCall(request, response)
    else options.fallback(request, response)
  }
}

type Procedure = (input: unknown) => Promise<unknown>

/** Calls the router's procedures directly, as the library's HTTP adapter creates fetch objects for each call. */
function createCallHandler (router: AnyRouter): RequestHandler {
  const caller = router.createCaller({}) as unknown as Readonly<Record<string, Procedure>>
  return (request, response) => {
    const name = (request.url ?? '').slice(callPath.length + 1)
    const procedure = Object.hasOwn(router._def.procedures, name) ? caller[name] : undefined
    if (procedure === undefined) {
      response.writeHead(404).end()
      return
    }
    readText(request)
      .then(async text => await procedure((JSON.parse(text) as { readonly input?: unknown }).input))
      .then(data => reply(response, 200, { data }), (error: unknown) => reply(response, 400, { error: String(error) }))
  }
}

async function readText (request: http.IncomingMessage): Promise<string> {
  const chunks: Buffer[] = []
  let size = 0
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length
    if (size > maximumCallBytes) throw new RangeError(`expected at most ${maximumCallBytes} bytes`)
    chunks.push(chunk)
  }
  return Buffer.concat(chunks).toString('utf8')
}

function reply (response: http.ServerResponse, status: number, body: unknown): void {
  if (response.destroyed) return
  const text = JSON.stringify(body)
  response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  response.end(text)
}

/** Creates a constant-time check of a secret, so that the time taken by a wrong value reveals nothing. */
export function createSecretCheck (secret: string): (candidate: unknown) => boolean {
  const expected = digest(secret)
  return candidate => typeof candidate === 'string' && timingSafeEqual(digest(candidate), expected)
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
