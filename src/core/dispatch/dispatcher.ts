import { FairQueue, RetryBudget, type QueuedRequest, type RetryBudgetOptions } from '../admission'
import type { EndpointLoad } from '../endpointGate'
import { Failure } from '../failures'
import { EndpointTable, type Announcement, type EndpointSign, type EndpointTableOptions, type EndpointView, type RoutingPolicy } from '../routing'

/** Options of a dispatcher. */
export interface DispatcherOptions {
  readonly table: EndpointTableOptions
  readonly routing: RoutingPolicy
  /** Requests which wait at this entry process, all catalogue entries together. */
  readonly queueCapacity: number
  readonly retries: RetryBudgetOptions
  readonly weightOf: (organisation: string) => number
  readonly random: () => number
}

/** A request for dispatch. */
export interface DispatchRequest extends QueuedRequest {
  /** Agents which refused it already. */
  readonly excluded: readonly string[]
}

/** What the dispatcher decided about a request. */
export type Dispatch =
  | { readonly type: 'send', readonly id: string, readonly endpoint: EndpointView }
  | { readonly type: 'reject', readonly id: string, readonly failure: Failure, readonly retryAfterMs: number }

/** The end of a request at an endpoint. */
export interface EndedRequest {
  readonly agent: string
  readonly incarnation: string
  readonly sign: EndpointSign
  readonly durationMs: number
  readonly load: EndpointLoad | undefined
}

/** Share of the mean service time which must be left before a deadline. */
const serviceMargin = 1.5
const shortestRetryAfterMs = 1000
/** Weight of the newest interval in the mean time between dispatches. */
const intervalWeight = 0.05

/** Decides which request goes to which endpoint and when; pure, so that it runs in virtual time too. */
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

  /** Requests which wait here. */
  get queued (): number {
    return this.queue.size
  }

  /** The agents which are known. */
  agents (): readonly Announcement[] {
    return this.table.agents()
  }

  /** The newest announcement of an agent. */
  findAgent (agent: string): Announcement | undefined {
    return this.table.find(agent)
  }

  /** Takes an agent's announcement. */
  announce (announcement: Announcement, now: number): readonly Dispatch[] {
    this.table.announce(announcement, now)
    return this.dispatchQueued(now)
  }

  /** Takes a new request. */
  submit (request: DispatchRequest, now: number): readonly Dispatch[] {
    this.retries.earn()
    return this.admit(request, now)
  }

  /**
   * Takes a request back which an agent proved not to have run. One that was refused only for want of a
   * slot waits here once the budget is spent: it costs an endpoint nothing, and a slot may be free later.
   */
  retry (request: DispatchRequest, isForRoom: boolean, now: number): readonly Dispatch[] {
    if (this.retries.spend()) return this.admit(request, now)
    if (isForRoom && request.deadlineAt > now) return this.hold(request)
    return [this.reject(request.id, new Failure('request/retry-budget'))]
  }

  /** Takes a request out of the queue because its caller went away. */
  cancel (id: string): void {
    this.queue.remove(id)
    this.waiting.delete(id)
  }

  /** Takes the end of a request; its slot may serve another one. */
  ended (end: EndedRequest, now: number): readonly Dispatch[] {
    this.table.ended(end.agent, end.incarnation, end.sign, end.durationMs, end.load, now)
    return this.dispatchQueued(now)
  }

  /** Notes that this process stood still for a time, so that agents do not seem dead for it. */
  excuse (ms: number): void {
    this.table.excuse(ms)
  }

  /** Lets time pass: dead agents leave and late requests are rejected. */
  tick (now: number): readonly Dispatch[] {
    this.table.removeDead(now)
    const expired = this.queue.removeExpired(now, entry => this.serviceMs(entry)).map(request => this.rejectWaiting(request.id, new Failure('request/deadline')))
    return [...expired, ...this.rejectStranded(now), ...this.dispatchQueued(now)]
  }

  /** Rejects all which wait, because this process shuts down for good. */
  rejectAll (failure: Failure): readonly Dispatch[] {
    const ids = [...this.waiting.keys()]
    for (const id of ids) this.queue.remove(id)
    return ids.map(id => this.rejectWaiting(id, failure))
  }

  private admit (request: DispatchRequest, now: number): readonly Dispatch[] {
    if (request.deadlineAt <= now) return [this.reject(request.id, new Failure('request/deadline'))]
    if (this.isStranded(request, now)) return [this.reject(request.id, noEndpoint(request))]
    if (this.queue.size === 0) {
      const endpoint = this.choose(request, now)
      if (endpoint !== undefined) return [this.send(request, endpoint, now)]
    }
    if (now + this.expectedWaitMs(request) + this.serviceMs(request.entry) > request.deadlineAt) return [this.reject(request.id, new Failure('request/queue-full', { expected: 'a wait within the deadline' }))]
    return this.enqueue(request, now)
  }

  /** Whether no endpoint is left which could take a request, however long it waited. */
  private isStranded (request: DispatchRequest, now: number): boolean {
    return this.table.candidates(request.entry, now, request.excluded).length === 0
  }

  /** Waiting for endpoints which are gone would only hold the answer back. */
  private rejectStranded (now: number): readonly Dispatch[] {
    const stranded = [...this.waiting.values()].filter(request => this.isStranded(request, now))
    for (const { id } of stranded) this.queue.remove(id)
    return stranded.map(request => this.rejectWaiting(request.id, noEndpoint(request)))
  }

  private enqueue (request: DispatchRequest, now: number): readonly Dispatch[] {
    const rejections = this.hold(request)
    return rejections.length > 0 ? rejections : this.dispatchQueued(now)
  }

  /** Puts a request into the queue until the next event; at the bound, one is shed. */
  private hold (request: DispatchRequest): readonly Dispatch[] {
    this.waiting.set(request.id, request)
    const { shed } = this.queue.add(request)
    if (shed === undefined) return []
    const failure = shed.id === request.id ? new Failure('request/queue-full', { subject: request.entry }) : new Failure('request/shed', { subject: shed.entry })
    return [this.rejectWaiting(shed.id, failure)]
  }

  private dispatchQueued (now: number): readonly Dispatch[] {
    const dispatches: Dispatch[] = []
    // A request which cannot be answered in its deadline any more would only take a slot from another one.
    for (const late of this.queue.removeExpired(now, entry => this.serviceMs(entry))) dispatches.push(this.rejectWaiting(late.id, new Failure('request/deadline')))
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

  /** Only a queue which is never empty shows how fast requests can leave it. */
  private measureInterval (now: number): void {
    if (this.lastDispatchAt !== undefined) {
      this.meanIntervalMs += intervalWeight * (now - this.lastDispatchAt - this.meanIntervalMs)
    }
    this.lastDispatchAt = this.queue.size > 0 ? now : undefined
  }

  private expectedWaitMs ({ organisation, priority }: QueuedRequest): number {
    return this.queue.aheadOf(organisation, priority) * this.meanIntervalMs
  }

  /** The time which an answer is allowed to take, from the measured mean. */
  private serviceMs (entry: string): number {
    return serviceMargin * this.table.meanMs(entry)
  }

  private rejectWaiting (id: string, failure: Failure): Dispatch {
    this.waiting.delete(id)
    return this.reject(id, failure)
  }

  private reject (id: string, failure: Failure): Dispatch {
    return { type: 'reject', id, failure, retryAfterMs: Math.max(shortestRetryAfterMs, Math.ceil(this.queue.size * this.meanIntervalMs)) }
  }
}

function noEndpoint (request: DispatchRequest): Failure {
  return new Failure('request/no-endpoint', { subject: request.entry })
}
