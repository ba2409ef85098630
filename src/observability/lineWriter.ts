import { write, writeSync } from 'node:fs'

/** The largest number of buffered lines; further ones are dropped and counted. */
const maximumWaitingLines = 2000
/** How long lines are buffered before they are written together. */
const flushIntervalMs = 50

/** Writes bytes to a file descriptor as `write` of `node:fs` does; it may write fewer bytes than were given. */
export type DescriptorWrite = (descriptor: number, bytes: Buffer, done: (error: Error | null, written: number) => void) => void

const newlineByte = 10

/** Writes lines to a file descriptor without blocking the caller. The number of dropped lines is reported in a `log_dropped` line. */
export class LineWriter {
  private waiting: string[] = []
  private dropped = 0
  private isWriting = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly descriptor: number, private readonly writeBytes: DescriptorWrite = write) {}

  /** Buffers a line, which has no trailing newline; it is dropped if the buffer is full. */
  write (line: string): void {
    if (this.waiting.length >= maximumWaitingLines) {
      this.dropped += 1
      return
    }
    this.waiting.push(line)
    this.timer ??= setTimeout(() => this.flush(), flushIntervalMs).unref()
  }

  /** Writes the buffered lines synchronously, for use before the process exits. */
  close (): void {
    let rest = this.takeBuffered()
    try {
      while (rest.length > 0) rest = rest.subarray(writeSync(this.descriptor, rest))
    } catch {
      // The reader of the log has closed the descriptor and the process is about to exit.
    }
  }

  private flush (): void {
    this.timer = undefined
    if (this.isWriting) return
    const bytes = this.takeBuffered()
    if (bytes.length === 0) return
    this.isWriting = true
    this.writeAll(bytes)
  }

  private writeAll (bytes: Buffer): void {
    this.writeBytes(this.descriptor, bytes, (error, written) => {
      const rest = error === null ? bytes.subarray(written) : bytes
      if (error === null && rest.length > 0) this.writeAll(rest)
      else this.written(rest)
    })
  }

  private written (lost: Buffer): void {
    this.isWriting = false
    this.dropped += countLines(lost)
    const hasMore = this.waiting.length > 0 || this.dropped > 0
    if (hasMore) this.timer ??= setTimeout(() => this.flush(), flushIntervalMs).unref()
  }

  private takeBuffered (): Buffer {
    if (this.dropped > 0) {
      this.waiting.push(`level=warn event=log_dropped lines=${this.dropped}`)
      this.dropped = 0
    }
    const text = this.waiting.length === 0 ? '' : this.waiting.join('\n') + '\n'
    this.waiting = []
    return Buffer.from(text)
  }
}

function countLines (bytes: Buffer): number {
  let lines = 0
  for (const byte of bytes) if (byte === newlineByte) lines += 1
  return lines
}
