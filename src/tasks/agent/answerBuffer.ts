import type http from 'node:http'
import { selectForwardedHeaders } from '../../transport'

/** The status line and forwarded headers of an answer. */
interface AnswerHead {
  readonly status: number
  readonly reason: string
  readonly headers: Record<string, string | string[]>
}

/** Buffers the answer of an endpoint so that an entry process can resume reading it after its connection broke. */
export class AnswerBuffer {
  private chunks: Buffer[] = []
  /** Offset in the body of the first byte that is still buffered. */
  private firstOffset = 0
  private keptBytes = 0
  private head: AnswerHead | undefined
  private source: http.IncomingMessage | undefined
  private reader: http.ServerResponse | undefined
  private readerHeaders: http.OutgoingHttpHeaders = {}
  private state: 'waiting' | 'streaming' | 'whole' | 'cut' = 'waiting'

  constructor (private readonly maximumBytes: number) {}

  /** The buffered part of the body, in bytes. */
  get size (): number {
    return this.keptBytes
  }

  /** Bytes of the body received from the endpoint so far. */
  get receivedBytes (): number {
    return this.firstOffset + this.keptBytes
  }

  get isWhole (): boolean {
    return this.state === 'whole'
  }

  /** The connection of the entry process that waits for the head of this answer, if any. */
  get waitingReader (): http.ServerResponse | undefined {
    return this.state === 'waiting' ? this.reader : undefined
  }

  /** Sends the answer to an entry process from a byte offset on, in place of the previous reader; false if the answer failed or those bytes are not available. */
  attach (reader: http.ServerResponse, offset: number, headers: http.OutgoingHttpHeaders): boolean {
    if (this.state === 'cut' || offset < this.firstOffset || offset > this.receivedBytes) return false
    this.reader?.destroy()
    this.reader = reader
    this.readerHeaders = headers
    reader.once('close', () => this.detach(reader))
    if (this.state !== 'waiting') this.replay(reader, offset)
    return true
  }

  /** Starts reading the endpoint's answer; calls back once it has ended, with whether it is complete. */
  begin (source: http.IncomingMessage, ended: (isWhole: boolean) => void): void {
    this.source = source
    this.head = { status: source.statusCode ?? 502, reason: source.statusMessage ?? '', headers: selectForwardedHeaders(source.headers) }
    this.state = 'streaming'
    if (this.reader !== undefined) this.writeHead(this.reader)
    source.on('data', (chunk: Buffer) => this.appendChunk(chunk))
    source.once('close', () => {
      this.end(source.complete)
      ended(source.complete)
    })
    source.once('error', () => {})
  }

  /** Aborts an incomplete answer; its reader sees a broken connection. */
  cut (): void {
    if (this.state === 'whole') return
    this.state = 'cut'
    this.source?.destroy()
    this.reader?.destroy()
  }

  /** Marks that there will be no answer and releases the reader, to which the caller of this method replies. */
  discard (): void {
    this.state = 'cut'
    this.reader = undefined
  }

  private appendChunk (chunk: Buffer): void {
    this.chunks.push(chunk)
    this.keptBytes += chunk.length
    this.dropOldest()
    if (this.reader !== undefined && !this.reader.write(chunk)) this.pauseUntilDrained(this.reader)
  }

  private pauseUntilDrained (reader: http.ServerResponse): void {
    this.source?.pause()
    reader.once('drain', () => this.source?.resume())
  }

  private dropOldest (): void {
    while (this.keptBytes > this.maximumBytes && this.chunks.length > 1) {
      const oldest = this.chunks.shift() as Buffer
      this.keptBytes -= oldest.length
      this.firstOffset += oldest.length
    }
  }

  private end (isComplete: boolean): void {
    if (this.state !== 'streaming') return
    this.state = isComplete ? 'whole' : 'cut'
    if (isComplete) this.reader?.end()
    else this.reader?.destroy()
    // An ended answer must not retain the endpoint's connection or the pooled memory that its chunks are slices of.
    this.source = undefined
    this.chunks = isComplete ? [Buffer.concat(this.chunks)] : []
  }

  private replay (reader: http.ServerResponse, offset: number): void {
    this.writeHead(reader)
    let position = this.firstOffset
    for (const chunk of this.chunks) {
      if (position + chunk.length > offset) reader.write(chunk.subarray(Math.max(0, offset - position)))
      position += chunk.length
    }
    if (this.state === 'whole') reader.end()
  }

  private writeHead (reader: http.ServerResponse): void {
    const { head } = this
    if (head === undefined) return
    const headers = { ...head.headers, ...this.readerHeaders }
    // A body sent from an offset is shorter than its declared length; chunked encoding frames it instead.
    if (this.readerHeaders['heatherdrum-offset'] !== undefined) delete headers['content-length']
    reader.writeHead(head.status, head.reason, headers)
  }

  private detach (reader: http.ServerResponse): void {
    if (this.reader !== reader) return
    this.reader = undefined
    // The answer is read to its end even without a reader, so that it can be fetched again.
    this.source?.resume()
  }
}
