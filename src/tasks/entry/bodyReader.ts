import type http from 'node:http'
import { Failure } from '../../core/failures'
import { Err, Ok, type Result } from '../../core/results'

/** The part of a request body that was read into memory. */
export interface BufferedBody {
  readonly start: Buffer
  /** Whether `start` is the whole body; otherwise the rest is still in the paused request. */
  readonly isWhole: boolean
}

/** Limits for reading a request body. */
export interface BodyBounds {
  /** The most bytes that are read into memory. */
  readonly bufferBytes: number
  /** The longest time without a byte of the body, in milliseconds. */
  readonly idleMs: number
}

/** Reads a body up to the buffer limit; a longer one is left paused for streaming. Fails with `request/body-too-slow` or `transport/broken`. */
export async function readBody (request: http.IncomingMessage, bounds: BodyBounds): Promise<Result<BufferedBody, Failure>> {
  if (request.headers['content-length'] === '0' || hasNoBody(request)) return Ok({ start: Buffer.alloc(0), isWhole: true })
  return await new Promise(resolve => {
    const chunks: Buffer[] = []
    let size = 0
    let timer = startTimer()

    function startTimer (): NodeJS.Timeout {
      return setTimeout(() => finish(Err(new Failure('request/body-too-slow', { expected: `a byte within ${bounds.idleMs} ms` }))), bounds.idleMs)
    }

    function finish (outcome: Result<BufferedBody, Failure>): void {
      clearTimeout(timer)
      request.off('data', onData).off('end', onEnd).off('close', onClose)
      request.pause()
      resolve(outcome)
    }

    function onData (chunk: Buffer): void {
      chunks.push(chunk)
      size += chunk.length
      clearTimeout(timer)
      if (size > bounds.bufferBytes) finish(Ok({ start: Buffer.concat(chunks), isWhole: false }))
      else timer = startTimer()
    }

    function onEnd (): void {
      finish(Ok({ start: Buffer.concat(chunks), isWhole: true }))
    }

    function onClose (): void {
      finish(Err(new Failure('transport/broken', { got: 'the caller went away' })))
    }

    request.on('data', onData).once('end', onEnd).once('close', onClose)
  })
}

function hasNoBody (request: http.IncomingMessage): boolean {
  return request.headers['content-length'] === undefined && request.headers['transfer-encoding'] === undefined
}
