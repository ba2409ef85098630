import { Dispatcher, type Dispatch, type DispatcherOptions, type DispatchRequest } from '../src/core/dispatch'
import { EndpointGate, type EndpointLoad } from '../src/core/endpointGate'
import type { EndpointOutcome, EndpointView, RoutingPolicy } from '../src/core/routing'
import { EventQueue } from './eventQueue'

/** One catalogue entry's traffic in the model. */
export interface ModelTraffic {
  readonly entry: string
  readonly organisation: string
  /** Requests a second. */
  readonly rate: number
  readonly priority?: 'latency' | 'batch'
}

/** A site in virtual time: real dispatchers and gates, modelled delays and service times. */
export interface ModelOptions {
  readonly policy: () => RoutingPolicy
  readonly entries: number
  readonly endpoints: number
  readonly slots: number
  readonly gateQueue: number
  readonly queueCapacity: number
  readonly queueLimit: number
  readonly deadlineMs: number
  readonly traffic: readonly ModelTraffic[]
  /** One-way delays in milliseconds. */
  readonly ownZoneMs: number
  readonly otherZoneMs: number
  /** The largest extra delay of a message, as a share of the delay. */
  readonly jitter: number
  /** Share of messages which are lost once and come a retransmission later. */
  readonly loss: number
  readonly retransmitMs: number
  /** Draws a service time in milliseconds. */
  readonly serviceMs: (endpoint: number, random: () => number) => number
  readonly announceMs: number
  readonly requests: number
  readonly random: () => number
}

/** What the model counted. */
export interface ModelResult {
  /** Times of answered requests in milliseconds, from the arrival at an entry process to the answer there. */
  readonly latenciesMs: readonly number[]
  /** Answers in their deadline by organisation. */
  readonly answered: ReadonlyMap<string, number>
  readonly rejected: number
  readonly elapsedMs: number
}

interface ModelRequest extends DispatchRequest {
  readonly arrivedAt: number
}

const zoneCount = 3
const startMs = 5000

/** Runs the model until every request has ended. */
export function runModel (options: ModelOptions): ModelResult {
  return new DispatchModel(options).run()
}

class DispatchModel {
  private readonly events = new EventQueue()
  private readonly dispatchers: readonly Dispatcher[]
  private readonly gates: readonly EndpointGate[]
  private readonly requests = new Map<string, ModelRequest>()
  private readonly latencies: number[] = []
  private readonly answered = new Map<string, number>()
  private rejected = 0
  private ended = 0

  constructor (private readonly options: ModelOptions) {
    this.dispatchers = Array.from({ length: options.entries }, (_, index) => new Dispatcher(this.dispatcherOptions(index)))
    this.gates = Array.from({ length: options.endpoints }, () => new EndpointGate({ slots: options.slots, queue: options.gateQueue, rememberMs: 1000, maximumRecords: 1_000_000 }))
  }

  run (): ModelResult {
    this.gates.forEach((_, endpoint) => this.announce(endpoint))
    this.dispatchers.forEach((_, entry) => this.tick(entry))
    for (const traffic of this.options.traffic) this.scheduleArrivals(traffic)
    while (this.ended < this.options.requests && this.events.step()) { /* each step is one event */ }
    return { latenciesMs: this.latencies, answered: this.answered, rejected: this.rejected, elapsedMs: this.events.now - startMs }
  }

  private dispatcherOptions (entry: number): DispatcherOptions {
    const { options } = this
    return {
      table: {
        deadAfterMs: 3 * options.announceMs,
        oneWayDelayMs: zone => zone === zoneOf(entry) ? options.ownZoneMs : options.otherZoneMs,
        ejectAfterFailures: 5,
        ejectMs: 1000,
        maximumEjectMs: 30_000
      },
      routing: options.policy(),
      queueCapacity: options.queueCapacity,
      retries: { ratio: 0.2, burst: 50 },
      weightOf: () => 1,
      random: options.random
    }
  }

  private announce (endpoint: number): void {
    this.dispatchers.forEach((dispatcher, entry) => {
      this.travel(entry, endpoint, () => this.tell(entry, dispatcher.announce({
        agent: String(endpoint),
        incarnation: '1',
        address: String(endpoint),
        zone: zoneOf(endpoint),
        entries: this.options.traffic.map(traffic => traffic.entry),
        slots: this.options.slots,
        queue: this.options.gateQueue,
        isDraining: false,
        load: this.loadOf(endpoint, entry),
        revision: 1
      }, this.events.now)))
    })
    this.events.after(this.options.announceMs, () => this.announce(endpoint))
  }

  private tick (entry: number): void {
    this.tell(entry, this.dispatcherOf(entry).tick(this.events.now))
    this.events.after(50, () => this.tick(entry))
  }

  private scheduleArrivals (traffic: ModelTraffic): void {
    const total = this.options.traffic.reduce((sum, other) => sum + other.rate, 0)
    const count = Math.round(this.options.requests * traffic.rate / total)
    let at = startMs
    for (let index = 0; index < count; index += 1) {
      at += -Math.log(1 - this.options.random()) * 1000 / traffic.rate
      const id = `${traffic.entry}-${index}`
      const entry = Math.floor(this.options.random() * this.options.entries)
      this.events.at(at, () => this.arrive(id, entry, traffic))
    }
  }

