import type http from 'node:http'
import type { Logger } from '../observability'

/** How long receiving a body may take, in milliseconds. It equals the limit of the headers and exceeds the wait of any caller. */
const bodyTimeoutMs = 10_000

/** Reads a whole body as text; undefined if it exceeds the limit or the sender aborts it. A body that takes longer than `timeoutMs` closes the connection. */
export async function readBody (request: http.IncomingMessage, maximumBytes: number, timeoutMs = bodyTimeoutMs): Promise<string | undefined> {
  const chunks: Buffer[] = []
  let size = 0
  const timer = setTimeout(() => request.destroy(), timeoutMs)
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length
      if (size > maximumBytes) return undefined
      chunks.push(chunk)
    }
  } catch {
    // The sender aborted the request, so there is no recipient of an answer.
    return undefined
  } finally {
    clearTimeout(timer)
  }
  return Buffer.concat(chunks).toString('utf8')
}

/** Percent-decodes one segment of a path; undefined if the result is not valid UTF-8. */
export function decodeSegment (segment: string): string | undefined {
  try {
    return decodeURIComponent(segment)
  } catch {
    return undefined
  }
}

/** Sends a JSON response, unless the response has been sent or its connection is closed. */
export function sendJson (response: http.ServerResponse, status: number, body?: object, headers: http.OutgoingHttpHeaders = {}): void {
  if (response.destroyed || response.headersSent) return
  const text = body === undefined ? '' : JSON.stringify(body)
  response.writeHead(status, { ...(text === '' ? {} : { 'content-type': 'application/json' }), 'content-length': Buffer.byteLength(text), ...headers })
  response.end(text)
}

/** Answers 500 to a request whose handler failed, and logs the error. */
export function sendInternalError (response: http.ServerResponse, logger: Logger, error: unknown): void {
  logger.error('request_failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
  sendJson(response, 500)
}
