import http from 'node:http'
import type { Socket } from 'node:net'
import { parseBoundedJson } from './boundedJson'
import { formatAddress, type Address } from './connectionPool'
import type { RequestHandler } from './peerServer'

/** Why a stream ended; `silent` means that nothing was received for `silenceMs`, `overflow` that the send buffer was full. */
export type StreamEnd = 'closed' | 'broken' | 'silent' | 'overflow' | 'malformed'

/** Limits of a stream between two processes of a deployment. Times are in milliseconds. */
export interface StreamBounds {
  /** The interval of keep-alive lines from a side that has no messages to send. */
  readonly keepAliveMs: number
  /** A stream on which nothing was received for this long is closed as silent. */
  readonly silenceMs: number
  /** Bytes which may be buffered for sending; above this the peer is considered stuck and the stream is closed. */
  readonly maximumBufferedBytes: number
}

/** Limits of streams between VMs of one deployment. */
export const defaultStreamBounds: StreamBounds = {
  // A third of silenceMs, so that two lost keep-alive lines do not end a stream.
  keepAliveMs: 330,
  // Equal to the time after which a caller tries another node; an election takes about as long.
  silenceMs: 1000,
  // Far above the size of the largest snapshot chunk.
  maximumBufferedBytes: 16 * 1024 * 1024
}

/** Why a parsed line is not a message. Unknown types are skipped, as a later version may send them; a malformed message ends the stream. */
export type DecodeFailure = 'unknownType' | 'malformed'

/** Validates a parsed line, which may be any JSON value. */
export type MessageDecoder<Message> = (value: unknown) => Message | DecodeFailure

/** Receives the messages and the end of a stream. */
export interface StreamListener<Message> {
  readonly onMessage: (message: Message) => void
  readonly onEnd: (reason: StreamEnd) => void
}

/** The path on which streams are opened. */
export const streamPath = '/stream'

/** An empty line carries no message and only shows that the sender is alive. */
const keepAliveLine = '\n'
const maximumLineBytes = 64 * 1024 * 1024

/** A bidirectional stream of JSON messages, one per line, in the bodies of one HTTP request and its response. */
export class MessageStream<Incoming, Outgoing> {
  private listener: StreamListener<Incoming> | undefined
  private readonly waiting: Incoming[] = []
  private partial: string[] = []
  private partialLength = 0
  private lastReceivedAt = performance.now()
  private lastSentAt = performance.now()
  private endReason: StreamEnd | undefined
  private readonly watch: NodeJS.Timeout

  constructor (
    input: http.IncomingMessage,
    private readonly output: http.OutgoingMessage,
    private readonly socket: Socket,
    private readonly bounds: StreamBounds,
    private readonly decode: MessageDecoder<Incoming>
  ) {
    input.setEncoding('utf8')
    input.on('data', (text: string) => this.receive(text))
    input.on('end', () => this.end('closed'))
    input.on('error', () => this.end('broken'))
    output.on('error', () => this.end('broken'))
    socket.on('close', () => this.end('broken'))
    this.watch = setInterval(() => this.checkLiveness(), bounds.keepAliveMs)
  }

  get isOpen (): boolean { return this.endReason === undefined }

  /** Bytes that wait to be sent. */
  get bufferedBytes (): number { return this.output.writableLength }

  /** Registers the listener; messages received before are delivered to it immediately, and so is the end of a stream that has ended. */
  listen (listener: StreamListener<Incoming>): void {
    this.listener = listener
    for (const message of this.waiting.splice(0)) listener.onMessage(message)
    if (this.endReason !== undefined) listener.onEnd(this.endReason)
  }

  /** Sends a message; it is dropped if the stream has ended. */
  send (message: Outgoing): void {
    this.write(JSON.stringify(message) + '\n')
  }

  /** Ends the stream and signals the end to the other side. */
  close (): void {
    if (this.endReason === undefined) this.output.end()
    this.end('closed')
  }

  private write (text: string): void {
    if (this.endReason !== undefined) return
    this.lastSentAt = performance.now()
    this.output.write(text)
    if (this.output.writableLength > this.bounds.maximumBufferedBytes) this.end('overflow')
  }