  private arrive (id: string, entry: number, traffic: ModelTraffic): void {
    const request: ModelRequest = {
      id,
      entry: traffic.entry,
      organisation: traffic.organisation,
      priority: traffic.priority ?? 'latency',
      arrivedAt: this.events.now,
      deadlineAt: this.events.now + this.options.deadlineMs,
      queueLimit: this.options.queueLimit,
      excluded: []
    }
    this.requests.set(id, request)
    this.tell(entry, this.dispatcherOf(entry).submit(request, this.events.now))
  }

  private tell (entry: number, dispatches: readonly Dispatch[]): void {
    for (const dispatch of dispatches) {
      if (dispatch.type === 'send') this.send(entry, dispatch.id, dispatch.endpoint)
      else this.end(dispatch.id, false)
    }
  }

  private send (entry: number, id: string, view: EndpointView): void {
    const endpoint = Number(view.agent)
    const request = this.requests.get(id) as ModelRequest
    const sentAt = this.events.now
    this.travel(entry, endpoint, () => {
      const arrival = this.gateOf(endpoint).arrive({ requestId: id, source: String(entry), entry: request.entry, deadlineAt: request.deadlineAt, concurrency: this.options.slots }, this.events.now)
      this.back.set(id, { entry, sentAt })
      if (arrival.type === 'run') this.serve(endpoint, id)
      if (arrival.type === 'refused') this.refuse(endpoint, id)
    })
  }

  private readonly back = new Map<string, { readonly entry: number, readonly sentAt: number }>()

  private serve (endpoint: number, id: string): void {
    this.events.after(this.options.serviceMs(endpoint, this.options.random), () => {
      const change = this.gateOf(endpoint).finish(id, 'ran', this.events.now)
      for (const started of change.started) this.serve(endpoint, started)
      for (const expired of change.expired) this.refuse(endpoint, expired)
      this.comeBack(endpoint, id, 'answered', () => this.end(id, true))
    })
  }

  private refuse (endpoint: number, id: string): void {
    this.comeBack(endpoint, id, 'refused', entry => {
      const request = this.requests.get(id) as ModelRequest
      this.tell(entry, this.dispatcherOf(entry).retry(request, true, this.events.now))
    })
  }

  private comeBack (endpoint: number, id: string, sign: EndpointOutcome, then: (entry: number) => void): void {
    const origin = this.back.get(id)
    if (origin === undefined) return
    const { entry, sentAt } = origin
    const load = this.loadOf(endpoint, entry)
    this.travel(entry, endpoint, () => {
      then(entry)
      this.tell(entry, this.dispatcherOf(entry).ended({ agent: String(endpoint), incarnation: '1', endpointOutcome: sign, durationMs: this.events.now - sentAt, load }, this.events.now))
    })
  }

  private end (id: string, isAnswered: boolean): void {
    const request = this.requests.get(id)
    if (request === undefined) return
    this.requests.delete(id)
    this.ended += 1
    if (!isAnswered) {
      this.rejected += 1
      return
    }
    const latency = this.events.now - request.arrivedAt
    this.latencies.push(latency)
    if (latency <= this.options.deadlineMs) this.answered.set(request.organisation, (this.answered.get(request.organisation) ?? 0) + 1)
  }

  private travel (entry: number, endpoint: number, arrive: () => void): void {
    const { ownZoneMs, otherZoneMs, jitter, loss, retransmitMs, random } = this.options
    const delay = zoneOf(entry) === zoneOf(endpoint) ? ownZoneMs : otherZoneMs
    const lost = random() < loss ? retransmitMs : 0
    this.events.after(delay * (1 + jitter * random()) + lost, arrive)
  }

  private loadOf (endpoint: number, entry: number): EndpointLoad {
    return this.gateOf(endpoint).loadFor(String(entry))
  }

  private gateOf (endpoint: number): EndpointGate {
    return this.gates[endpoint] as EndpointGate
  }

  private dispatcherOf (entry: number): Dispatcher {
    return this.dispatchers[entry] as Dispatcher
  }
}

function zoneOf (index: number): string {
  return String(index % zoneCount)
}

/** Runs the ideal: one first-come queue over all slots, without any delay. Returns latencies in milliseconds. */
export function runIdeal (options: ModelOptions): readonly number[] {
  const rate = options.traffic.reduce((sum, traffic) => sum + traffic.rate, 0)
  const free = Array.from({ length: options.endpoints * options.slots }, (_, index) => ({ endpoint: index % options.endpoints, at: 0 }))
  const latencies: number[] = []
  let at = 0
  for (let index = 0; index < options.requests; index += 1) {
    at += -Math.log(1 - options.random()) * 1000 / rate
    const slot = free.reduce((a, b) => b.at < a.at ? b : a)
    const startedAt = Math.max(at, slot.at)
    slot.at = startedAt + options.serviceMs(slot.endpoint, options.random)
    latencies.push(slot.at - at)
  }
  return latencies
}
