import type http from 'node:http'
import { Failure } from '../../core/failures'
import { readBody } from './bodyReader'
import type { EntryContext } from './entryContext'
import { replyFailure, replyJson } from './replies'
import { planRequest, servicesPath, type RequestPlan } from './requestPlan'
import { ServiceExchange } from './serviceExchange'
import { TaskHandler, tasksPath } from './taskHandler'

const timeoutCheckIntervalMs = 100

/** Handles the requests of callers and the health and readiness checks of the load balancer. */
export class CallerHandler {
  private readonly exchanges = new Set<ServiceExchange>()
  private readonly tasks: TaskHandler
  private readonly timeoutTimer: NodeJS.Timeout
  private isDraining = false

  constructor (private readonly context: EntryContext) {
    this.tasks = new TaskHandler(context)
    this.timeoutTimer = setInterval(() => this.checkTimeouts(), timeoutCheckIntervalMs)
  }

  /** Whether the load balancer should send requests here: not draining, and with a fresh catalogue. */
  get isReady (): boolean {
    return !this.isDraining && this.context.catalogue.catalogue.isFresh(this.context.now())
  }

  /** Makes the readiness check fail; requests are still served, and connections are closed after their answer. */
  startDraining (): void {
    this.isDraining = true
  }

  stop (): void {
    clearInterval(this.timeoutTimer)
  }

  /** Routes one request by its path. */
  handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    const url = request.url ?? ''
    response.on('error', () => {})
    if (this.isDraining) response.setHeader('connection', 'close')
    if (url.startsWith(servicesPath)) this.serve(request, response)
    else if (url.startsWith(tasksPath)) this.tasks.handle(request, response)
    else if (url === '/health') replyJson(response, 200, { health: 'ok' })
    else if (url === '/ready') this.replyReady(response)
    else replyFailure(response, { failure: new Failure('request/unknown-path', { got: url.slice(0, 100) }), outcome: 'not-run' })
  }

  private replyReady (response: http.ServerResponse): void {
    replyJson(response, this.isReady ? 200 : 503, { ready: this.isReady })
  }

  private async serve (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { context } = this
    const planned = planRequest(request, context.catalogue.catalogue, context.now())
    if (!planned.ok) return replyFailure(response, { failure: planned.val, outcome: 'not-run' })
    const { bodyBufferBytes, bodyIdleMs } = context.bounds
    const body = await readBody(request, { bufferBytes: bodyBufferBytes, idleMs: bodyIdleMs })
    if (!body.ok) {
      response.setHeader('connection', 'close')
      return replyFailure(response, { failure: body.val, outcome: 'not-run' })
    }
    const failure = this.checkBodySize(request, planned.val, body.val.isWhole)
    if (failure !== undefined) {
      response.setHeader('connection', 'close')
      return replyFailure(response, { failure, outcome: 'not-run' })
    }
    const exchange = new ServiceExchange(context, planned.val, body.val, request, response)
    this.exchanges.add(exchange)
    exchange.start(() => this.exchanges.delete(exchange))
  }

  private checkBodySize (request: http.IncomingMessage, plan: RequestPlan, isWhole: boolean): Failure | undefined {
    const { bodyBufferBytes, maximumBodyBytes } = this.context.bounds
    const length = Number(request.headers['content-length'] ?? 0)
    if (length > maximumBodyBytes) return new Failure('request/body-too-large', { expected: `at most ${maximumBodyBytes} bytes`, got: `${length} bytes` })
    if (!isWhole && plan.key !== undefined) return new Failure('request/body-too-large', { expected: `at most ${bodyBufferBytes} bytes with an idempotency key` })
    return undefined
  }

  private checkTimeouts (): void {
    const now = this.context.now()
    for (const exchange of this.exchanges) exchange.check(now)
  }
}
