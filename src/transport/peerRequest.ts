import http from 'node:http'
import { Failure } from '../core/failures'
import { formatAddress, type Address, type ConnectionPool } from './connectionPool'

/** A POST request with a JSON body to a peer. */
export interface PeerRequest {
  readonly pool: ConnectionPool
  readonly address: Address
  readonly path: string
  readonly headers?: http.OutgoingHttpHeaders
  readonly body: unknown
  /** The time limit from sending the request to the end of the answer, in milliseconds. */
  readonly timeoutMs: number
  /** Aborts the request. */
  readonly signal?: AbortSignal | null | undefined
}

/** The complete answer to a request. */
export interface PeerReply {
  readonly status: number
  readonly text: string
}

const maximumReplyBytes = 64 * 1024 * 1024

/**
 * Sends a request and reads the complete answer; rejects with a Failure (`transport/timeout` or `transport/broken`).
 * The socket of a request that timed out is destroyed, so that no later request reuses it.
 */
export async function sendToPeer (call: PeerRequest): Promise<PeerReply> {
  const { address, pool, timeoutMs } = call
  const subject = formatAddress(address)
  const body = JSON.stringify(call.body)
  return await new Promise<PeerReply>((resolve, reject) => {
    const request = http.request({
      ...address,
      path: call.path,
      method: 'POST',
      headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body), ...call.headers },
      agent: pool.agent
    })
    const timer = setTimeout(() => {
      request.destroy(new Failure('transport/timeout', { subject, expected: `an answer within ${timeoutMs} ms` }))
    }, timeoutMs)
    request.once('close', () => {
      clearTimeout(timer)
      // After an upgrade that nobody asked for, the request closes without a response or an error.
      reject(new Failure('transport/broken', { subject, got: 'no response' }))
    })
    request.once('error', error => {
      pool.closeIdle(address)
      reject(error instanceof Failure ? error : new Failure('transport/broken', { subject, got: error.message }))
    })
    request.once('response', response => readReply(response, resolve, reject))
    call.signal?.addEventListener('abort', () => request.destroy(), { once: true })
    request.end(body)
  })
}

function readReply (response: http.IncomingMessage, resolve: (reply: PeerReply) => void, reject: (error: Failure) => void): void {
  const chunks: Buffer[] = []
  let size = 0
  response.on('data', (chunk: Buffer) => {
    size += chunk.length
    chunks.push(chunk)
    if (size > maximumReplyBytes) response.destroy(new Failure('transport/broken', { expected: `at most ${maximumReplyBytes} bytes` }))
  })
  response.once('error', error => reject(new Failure('transport/broken', { got: error.message })))
  response.once('end', () => resolve({ status: response.statusCode ?? 500, text: Buffer.concat(chunks).toString('utf8') }))
}
