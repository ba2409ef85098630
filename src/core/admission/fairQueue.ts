/** Priority class of a request: latency-critical requests are dispatched before batch requests. */
export type Priority = 'latency' | 'batch'

/** A request that waits for an endpoint. */
export interface QueuedRequest {
  readonly id: string
  readonly entry: string
  readonly organisation: string
  readonly priority: Priority
  /** Local time by which it must be dispatched, in milliseconds. */
  readonly deadlineAt: number
  /** The maximum number of queued requests of its catalogue entry. */
  readonly queueLimit: number
}

/** The result of adding a request to the queue. */
export interface EnqueueResult {
  /** The request that was shed, possibly the new one; undefined if there was room. */
  readonly shed: QueuedRequest | undefined
}

interface Flow {
  readonly organisation: string
  readonly entry: string
  readonly priority: Priority
  readonly requests: QueuedRequest[]
}

/**
 * The bounded queue of an entry process, by weighted fair queueing. Latency-critical requests go first, organisations
 * share by weight, and the requests of a catalogue entry go by deadline. A full queue sheds batch requests
 * first, and among several entries from the organisation with the largest backlog for its weight, the latest deadline first.
 */
export class FairQueue {
  private readonly flows = new Map<string, Flow>()
  private readonly virtualFinishTimes = new Map<string, number>()
  private virtualTime = 0
  private length = 0

  constructor (private readonly capacity: number, private readonly weightOf: (organisation: string) => number = () => 1) {}

  get size (): number {
    return this.length
  }

  /** The number of queued requests of a catalogue entry. */
  sizeOf (entry: string): number {
    let size = 0
    for (const flow of this.flows.values()) if (flow.entry === entry) size += flow.requests.length
    return size
  }

  /** The number of requests expected to be dispatched before a new one of this organisation; other organisations count only up to their share. */
  countAhead (organisation: string, priority: Priority): number {
    const own = this.backlog(organisation, priority) + 1
    let ahead = own - 1
    const organisations = new Set([...this.flows.values()].map(flow => flow.organisation))
    for (const other of organisations) {
      if (priority === 'batch') ahead += this.backlog(other, 'latency')
      if (other === organisation) continue
      const share = own * this.weightOf(other) / this.weightOf(organisation)
      ahead += Math.min(this.backlog(other, priority), share)
    }
    return ahead
  }

  /** Adds a request; at the limit of the entry or the queue, one request is shed. */
  add (request: QueuedRequest): EnqueueResult {
    if (this.sizeOf(request.entry) >= request.queueLimit) return this.displaceBatch(request)
    this.insert(request)
    if (this.length <= this.capacity) return { shed: undefined }
    return { shed: this.shedRequest() }
  }

  /** Removes a queued request; returns undefined if it is not queued. */
  remove (id: string): QueuedRequest | undefined {
    for (const flow of this.flows.values()) {
      const position = flow.requests.findIndex(request => request.id === id)
      if (position === -1) continue
      const [removed] = flow.requests.splice(position, 1)
      this.length -= 1
      this.removeIfEmpty(flow)
      return removed
    }
    return undefined
  }

  /** Removes requests that can no longer be answered within their deadline, given the time in milliseconds that an answer takes. */
  removeExpired (now: number, answerMs: (entry: string) => number): readonly QueuedRequest[] {
    const expired: QueuedRequest[] = []
    for (const flow of [...this.flows.values()]) {
      const latest = now + answerMs(flow.entry)
      while (flow.requests[0] !== undefined && flow.requests[0].deadlineAt <= latest) expired.push(this.removeFirst(flow))
    }
    return expired
  }

  /** Removes and returns the first request in fair order for which `choose` returns a value. */
  takeFirst<Chosen> (choose: (request: QueuedRequest) => Chosen | undefined): { readonly request: QueuedRequest, readonly chosen: Chosen } | undefined {
    for (const flow of this.flowsInOrder()) {
      const head = flow.requests[0]
      if (head === undefined) continue
      const chosen = choose(head)
      if (chosen === undefined) continue
      const request = this.removeFirst(flow)
      this.chargeOrganisation(flow.organisation)
      return { request, chosen }
    }
    return undefined
  }

  private insert (request: QueuedRequest): void {
    const key = `${request.priority} ${request.entry}`
    const flow = this.flows.get(key) ?? { organisation: request.organisation, entry: request.entry, priority: request.priority, requests: [] }
    this.flows.set(key, flow)
    let position = flow.requests.length
    while (position > 0 && (flow.requests[position - 1]?.deadlineAt ?? 0) > request.deadlineAt) position -= 1
    flow.requests.splice(position, 0, request)
    this.length += 1
  }

  /** At the limit of a catalogue entry, a latency-critical request displaces a batch request of the entry; a batch request is shed. */
  private displaceBatch (request: QueuedRequest): EnqueueResult {
    const batch = this.flows.get(`batch ${request.entry}`)
    if (request.priority === 'batch' || batch === undefined) return { shed: request }
    const shed = this.removeLast(batch)
    this.insert(request)
    return { shed }
  }

  private shedRequest (): QueuedRequest | undefined {
    const flows = [...this.flows.values()]
    const batch = flows.filter(flow => flow.priority === 'batch')
    const pool = batch.length > 0 ? batch : flows
    const excess = (flow: Flow): number => this.backlog(flow.organisation) / this.weightOf(flow.organisation)
    const worst = pool.reduce((a, b) => excess(b) > excess(a) ? b : a)
    return this.removeLast(worst)
  }

  private backlog (organisation: string, priority?: Priority): number {
    let size = 0
    for (const flow of this.flows.values()) {
      if (flow.organisation === organisation && (priority === undefined || flow.priority === priority)) size += flow.requests.length
    }
    return size
  }

  private flowsInOrder (): readonly Flow[] {
    const flows = [...this.flows.values()]
    if (flows.length < 2) return flows
    return flows.sort((a, b) => rank(a) - rank(b) || this.computeVirtualStart(a.organisation) - this.computeVirtualStart(b.organisation))
  }

  /** An idle organisation resumes at the current virtual time, so that it gains no credit while idle. */
  private computeVirtualStart (organisation: string): number {
    return Math.max(this.virtualFinishTimes.get(organisation) ?? 0, this.virtualTime)
  }

  private chargeOrganisation (organisation: string): void {
    const start = this.computeVirtualStart(organisation)
    this.virtualFinishTimes.set(organisation, start + 1 / this.weightOf(organisation))
    const active = [...this.flows.values()].map(flow => this.virtualFinishTimes.get(flow.organisation) ?? 0)
    if (active.length > 0) this.virtualTime = Math.max(this.virtualTime, Math.min(...active))
  }

  private removeFirst (flow: Flow): QueuedRequest {
    const request = flow.requests.shift() as QueuedRequest
    this.length -= 1
    this.removeIfEmpty(flow)
    return request
  }

  private removeLast (flow: Flow): QueuedRequest | undefined {
    const request = flow.requests.pop()
    this.length -= 1
    this.removeIfEmpty(flow)
    return request
  }

  private removeIfEmpty (flow: Flow): void {
    if (flow.requests.length === 0) this.flows.delete(`${flow.priority} ${flow.entry}`)
  }
}

function rank (flow: Flow): number {
  return flow.priority === 'latency' ? 0 : 1
}
