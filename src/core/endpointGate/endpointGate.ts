import { Failure } from '../failures'
import { RequestRecord, type EndStatus, type RequestStatus } from './requestRecord'

/** Options of an EndpointGate. */
export interface EndpointGateOptions {
  /** The maximum number of requests that the endpoint runs concurrently. */
  readonly slots: number
  /** The maximum number of requests that wait for a slot at the agent. */
  readonly queue: number
  /** How long the id of an ended request is kept, in milliseconds. */
  readonly rememberMs: number
  /** The maximum number of request ids kept; beyond it, new requests are refused. */
  readonly maximumRecords: number
}

/** A request on arrival at the agent. */
export interface ArrivingRequest {
  readonly requestId: string
  /** The entry process that sent it. */
  readonly source: string
  /** The catalogue entry that it belongs to. */
  readonly entry: string
  /** Local time by which it must have started, in milliseconds. */
  readonly deadlineAt: number
  /** The maximum number of requests of this catalogue entry that run here concurrently. */
  readonly concurrency: number
}

/** The decision about an arriving request. */
export type Arrival =
  | { readonly type: 'run' }
  | { readonly type: 'wait' }
  | { readonly type: 'refused', readonly failure: Failure }

/** The load of an endpoint, as its agent reports it to one entry process. */
export interface EndpointLoad {
  /** Requests which run or wait. */
  readonly busy: number
  /** Those of them that this entry process sent. */
  readonly yours: number
}

/**
 * Decides at the agent which requests run. Only the gate knows which slots are free,
 * and its record proves which request ids have run and which never will.
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

  /** Runs, queues or refuses a request; a refused request has not run. */
  arrive (request: ArrivingRequest, now: number): Arrival {
    const refusal = this.findRefusal(request, now)
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

  /** Ends a running request. Returns the requests that start in its place and those that waited too long. */
  finish (requestId: string, status: EndStatus, now: number): GateChange {
    const request = this.running.get(requestId)
    if (request === undefined) return noChange
    this.running.delete(requestId)
    this.addBusy(request.source, -1)
    this.addRunning(request.entry, -1)
    this.record.set(requestId, status, now)
    return this.startWaiting(now)
  }

  /** Expires waiting requests whose deadline has passed, and drops old ids. */
  tick (now: number): GateChange {
    this.record.removeOld(now)
    return this.startWaiting(now)
  }

  /**
   * Ensures that a request that has not started never will, or returns its progress. An unknown id proves that
   * the request has not run only if it was sent so recently that the record cannot have dropped the id yet.
   */
  abandon (requestId: string, now: number, sentMsAgo: number): RequestStatus {
    const status = this.record.get(requestId)
    // The sender measured the age before transmission; half of the retention time is left as a margin for the delay.
    if (status === undefined && sentMsAgo >= this.options.rememberMs / 2) return 'unknown'
    if (status === undefined) return this.record.add(requestId, 'notRun', now) ? 'notRun' : 'unknown'
    if (status !== 'waiting') return status
    this.removeWaiting(requestId)
    this.record.set(requestId, 'notRun', now)
    return 'notRun'
  }

  /** The progress of a request; undefined if its id is unknown. */
  status (requestId: string): RequestStatus | undefined {
    return this.record.get(requestId)
  }

  /** Refuses new requests from now on. Returns the ids of the waiting requests, which will not run. */
  drain (now: number): readonly string[] {
    this.draining = true
    const ids = this.waiting.map(request => request.requestId)
    for (const id of ids) this.abandon(id, now, 0)
    return ids
  }

  /** The load as reported to one entry process. */
  loadFor (source: string): EndpointLoad {
    return { busy: this.busy, yours: this.busyBySource.get(source) ?? 0 }
  }

  private findRefusal (request: ArrivingRequest, now: number): Failure | undefined {
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
    this.record.setLive(request.requestId, 'running')
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
    addCount(this.busyBySource, source, by)
  }

  private addRunning (entry: string, by: number): void {
    addCount(this.runningByEntry, entry, by)
  }
}

/** Waiting requests that start now, and those that expired without having run. */
export interface GateChange {
  readonly started: readonly string[]
  readonly expired: readonly string[]
}

const noChange: GateChange = { started: [], expired: [] }

function addCount (counts: Map<string, number>, key: string, by: number): void {
  const next = (counts.get(key) ?? 0) + by
  if (next === 0) counts.delete(key)
  else counts.set(key, next)
}
