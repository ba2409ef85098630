import http from 'node:http'
import type { EndStatus } from '../../core/endpointGate'
import { Failure } from '../../core/failures'
import { callerHeaders, selectForwardedHeaders, type Address } from '../../transport'
import { AnswerBuffer } from './answerBuffer'

/** Options of an EndpointExchange. */
export interface EndpointExchangeOptions {
  readonly endpoint: Address
  readonly connections: http.Agent
  /** The path at the endpoint, with the query string. */
  readonly path: string
  readonly request: http.IncomingMessage
  readonly response: http.ServerResponse
  /** Bytes of the answer that are buffered for an entry process that reconnects. */
  readonly keptBytes: number
  /** The time limit for the endpoint's answer, in milliseconds. */
  readonly timeoutMs: number
  /** Creates the agent's own headers for the entry process; called when the answer's head is sent. */
  readonly answerHeaders: () => http.OutgoingHttpHeaders
  readonly ended: (status: EndStatus) => void
}

/** Runs one request at the endpoint and buffers its answer. */
export class EndpointExchange {
  readonly answer: AnswerBuffer
  private readonly upstream: http.ClientRequest
  private readonly timer: NodeJS.Timeout
  private hasConnected = false
  private isEnded = false

  constructor (private readonly options: EndpointExchangeOptions) {
    this.answer = new AnswerBuffer(options.keptBytes)
    this.upstream = this.open()
    this.timer = setTimeout(() => this.abortOnTimeout(), options.timeoutMs)
  }

  private open (): http.ClientRequest {
    const { endpoint, connections, path, request, response } = this.options
    const upstream = http.request({
      ...endpoint,
      agent: connections,
      method: request.method,
      path,
      headers: selectForwardedHeaders(request.headers)
    })
    upstream.once('socket', socket => {
      if (socket.connecting) socket.once('connect', () => { this.hasConnected = true })
      else this.hasConnected = true
    })
    upstream.once('response', answer => this.begin(answer))
    upstream.once('error', error => this.fail(error))
    // No request asks for an upgrade; without this listener the exchange would end neither with an answer nor with an error.
    upstream.once('upgrade', (_response, socket) => {
      socket.destroy()
      this.fail(new Error('an upgrade that was not asked for'))
    })
    response.once('close', () => this.handleEntryGone())
    request.once('error', () => {})
    request.pipe(upstream)
    this.answer.attach(response, 0, {})
    return upstream
  }

  private begin (answer: http.IncomingMessage): void {
    const { response } = this.options
    if (!response.headersSent && !response.destroyed) {
      for (const [name, value] of Object.entries(this.options.answerHeaders())) {
        if (value !== undefined) response.setHeader(name, value)
      }
      response.setHeader(callerHeaders.outcome, 'answered')
    }
    this.answer.begin(answer, isWhole => this.end(isWhole ? 'ran' : 'unknown'))
  }

  /** Aborts the request at the endpoint if its body was still incomplete when the entry process disconnected. */
  private handleEntryGone (): void {
    if (!this.options.request.complete) this.upstream.destroy()
  }

  private abortOnTimeout (): void {
    this.upstream.destroy(new Failure('agent/endpoint-failed', { expected: `an answer within ${this.options.timeoutMs} ms` }))
  }

  private fail (error: Error): void {
    const status: EndStatus = this.hasConnected ? 'unknown' : 'notRun'
    const { response } = this.options
    if (response.headersSent || response.destroyed) {
      this.answer.cut()
    } else {
      this.answer.discard()
      this.replyFailed(status, error)
    }
    this.end(status)
  }

  private replyFailed (status: EndStatus, error: Error): void {
    const failure = new Failure('agent/endpoint-failed', { got: error.message })
    this.options.response.writeHead(status === 'notRun' ? 503 : 502, {
      ...this.options.answerHeaders(),
      [callerHeaders.outcome]: status === 'notRun' ? 'not-run' : 'unknown',
      [callerHeaders.failure]: failure.code
    })
    this.options.response.end(failure.message)
  }

  private end (status: EndStatus): void {
    if (this.isEnded) return
    this.isEnded = true
    clearTimeout(this.timer)
    this.options.ended(status)
  }
}
