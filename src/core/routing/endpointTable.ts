import type { EndpointLoad } from '../endpointGate'

/** The state of an endpoint as its agent announces it. */
export interface Announcement {
  readonly agent: string
  /** A new random id at each start of the agent. */
  readonly incarnation: string
  /** The address at which the agent accepts requests, as "host:port". */
  readonly address: string
  readonly zone: string
  /** The catalogue entries that the endpoint serves. */
  readonly entries: readonly string[]
  readonly slots: number
  /** The maximum number of requests that wait at the agent. */
  readonly queue: number
  readonly isDraining: boolean
  readonly load: EndpointLoad
  /** The catalogue revision that the agent enforces. */
  readonly revision: number
}

/** An endpoint as one entry process sees it, for a routing policy. */
export interface EndpointView {
  readonly agent: string
  readonly address: string
  readonly incarnation: string
  readonly zone: string
  readonly slots: number
  readonly queue: number
  /** Outstanding requests that this entry process sent to the endpoint. */
  readonly own: number
  /** Estimated number of outstanding requests from other entry processes. */
  readonly others: number
  /** One-way network delay from this entry process, in milliseconds. */
  readonly oneWayDelayMs: number
  /** Moving average of the response time, in milliseconds; undefined before the first answer. */
  readonly meanMs: number | undefined
}

/** Options of an EndpointTable. */
export interface EndpointTableOptions {
  /** An agent that has been silent for longer than this gets no requests, in milliseconds. */
  readonly deadAfterMs: number
  /** One-way network delay to an availability zone, in milliseconds. */
  readonly oneWayDelayMs: (zone: string) => number
  /** Consecutive failures after which an endpoint is ejected. */
  readonly ejectAfterFailures: number
  /** Duration of the first ejection, in milliseconds; it doubles with each further one. */
  readonly ejectMs: number
  readonly maximumEjectMs: number
}

interface EndpointState {
  announcement: Announcement
  lastHeardAt: number
  own: number
  othersReported: number
  reportedAt: number
  meanMs: number | undefined
  failures: number
  ejections: number
  ejectedUntil: number
}

/** How a request at an endpoint ended, as far as it matters for the endpoint's health. */
export type EndpointOutcome = 'answered' | 'refused' | 'failed' | 'cancelled'

/** Weight of the newest duration in the moving average. */
const meanWeight = 0.05

/** The endpoints known to one entry process: membership, load and health. */
export class EndpointTable {
  private readonly endpoints = new Map<string, EndpointState>()
  private readonly byEntry = new Map<string, Set<string>>()

  constructor (private readonly options: EndpointTableOptions) {}

  /** Records an announcement. Returns whether the endpoint is new or has restarted. */
  announce (announcement: Announcement, now: number): boolean {
    const known = this.endpoints.get(announcement.agent)
    const isNew = known === undefined || known.announcement.incarnation !== announcement.incarnation
    const state = isNew ? this.create(announcement, now) : known
    state.announcement = announcement
    state.lastHeardAt = now
    this.report(state, announcement.load, now)
    return isNew
  }

  /** Counts a request that is sent to an endpoint. */
  sent (agent: string): void {
    const state = this.endpoints.get(agent)
    if (state !== undefined) state.own += 1
  }

  /** Counts the end of a request and records the load that the answer carried. */
  ended (agent: string, incarnation: string, endpointOutcome: EndpointOutcome, durationMs: number, load: EndpointLoad | undefined, now: number): void {
    const state = this.endpoints.get(agent)
    if (state === undefined || state.announcement.incarnation !== incarnation) return
    state.own = Math.max(0, state.own - 1)
    if (load !== undefined) this.report(state, load, now)
    if (endpointOutcome === 'answered') this.succeeded(state, durationMs)
    if (endpointOutcome === 'failed') this.failed(state, now)
  }

  /** Discounts a pause of this process, in milliseconds, from the silence of all endpoints. */
  discountPause (ms: number): void {
    for (const state of this.endpoints.values()) state.lastHeardAt += ms
  }

  /** Removes endpoints that have been silent for too long. Returns the names of their agents. */
  removeDead (now: number): readonly string[] {
    const dead = [...this.endpoints].filter(([, state]) => now - state.lastHeardAt > this.options.deadAfterMs).map(([agent]) => agent)
    for (const agent of dead) this.remove(agent)
    return dead
  }

