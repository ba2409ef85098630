import type http from 'node:http'
import { Failure } from '../../core/failures'

/** What happens on a connection to an agent. */
export type ConnectionEvent =
  | { readonly type: 'head', readonly connection: AgentConnection, readonly response: http.IncomingMessage }
  | { readonly type: 'done', readonly connection: AgentConnection }
  | { readonly type: 'broken', readonly connection: AgentConnection, readonly failure: Failure }

/** One HTTP exchange with an agent, watched for signs of life. */
export class AgentConnection {
  private lastSignAt: number
  private pausedAt: number | undefined
  private hasEnded = false

  constructor (
    private readonly request: http.ClientRequest,
    private readonly now: () => number,
    private readonly post: (event: ConnectionEvent) => void
  ) {
    this.lastSignAt = now()
    request.on('information', () => this.sign())
    request.on('continue', () => this.sign())
    request.once('response', response => {
      this.sign()
      post({ type: 'head', connection: this, response })
    })
    request.once('error', error => this.breakOff(error))
    // An upgrade is never asked for; a peer which answers with one must not keep the socket open.
    request.once('upgrade', (_response, socket) => socket.destroy())
  }

  /** How long the agent has shown no sign of life, in milliseconds; zero while the caller holds the answer up. */
  silentMs (now: number): number {
    return this.pausedAt === undefined ? now - this.lastSignAt : 0
  }

  /** How long the caller has taken no byte, in milliseconds. */
  heldUpMs (now: number): number {
    return this.pausedAt === undefined ? 0 : now - this.pausedAt
  }

  /** Copies the body of an answer to the caller; calls back for each chunk. */
  pump (response: http.IncomingMessage, caller: http.ServerResponse, onChunk: (chunk: Buffer) => void): void {
    response.on('data', (chunk: Buffer) => {
      this.sign()
      onChunk(chunk)
      if (!caller.write(chunk)) this.pause(response, caller)
    })
    response.once('end', () => this.finish(response.complete))
    response.once('close', () => this.finish(response.complete))
    response.once('error', error => this.breakOff(error))
  }

  /** Ends the exchange without an event. */
  destroy (): void {
    this.hasEnded = true
    this.request.destroy()
  }

  private sign (): void {
    this.lastSignAt = this.now()
  }

  private pause (response: http.IncomingMessage, caller: http.ServerResponse): void {
    this.pausedAt = this.now()
    response.pause()
    caller.once('drain', () => {
      this.pausedAt = undefined
      this.sign()
      response.resume()
    })
  }

  private finish (isComplete: boolean): void {
    if (!isComplete) {
      this.breakOff(new Error('the answer was cut'))
      return
    }
    if (this.hasEnded) return
    this.hasEnded = true
    this.post({ type: 'done', connection: this })
  }

  private breakOff (error: Error): void {
    if (this.hasEnded) return
    this.hasEnded = true
    this.post({ type: 'broken', connection: this, failure: new Failure('transport/broken', { got: error.message }) })
  }
}
