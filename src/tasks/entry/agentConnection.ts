import type http from 'node:http'
import { Failure } from '../../core/failures'

/** An event on a connection to an agent: the answer's head, its complete end, or a broken connection. */
export type ConnectionEvent =
  | { readonly type: 'head', readonly connection: AgentConnection, readonly response: http.IncomingMessage }
  | { readonly type: 'done', readonly connection: AgentConnection }
  | { readonly type: 'broken', readonly connection: AgentConnection, readonly failure: Failure }

/** One HTTP exchange with an agent that records when the agent last sent anything, including interim responses. */
export class AgentConnection {
  private lastActivityAt: number
  private pausedAt: number | undefined
  private hasEnded = false

  constructor (
    private readonly request: http.ClientRequest,
    private readonly now: () => number,
    private readonly post: (event: ConnectionEvent) => void
  ) {
    this.lastActivityAt = now()
    request.on('information', () => this.recordActivity())
    request.on('continue', () => this.recordActivity())
    request.once('response', response => {
      this.recordActivity()
      post({ type: 'head', connection: this, response })
    })
    request.once('error', error => this.fail(error))
    // No request asks for an upgrade; a peer that answers with one must not keep the socket open.
    request.once('upgrade', (_response, socket) => socket.destroy())
  }

  /** Time since the agent last sent anything, in milliseconds; zero while the caller applies backpressure. */
  silentMs (now: number): number {
    return this.pausedAt === undefined ? now - this.lastActivityAt : 0
  }

  /** How long the caller has applied backpressure without reading, in milliseconds. */
  backpressureMs (now: number): number {
    return this.pausedAt === undefined ? 0 : now - this.pausedAt
  }

  /** Copies the body of an answer to the caller, respecting backpressure; calls back for each chunk. */
  forwardBody (response: http.IncomingMessage, caller: http.ServerResponse, onChunk: (chunk: Buffer) => void): void {
    response.on('data', (chunk: Buffer) => {
      this.recordActivity()
      onChunk(chunk)
      if (!caller.write(chunk)) this.pause(response, caller)
    })
    response.once('end', () => this.finish(response.complete))
    response.once('close', () => this.finish(response.complete))
    response.once('error', error => this.fail(error))
  }

  /** Aborts the exchange without posting an event. */
  destroy (): void {
    this.hasEnded = true
    this.request.destroy()
  }

  private recordActivity (): void {
    this.lastActivityAt = this.now()
  }

  private pause (response: http.IncomingMessage, caller: http.ServerResponse): void {
    this.pausedAt = this.now()
    response.pause()
    caller.once('drain', () => {
      this.pausedAt = undefined
      this.recordActivity()
      response.resume()
    })
  }

  private finish (isComplete: boolean): void {
    if (!isComplete) {
      this.fail(new Error('the answer was cut'))
      return
    }
    if (this.hasEnded) return
    this.hasEnded = true
    this.post({ type: 'done', connection: this })
  }

  private fail (error: Error): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.post({ type: 'broken', connection: this, failure: new Failure('transport/broken', { got: error.message }) })
  }
}
