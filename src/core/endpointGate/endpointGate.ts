import { Failure } from '../failures'
import { RequestRecord, type EndStatus, type RequestStatus } from './requestRecord'

/** Options of an endpoint gate. */
export interface EndpointGateOptions {
  /** Requests which the endpoint runs at once. */
  readonly slots: number
  /** Requests which may wait for a slot here. */
  readonly queue: number
  /** How long the id of an ended request is remembered, in milliseconds. */
  readonly rememberMs: number
  /** Request ids which are remembered at most; past it new requests are refused. */
  readonly maximumRecords: number
}

/** A request as it arrives at the agent. */
export interface ArrivingRequest {
  readonly requestId: string
  /** The entry process which sent it. */
  readonly source: string
  /** The catalogue entry which it belongs to. */
  readonly entry: string
  /** Local time by which it must have started, in milliseconds. */
  readonly deadlineAt: number
  /** Requests of this catalogue entry which may run here at once. */
  readonly concurrency: number
}

/** What becomes of an arriving request. */
export type Arrival =
  | { readonly type: 'run' }
  | { readonly type: 'wait' }
  | { readonly type: 'refused', readonly failure: Failure }

/** How busy the endpoint is, as its agent reports it. */
export interface EndpointLoad {
  /** Requests which run or wait. */
  readonly busy: number
  /** Those among them which one entry process sent. */
  readonly yours: number
}

/**
 * Decides at the agent which requests run. It alone knows the slots,
 * and its record proves which request ids ran and which never will.
 */
export class EndpointGate {
  private readonly record: RequestRecord
  private readonly running = new Map<string, ArrivingRequest>()
  private waiting: ArrivingRequest[] = []
  private readonly busyBySource = new Map<string, number>()
  private readonly runningByEntry = new Map<string, number>()
  private draining = false

  constructor (private readonly options: EndpointGateOptions) {
    this.record = new RequestRecord(options.maximumRecords, options.rememberMs)
  }

  /** Requests which run or wait. */
  get busy (): number {
    return this.running.size + this.waiting.length
  }

  get isDraining (): boolean {
    return this.draining
  }

  /** Takes a request in, or refuses it as not run. */
  arrive (request: ArrivingRequest, now: number): Arrival {
    const refusal = this.refuse(request, now)
    if (refusal !== undefined) return { type: 'refused', failure: refusal }
    this.addBusy(request.source, 1)
    if (this.canRun(request)) {
      this.run(request)
      return { type: 'run' }
    }
    this.record.set(request.requestId, 'waiting', now)
    this.enqueue(request)
    return { type: 'wait' }
  }

  /** Ends a running request. Returns what starts in its place and what waited too long. */
  finish (requestId: string, status: EndStatus, now: number): GateChange {
    const request = this.running.get(requestId)
    if (request === undefined) return noChange
    this.running.delete(requestId)
    this.addBusy(request.source, -1)
    this.addRunning(request.entry, -1)
    this.record.set(requestId, status, now)
    return this.startWaiting(now)
  }

  /** Gives up waiting requests whose deadline has passed. */
  tick (now: number): GateChange {
    this.record.forgetOld(now)
    return this.startWaiting(now)
  }

  /**
   * Makes sure that a request which has not started never will, or says how far it got.
   * An id which is not known was not run only if it can't be forgotten yet: if it was sent lately.
   */
  abandon (requestId: string, now: number, sentMsAgo: number): RequestStatus {
    const status = this.record.get(requestId)
    // The age is measured elsewhere and is older on arrival; half of the time is left for that.
    if (status === undefined && sentMsAgo >= this.options.rememberMs / 2) return 'unknown'
    if (status === undefined) return this.record.add(requestId, 'notRun', now) ? 'notRun' : 'unknown'
    if (status !== 'waiting') return status
    this.removeWaiting(requestId)
    this.record.set(requestId, 'notRun', now)
    return 'notRun'
  }

  /** How far a request got; undefined if its id is not known. */
  status (requestId: string): RequestStatus | undefined {
    return this.record.get(requestId)
  }

  /** Refuses new requests from now on; waiting ones are given back as not run. */
  drain (now: number): readonly string[] {
    this.draining = true
    const ids = this.waiting.map(request => request.requestId)
    for (const id of ids) this.abandon(id, now, 0)
    return ids
  }

  /** The load as one entry process should see it. */
  loadFor (source: string): EndpointLoad {
    return { busy: this.busy, yours: this.busyBySource.get(source) ?? 0 }
  }

  private refuse (request: ArrivingRequest, now: number): Failure | undefined {
    if (this.draining) return new Failure('request/draining')
    const known = this.record.get(request.requestId)
    if (known === 'notRun') return new Failure('agent/abandoned', { subject: request.requestId })
    if (known !== undefined) return new Failure('agent/duplicate', { subject: request.requestId, got: known })
    if (request.deadlineAt <= now) return new Failure('request/deadline')
    if (this.record.isFull) return new Failure('agent/record-full')
    if (!this.canRun(request) && this.waiting.length >= this.options.queue) return new Failure('agent/no-slot')
    return undefined
  }

  private canRun (request: ArrivingRequest): boolean {
    const limit = Math.min(this.options.slots, request.concurrency)
    return this.running.size < this.options.slots && (this.runningByEntry.get(request.entry) ?? 0) < limit
  }

  private run (request: ArrivingRequest): void {
    this.running.set(request.requestId, request)
    this.addRunning(request.entry, 1)
    this.record.setOrAdd(request.requestId, 'running')
  }

  private enqueue (request: ArrivingRequest): void {
    const position = this.waiting.findIndex(other => other.deadlineAt > request.deadlineAt)
    this.waiting.splice(position === -1 ? this.waiting.length : position, 0, request)
  }

  private startWaiting (now: number): GateChange {
    const expired = this.waiting.filter(request => request.deadlineAt <= now).map(request => request.requestId)
    for (const id of expired) this.abandon(id, now, 0)
    const started: string[] = []
    for (const request of [...this.waiting]) {
      if (!this.canRun(request)) continue
      this.waiting = this.waiting.filter(other => other !== request)
      this.run(request)
      started.push(request.requestId)
    }
    return { started, expired }
  }

  private removeWaiting (requestId: string): void {
    const request = this.waiting.find(other => other.requestId === requestId)
    if (request === undefined) return
    this.waiting = this.waiting.filter(other => other !== request)
    this.addBusy(request.source, -1)
  }

  private addBusy (source: string, by: number): void {
    addTo(this.busyBySource, source, by)
  }

  private addRunning (entry: string, by: number): void {
    addTo(this.runningByEntry, entry, by)
  }
}

/** Waiting requests which start now, and those which are given up as not run. */
export interface GateChange {
  readonly started: readonly string[]
  readonly expired: readonly string[]
}

const noChange: GateChange = { started: [], expired: [] }

function addTo (counts: Map<string, number>, key: string, by: number): void {
  const next = (counts.get(key) ?? 0) + by
  if (next === 0) counts.delete(key)
  else counts.set(key, next)
}