  private receive (text: string): void {
    this.lastReceivedAt = performance.now()
    let start = 0
    for (let end = text.indexOf('\n'); end !== -1; end = text.indexOf('\n', start)) {
      this.partial.push(text.slice(start, end))
      start = end + 1
      this.deliver(this.partial.join(''))
      this.partial = []
      this.partialLength = 0
    }
    if (start === text.length) return
    this.partial.push(text.slice(start))
    this.partialLength += text.length - start
    if (this.partialLength > maximumLineBytes) this.end('malformed')
  }

  private deliver (line: string): void {
    if (line === '' || this.endReason !== undefined) return
    let value: unknown
    try {
      value = parseBoundedJson(line)
    } catch {
      return this.end('malformed')
    }
    const message = this.decode(value)
    if (message === 'unknownType') return
    if (message === 'malformed') return this.end('malformed')
    if (this.listener === undefined) this.waiting.push(message)
    else this.listener.onMessage(message)
  }

  private checkLiveness (): void {
    const now = performance.now()
    if (now - this.lastReceivedAt > this.bounds.silenceMs) this.end('silent')
    else if (now - this.lastSentAt >= this.bounds.keepAliveMs / 2) this.write(keepAliveLine)
  }

  private end (reason: StreamEnd): void {
    if (this.endReason !== undefined) return
    this.endReason = reason
    clearInterval(this.watch)
    if (reason === 'closed') this.socket.destroySoon()
    else this.socket.destroy()
    this.listener?.onEnd(reason)
  }
}

/** Options for opening a stream. */
export interface StreamOptions<Incoming> {
  readonly address: Address
  /** The time limit for connecting and receiving the response headers, in milliseconds. */
  readonly connectMs: number
  readonly bounds: StreamBounds
  readonly decode: MessageDecoder<Incoming>
}

/** Opens a stream to a peer; rejects with an Error if the connection fails, the peer answers with another status than 200 or the time limit passes. */
export async function openStream<Incoming, Outgoing> (options: StreamOptions<Incoming>): Promise<MessageStream<Incoming, Outgoing>> {
  return await new Promise((resolve, reject) => {
    const request = http.request({
      ...options.address,
      path: streamPath,
      method: 'POST',
      agent: false,
      headers: { 'transfer-encoding': 'chunked', 'content-type': 'application/x-ndjson' }
    })
    request.setNoDelay(true)
    const timer = setTimeout(() => request.destroy(new Error(`no answer from ${formatAddress(options.address)} within ${options.connectMs} ms`)), options.connectMs)
    request.once('error', error => {
      clearTimeout(timer)
      reject(error)
    })
    // After an upgrade that nobody asked for, the request closes without a response or an error.
    request.once('close', () => {
      clearTimeout(timer)
      reject(new Error(`${formatAddress(options.address)} closed the connection`))
    })
    request.once('response', response => {
      clearTimeout(timer)
      if (response.statusCode === 200) resolve(new MessageStream<Incoming, Outgoing>(response, request, response.socket, options.bounds, options.decode))
      else request.destroy(new Error(`${formatAddress(options.address)} answered ${response.statusCode ?? 0}`))
    })
    request.flushHeaders()
  })
}

/** Creates a request handler which accepts streams; other requests are answered with 404. */
export function createStreamHandler<Incoming, Outgoing> (
  bounds: StreamBounds,
  decode: MessageDecoder<Incoming>,
  onStream: (stream: MessageStream<Incoming, Outgoing>, request: http.IncomingMessage) => void
): RequestHandler {
  return (request, response) => {
    if (request.method !== 'POST' || request.url !== streamPath) {
      response.writeHead(404).end()
      return
    }
    request.socket.setTimeout(0)
    response.writeHead(200, { 'content-type': 'application/x-ndjson' })
    response.flushHeaders()
    onStream(new MessageStream<Incoming, Outgoing>(request, response, request.socket, bounds, decode), request)
  }
}
