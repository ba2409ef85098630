import http from 'node:http'
import type { Socket } from 'node:net'
import { formatAddress, type Address } from './connectionPool'
import type { RequestHandler } from './peerServer'

/** Why a stream ended. */
export type StreamEnd = 'closed' | 'broken' | 'silent' | 'overflow' | 'malformed'

/** Bounds of a stream between two of our processes. Times are in milliseconds. */
export interface StreamBounds {
  /** A side which has nothing to say shows life this often. */
  readonly keepAliveMs: number
  /** A stream on which nothing arrived for this long has gone silent and is closed. */
  readonly silenceMs: number
  /** Bytes which may wait to be sent before the peer counts as stuck. */
  readonly maximumBufferedBytes: number
}

/** Bounds between VMs of one deployment. */
export const defaultStreamBounds: StreamBounds = {
  // A third of the silence, so that two lost signs of life don't end a stream.
  keepAliveMs: 330,
  // As long as a caller waits before it turns to another node; an election takes about as long.
  silenceMs: 1000,
  // The largest snapshot chunk is far below this.
  maximumBufferedBytes: 16 * 1024 * 1024
}

/** Why a parsed line is no message: a later version may send further types, which are passed over; anything else ends the stream. */
export type DecodingFlaw = 'unknownType' | 'malformed'

/** Checks a parsed line, which may be any JSON value. */
export type MessageDecoder<Message> = (value: unknown) => Message | DecodingFlaw

/** Takes what happens on a stream. */
export interface StreamListener<Message> {
  readonly onMessage: (message: Message) => void
  readonly onEnd: (reason: StreamEnd) => void
}

/** The path on which streams are opened. */
export const streamPath = '/stream'

/** A line without a message shows only that the sender is alive. */
const keepAliveLine = '\n'
const maximumLineBytes = 64 * 1024 * 1024

/** A two-way stream of JSON messages, one a line, in the body of one HTTP request and its response. */
export class MessageStream<Incoming, Outgoing> {
  private listener: StreamListener<Incoming> | undefined
  private readonly waiting: Incoming[] = []
  private partial: string[] = []
  private partialLength = 0
  private lastHeardAt = performance.now()
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

  /** Takes messages from now on; those which came before are handed over at once. */
  listen (listener: StreamListener<Incoming>): void {
    this.listener = listener
    for (const message of this.waiting.splice(0)) listener.onMessage(message)
    if (this.endReason !== undefined) listener.onEnd(this.endReason)
  }

  /** Sends a message; one to a stream that has ended is dropped. */
  send (message: Outgoing): void {
    this.write(JSON.stringify(message) + '\n')
  }

  /** Ends the stream; the other side sees it at once. */
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
    this.lastHeardAt = performance.now()
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
      value = JSON.parse(line)
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
    if (now - this.lastHeardAt > this.bounds.silenceMs) this.end('silent')
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

/** Options of opening a stream. */
export interface StreamOptions<Incoming> {
  readonly address: Address
  /** How long the connection and the other side's first answer may take, in milliseconds. */
  readonly connectMs: number
  readonly bounds: StreamBounds
  readonly decode: MessageDecoder<Incoming>
}

/** Opens a stream to a peer; rejects with an error if it can't be opened in time. */
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
    request.once('response', response => {
      clearTimeout(timer)
      if (response.statusCode === 200) resolve(new MessageStream<Incoming, Outgoing>(response, request, response.socket, options.bounds, options.decode))
      else request.destroy(new Error(`${formatAddress(options.address)} answered ${response.statusCode ?? 0}`))
    })
    request.flushHeaders()
  })
}

/** Makes the handler of a listener which accepts streams; other requests get 404. */
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
