import http from 'node:http'
import { Failure } from '../core/failures'
import type { Address } from '../transport'

/** One HTTP request of a command. */
export interface HttpCall {
  readonly address: Address
  readonly method: string
  readonly path: string
  readonly headers?: http.OutgoingHttpHeaders
  readonly body?: string
  readonly timeoutMs?: number
}

/** The answer to it. */
export interface HttpAnswer {
  readonly status: number
  readonly headers: http.IncomingHttpHeaders
  readonly body: string
}

const defaultTimeoutMs = 15_000

/** Sends one request on a connection of its own; rejects with a Failure if there is no whole answer. */
export async function callHttp (call: HttpCall): Promise<HttpAnswer> {
  const { address, method, path, headers = {}, body, timeoutMs = defaultTimeoutMs } = call
  return await new Promise((resolve, reject) => {
    const fail = (error: Error): void => reject(error instanceof Failure ? error : new Failure('transport/broken', { subject: `${address.host}:${address.port}`, got: error.message }))
    const length = body === undefined ? {} : { 'content-length': Buffer.byteLength(body) }
    const request = http.request({ ...address, method, path, headers: { ...length, ...headers }, agent: false }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.once('error', fail)
      response.once('end', () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString('utf8') }))
    })
    request.setTimeout(timeoutMs, () => request.destroy(new Failure('transport/timeout', { subject: path, expected: `an answer within ${timeoutMs} ms` })))
    request.once('error', fail)
    request.end(body)
  })
}