  /** The endpoints that may take a request of a catalogue entry. */
  candidates (entry: string, now: number, excluded: readonly string[] = []): readonly EndpointView[] {
    const views: EndpointView[] = []
    const average = this.averageOthers(entry)
    for (const agent of this.byEntry.get(entry) ?? []) {
      const state = this.endpoints.get(agent)
      if (state === undefined || !this.isUsable(state, now) || excluded.includes(agent)) continue
      views.push(this.view(state, average, now))
    }
    return views
  }

  /** The mean response time over the endpoints of a catalogue entry, in milliseconds; 0 before the first answer. */
  meanMs (entry: string): number {
    let sum = 0
    let count = 0
    for (const agent of this.byEntry.get(entry) ?? []) {
      const meanMs = this.endpoints.get(agent)?.meanMs
      if (meanMs === undefined) continue
      sum += meanMs
      count += 1
    }
    return count === 0 ? 0 : sum / count
  }

  /** The newest announcement of an agent; undefined if the agent is unknown. */
  find (agent: string): Announcement | undefined {
    return this.endpoints.get(agent)?.announcement
  }

  /** The newest announcements of all known agents. */
  agents (): readonly Announcement[] {
    return [...this.endpoints.values()].map(state => state.announcement)
  }

  private create (announcement: Announcement, now: number): EndpointState {
    this.remove(announcement.agent)
    const state: EndpointState = {
      announcement,
      lastHeardAt: now,
      own: 0,
      othersReported: 0,
      reportedAt: now,
      meanMs: undefined,
      failures: 0,
      ejections: 0,
      ejectedUntil: 0
    }
    this.endpoints.set(announcement.agent, state)
    for (const entry of announcement.entries) {
      const agents = this.byEntry.get(entry) ?? new Set()
      this.byEntry.set(entry, agents.add(announcement.agent))
    }
    return state
  }

  private remove (agent: string): void {
    this.endpoints.delete(agent)
    for (const [entry, agents] of this.byEntry) {
      agents.delete(agent)
      if (agents.size === 0) this.byEntry.delete(entry)
    }
  }

  private report (state: EndpointState, load: EndpointLoad, now: number): void {
    state.othersReported = Math.max(0, load.busy - load.yours)
    state.reportedAt = now
  }

  private succeeded (state: EndpointState, durationMs: number): void {
    state.failures = 0
    state.ejections = 0
    state.meanMs = state.meanMs === undefined ? durationMs : state.meanMs + meanWeight * (durationMs - state.meanMs)
  }

  private failed (state: EndpointState, now: number): void {
    state.failures += 1
    if (state.failures < this.options.ejectAfterFailures) return
    const ejectMs = Math.min(this.options.maximumEjectMs, this.options.ejectMs * 2 ** state.ejections)
    state.ejectedUntil = now + ejectMs
    state.ejections += 1
    state.failures = 0
  }

  private isUsable (state: EndpointState, now: number): boolean {
    return !state.announcement.isDraining &&
      now - state.lastHeardAt <= this.options.deadAfterMs &&
      state.ejectedUntil <= now
  }

  private averageOthers (entry: string): number {
    let sum = 0
    let count = 0
    for (const agent of this.byEntry.get(entry) ?? []) {
      sum += this.endpoints.get(agent)?.othersReported ?? 0
      count += 1
    }
    return count === 0 ? 0 : sum / count
  }

  /** The load of other entry processes decays from the last report towards the average over the endpoints, as the report ages. */
  private view (state: EndpointState, average: number, now: number): EndpointView {
    const age = now - state.reportedAt
    const decay = Math.exp(-age / Math.max(1, state.meanMs ?? 1))
    return {
      agent: state.announcement.agent,
      address: state.announcement.address,
      incarnation: state.announcement.incarnation,
      zone: state.announcement.zone,
      slots: state.announcement.slots,
      queue: state.announcement.queue,
      own: state.own,
      others: average + (state.othersReported - average) * decay,
      oneWayDelayMs: this.options.oneWayDelayMs(state.announcement.zone),
      meanMs: state.meanMs
    }
  }
}
