import { write, writeSync } from 'node:fs'

/** Lines which may wait to be written; more are dropped and counted. */
const maximumWaiting = 2000
/** How long lines are collected before they are written together, in milliseconds. */
const flushMs = 50

/** Writes lines to a file descriptor without ever waiting for it. */
export class LineWriter {
  private waiting: string[] = []
  private dropped = 0
  private isWriting = false
  private timer: NodeJS.Timeout | undefined

  constructor (private readonly descriptor: number) {}

  /** Takes a line without its line end. */
  write (line: string): void {
    if (this.waiting.length >= maximumWaiting) {
      this.dropped += 1
      return
    }
    this.waiting.push(line)
    this.timer ??= setTimeout(() => this.flush(), flushMs).unref()
  }

  /** Writes what waits before the process ends. */
  close (): void {
    const text = this.take()
    if (text === '') return
    try {
      writeSync(this.descriptor, text)
    } catch {
      // Nobody reads the log any more, and the process is about to end.
    }
  }

  private flush (): void {
    this.timer = undefined
    if (this.isWriting) return
    const text = this.take()
    if (text === '') return
    this.isWriting = true
    write(this.descriptor, text, error => {
      this.isWriting = false
      if (error !== null) this.dropped += 1
      if (this.waiting.length > 0) this.timer ??= setTimeout(() => this.flush(), flushMs).unref()
    })
  }

  private take (): string {
    if (this.dropped > 0) {
      this.waiting.push(`level=warn event=log_dropped lines=${this.dropped}`)
      this.dropped = 0
    }
    const text = this.waiting.length === 0 ? '' : this.waiting.join('\n') + '\n'
    this.waiting = []
    return text
  }
}
