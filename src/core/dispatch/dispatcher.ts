import { FairQueue, RetryBudget, type QueuedRequest, type RetryBudgetOptions } from '../admission'
import type { EndpointLoad } from '../endpointGate'
import { Failure } from '../failures'
import { EndpointTable, type Announcement, type EndpointOutcome, type EndpointTableOptions, type EndpointView, type RoutingPolicy } from '../routing'

/** Options of a Dispatcher. */
export interface DispatcherOptions {
  readonly table: EndpointTableOptions
  readonly routing: RoutingPolicy
  /** The maximum number of requests queued at this entry process, over all catalogue entries. */
  readonly queueCapacity: number
  readonly retries: RetryBudgetOptions
  readonly weightOf: (organisation: string) => number
  readonly random: () => number
}

/** A request for dispatch. */
export interface DispatchRequest extends QueuedRequest {
  /** Agents that have already refused the request. */
  readonly excluded: readonly string[]
}

/** The dispatcher's decision about a request. */
export type Dispatch =
  | { readonly type: 'send', readonly id: string, readonly endpoint: EndpointView }
  | { readonly type: 'reject', readonly id: string, readonly failure: Failure, readonly retryAfterMs: number }

/** The end of a request at an endpoint, which releases its slot. */
export interface EndedRequest {
  readonly agent: string
  readonly incarnation: string
  readonly endpointOutcome: EndpointOutcome
  readonly durationMs: number
  readonly load: EndpointLoad | undefined
}

/** Multiple of the mean service time that must be left before the deadline. */
const serviceTimeMargin = 1.5
const minimumRetryAfterMs = 1000
/** Weight of the newest interval in the moving average of the time between dispatches. */
const intervalWeight = 0.05

/** Decides which request goes to which endpoint and when. Has no input or output and no clock of its own, so that it also runs in virtual time. */
export class Dispatcher {
  private readonly table: EndpointTable
  private readonly queue: FairQueue
  private readonly retries: RetryBudget
  private readonly waiting = new Map<string, DispatchRequest>()
  private meanIntervalMs = 0
  private lastDispatchAt: number | undefined

  constructor (private readonly options: DispatcherOptions) {
    this.table = new EndpointTable(options.table)
    this.queue = new FairQueue(options.queueCapacity, options.weightOf)
    this.retries = new RetryBudget(options.retries)
  }

  /** The number of queued requests. */
  get queued (): number {
    return this.queue.size
  }

  /** The newest announcements of all known agents. */
  agents (): readonly Announcement[] {
    return this.table.agents()
  }

  /** The newest announcement of an agent; undefined if the agent is unknown or considered dead. */
  findAgent (agent: string): Announcement | undefined {
    return this.table.find(agent)
  }

  /** Records an agent's announcement and dispatches requests that its endpoint can now take. */
  announce (announcement: Announcement, now: number): readonly Dispatch[] {
    this.table.announce(announcement, now)
    return this.dispatchQueued(now)
  }

  /** Dispatches, queues or rejects a new request. */
  submit (request: DispatchRequest, now: number): readonly Dispatch[] {
    this.retries.deposit()
    return this.admit(request, now)
  }

  /**
   * Dispatches a request again that an agent proved not to have run. Once the retry budget is spent, a request that was refused
   * only because no slot was free (`isCapacityRefusal`) is queued: it costs an endpoint nothing, and a slot may become free.
   */
  retry (request: DispatchRequest, isCapacityRefusal: boolean, now: number): readonly Dispatch[] {
    if (this.retries.withdraw()) return this.admit(request, now)
    if (isCapacityRefusal && request.deadlineAt > now) return this.addToQueue(request)
    return [this.reject(request.id, new Failure('request/retry-budget'))]
  }

  /** Removes a queued request whose caller has disconnected. */
  cancel (id: string): void {
    this.queue.remove(id)
    this.waiting.delete(id)
  }

  /** Records the end of a request and dispatches queued requests to the released slot. */
  ended (end: EndedRequest, now: number): readonly Dispatch[] {
    this.table.ended(end.agent, end.incarnation, end.endpointOutcome, end.durationMs, end.load, now)
    return this.dispatchQueued(now)
  }

  /** Discounts a pause of this process, in milliseconds, from the silence of the agents, so that they are not considered dead because of it. */
  discountPause (ms: number): void {
    this.table.discountPause(ms)
  }

  /** Removes dead agents and rejects requests that can no longer be answered in time. */
  tick (now: number): readonly Dispatch[] {
    this.table.removeDead(now)
    const expired = this.queue.removeExpired(now, entry => this.estimateServiceMs(entry)).map(request => this.rejectWaiting(request.id, new Failure('request/deadline')))
    return [...expired, ...this.rejectUnroutable(now), ...this.dispatchQueued(now)]
  }

