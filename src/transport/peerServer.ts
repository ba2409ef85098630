import type http from 'node:http'
import { createHash, timingSafeEqual } from 'node:crypto'
import { createHTTPHandler } from '@trpc/server/adapters/standalone'
import type { AnyRouter } from '@trpc/server'
import { callPath, peerKeyHeader } from './peerCaller'

/** Handles one HTTP request. */
export type RequestHandler = (request: http.IncomingMessage, response: http.ServerResponse) => void

/** Options of the handler of calls between our processes. */
export interface PeerHandlerOptions {
  readonly peerKey: string
  readonly router: AnyRouter
  /** Takes requests outside the path of calls. */
  readonly otherwise: RequestHandler
}

const maximumCallBytes = 64 * 1024 * 1024

/** Makes the handler of a listener for our own processes; a wrong key gets 401. */
export function createPeerHandler (options: PeerHandlerOptions): RequestHandler {
  const handleCall = createHTTPHandler({ router: options.router, basePath: `${callPath}/`, maxBodySize: maximumCallBytes })
  const isKey = createSecretCheck(options.peerKey)
  return (request, response) => {
    if (!isKey(request.headers[peerKeyHeader])) {
      response.writeHead(401).end()
      return
    }
    if (request.url?.startsWith(`${callPath}/`) === true) handleCall(request, response)
    else options.otherwise(request, response)
  }
}

/** Makes a check of a secret which takes the same time for every wrong value. */
export function createSecretCheck (secret: string): (candidate: unknown) => boolean {
  const expected = digest(secret)
  return candidate => typeof candidate === 'string' && timingSafeEqual(digest(candidate), expected)
}

function digest (text: string): Buffer {
  return createHash('sha256').update(text).digest()
}