  /** Rejects all queued requests, because this process is shutting down. */
  rejectAll (failure: Failure): readonly Dispatch[] {
    const ids = [...this.waiting.keys()]
    for (const id of ids) this.queue.remove(id)
    return ids.map(id => this.rejectWaiting(id, failure))
  }

  private admit (request: DispatchRequest, now: number): readonly Dispatch[] {
    if (request.deadlineAt <= now) return [this.reject(request.id, new Failure('request/deadline'))]
    if (this.isUnroutable(request, now)) return [this.reject(request.id, createNoEndpointFailure(request))]
    if (this.queue.size === 0) {
      const endpoint = this.choose(request, now)
      if (endpoint !== undefined) return [this.send(request, endpoint, now)]
    }
    if (now + this.estimateWaitMs(request) + this.estimateServiceMs(request.entry) > request.deadlineAt) return [this.reject(request.id, new Failure('request/queue-full', { expected: 'a wait within the deadline' }))]
    return this.enqueue(request, now)
  }

  /** Whether no usable endpoint serves the request, so that waiting would not help. */
  private isUnroutable (request: DispatchRequest, now: number): boolean {
    return this.table.candidates(request.entry, now, request.excluded).length === 0
  }

  /** Rejects queued requests without a usable endpoint: waiting would only delay the answer. */
  private rejectUnroutable (now: number): readonly Dispatch[] {
    const unroutable = [...this.waiting.values()].filter(request => this.isUnroutable(request, now))
    for (const { id } of unroutable) this.queue.remove(id)
    return unroutable.map(request => this.rejectWaiting(request.id, createNoEndpointFailure(request)))
  }

  private enqueue (request: DispatchRequest, now: number): readonly Dispatch[] {
    const rejections = this.addToQueue(request)
    return rejections.length > 0 ? rejections : this.dispatchQueued(now)
  }

  /** Queues a request until the next event; a full queue sheds one request. */
  private addToQueue (request: DispatchRequest): readonly Dispatch[] {
    this.waiting.set(request.id, request)
    const { shed } = this.queue.add(request)
    if (shed === undefined) return []
    const failure = shed.id === request.id ? new Failure('request/queue-full', { subject: request.entry }) : new Failure('request/shed', { subject: shed.entry })
    return [this.rejectWaiting(shed.id, failure)]
  }

  private dispatchQueued (now: number): readonly Dispatch[] {
    const dispatches: Dispatch[] = []
    // A request that can no longer be answered within its deadline would only take a slot from another one.
    for (const late of this.queue.removeExpired(now, entry => this.estimateServiceMs(entry))) dispatches.push(this.rejectWaiting(late.id, new Failure('request/deadline')))
    while (this.queue.size > 0) {
      const first = this.queue.takeFirst(queued => this.choose(this.waiting.get(queued.id) ?? { ...queued, excluded: [] }, now))
      if (first === undefined) break
      const request = this.waiting.get(first.request.id)
      this.waiting.delete(first.request.id)
      if (request !== undefined) dispatches.push(this.send(request, first.chosen, now))
    }
    return dispatches
  }

  private choose (request: DispatchRequest, now: number): EndpointView | undefined {
    const candidates = this.table.candidates(request.entry, now, request.excluded)
    return this.options.routing.choose(candidates, this.options.random)
  }

  private send (request: DispatchRequest, endpoint: EndpointView, now: number): Dispatch {
    this.table.sent(endpoint.agent)
    this.measureInterval(now)
    return { type: 'send', id: request.id, endpoint }
  }

  /** Measures the interval between dispatches only while the queue is not empty: otherwise the interval shows the arrival rate, not the rate at which requests can leave. */
  private measureInterval (now: number): void {
    if (this.lastDispatchAt !== undefined) {
      this.meanIntervalMs += intervalWeight * (now - this.lastDispatchAt - this.meanIntervalMs)
    }
    this.lastDispatchAt = this.queue.size > 0 ? now : undefined
  }

  private estimateWaitMs ({ organisation, priority }: QueuedRequest): number {
    return this.queue.countAhead(organisation, priority) * this.meanIntervalMs
  }

  /** The time to reserve for an answer, in milliseconds: the measured mean with a margin. */
  private estimateServiceMs (entry: string): number {
    return serviceTimeMargin * this.table.meanMs(entry)
  }

  private rejectWaiting (id: string, failure: Failure): Dispatch {
    this.waiting.delete(id)
    return this.reject(id, failure)
  }

  private reject (id: string, failure: Failure): Dispatch {
    return { type: 'reject', id, failure, retryAfterMs: Math.max(minimumRetryAfterMs, Math.ceil(this.queue.size * this.meanIntervalMs)) }
  }
}

function createNoEndpointFailure (request: DispatchRequest): Failure {
  return new Failure('request/no-endpoint', { subject: request.entry })
}
