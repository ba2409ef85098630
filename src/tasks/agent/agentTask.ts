import { CatalogueReplica, type CatalogueUpdate } from '../../core/catalogue'
import { EndpointGate, type EndpointGateOptions, type EndpointLoad, type GateChange, type RequestStatus } from '../../core/endpointGate'
import { Failure } from '../../core/failures'
import type { Announcement } from '../../core/routing'
import { Mailbox, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'
import type { AgentMessage, ForwardedRequest, RequestListener } from './agentMessage'

/** Options of an AgentTask. Times are in milliseconds. */
export interface AgentTaskOptions {
  readonly name: string
  readonly incarnation: string
  readonly address: string
  readonly zone: string
  /** The catalogue entries that the endpoint serves. */
  readonly entries: readonly string[]
  readonly gate: EndpointGateOptions
  readonly catalogueLeaseMs: number
  readonly now: () => number
  /** Called when an entry process has a newer catalogue revision. */
  readonly onStaleCatalogue: () => void
}

/** A request that waits because its sender has a newer version of its catalogue entry. */
interface DeferredRequest {
  readonly request: ForwardedRequest
  readonly listener: RequestListener
  readonly since: number
}

/** How long a request waits for the catalogue version of its sender before it is decided without it. */
const maximumDeferralMs = 500

/** The interval at which deferred requests and the deadlines of waiting requests are checked. */
const tickMs = 50

/** The task that owns an agent's endpoint gate and catalogue replica and serialises access to them. */
export class AgentTask {
  readonly mailbox = new Mailbox<AgentMessage>('agent')
  private readonly gate: EndpointGate
  private readonly catalogue: CatalogueReplica
  private readonly listeners = new Map<string, RequestListener>()
  private readonly ticker: Timer
  private deferred: DeferredRequest[] = []
  private onDrained: (() => void) | undefined

  constructor (private readonly options: AgentTaskOptions) {
    this.gate = new EndpointGate(options.gate)
    this.catalogue = new CatalogueReplica({ leaseMs: options.catalogueLeaseMs })
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  /** The catalogue revision that this agent enforces. */
  get revision (): number {
    return this.catalogue.revision
  }

  /** The organisation that owns a catalogue entry; undefined for an unknown entry. */
  organisationOf (entry: string): string | undefined {
    return this.catalogue.find(entry)?.organisation
  }

  /** The load as seen by one entry process; read directly and not through the mailbox, so that answers do not wait for it. */
  loadFor (source: string): EndpointLoad {
    return this.gate.loadFor(source)
  }

  private * run (): TaskBody {
    for (;;) {
      const message = yield * this.mailbox.take()
      if (message === undefined) return
      this.handle(message, this.options.now())
    }
  }

  private handle (message: AgentMessage, now: number): void {
    switch (message.type) {
      case 'arrive': return this.arrive(message.request, message.listener, now)
      case 'finish': return this.finish(message.requestId, this.gate.finish(message.requestId, message.status, now))
      case 'abandon': return message.reply(this.abandon(message.requestId, message.incarnation, message.sentMsAgo, now))
      case 'status': return message.reply(this.status(message.requestId, message.incarnation))
      case 'update': return this.update(message.update, now)
      case 'confirm': return this.confirm(message.revision, message.ageMs, now)
      case 'announcement': return message.reply(this.announcement(message.source))
      case 'tick': return this.tick(now)
      case 'drain': return this.drain(message.reply, now)
      case 'stop':
        this.ticker.stop()
        this.mailbox.close()
    }
  }

  private arrive (request: ForwardedRequest, listener: RequestListener, now: number): void {
    this.confirm(request.revision, request.revisionAgeMs, now)
    if (request.entryVersion > this.catalogue.versionOf(request.entry)) {
      this.deferred.push({ request, listener, since: now })
      return
    }
    this.decide(request, listener, now)
  }

  private decide (request: ForwardedRequest, listener: RequestListener, now: number): void {
    const failure = this.findRefusal(request, now)
    if (failure !== undefined) return listener.decided({ type: 'refused', failure })
    const concurrency = this.catalogue.find(request.entry)?.limits.concurrency ?? 0
    const arrival = this.gate.arrive({ ...request, concurrency }, now)
    if (arrival.type === 'wait') this.listeners.set(request.requestId, listener)
    listener.decided(arrival)
  }

  private update (update: CatalogueUpdate, now: number): void {
    this.catalogue.apply(update, now)
    this.decideDeferred(now, deferred => deferred.request.entryVersion <= this.catalogue.versionOf(deferred.request.entry))
  }

  private tick (now: number): void {
    this.decideDeferred(now, deferred => now - deferred.since >= maximumDeferralMs)
    this.notify(this.gate.tick(now))
  }

  private decideDeferred (now: number, isDue: (deferred: DeferredRequest) => boolean): void {
    if (this.deferred.length === 0) return
    const due = this.deferred.filter(isDue)
    this.deferred = this.deferred.filter(deferred => !due.includes(deferred))
    for (const { request, listener } of due) this.decide(request, listener, now)
  }

  private findRefusal (request: ForwardedRequest, now: number): Failure | undefined {
    if (request.incarnation !== this.options.incarnation) {
      return new Failure('agent/wrong-incarnation', { expected: this.options.incarnation, got: request.incarnation })
    }
    const version = this.catalogue.versionOf(request.entry)
    if (!this.catalogue.isFresh(now) || version !== request.entryVersion) {
      return new Failure('request/stale-catalogue', { subject: request.entry, expected: `version ${version}`, got: `version ${request.entryVersion}` })
    }
    if (this.catalogue.find(request.entry) === undefined || !this.options.entries.includes(request.entry)) {
      return new Failure('request/unknown-entry', { subject: request.entry })
    }
    return undefined
  }

  private confirm (revision: number, ageMs: number, now: number): void {
    this.catalogue.confirm(revision, ageMs, now)
    if (revision > this.catalogue.revision) this.options.onStaleCatalogue()
  }

  private finish (requestId: string, change: GateChange): void {
    this.listeners.delete(requestId)
    this.notify(change)
    this.notifyIfDrained()
  }

  private notify (change: GateChange): void {
    for (const id of change.started) this.takeListener(id)?.started()
    for (const id of change.expired) this.takeListener(id)?.expired()
  }

  private takeListener (requestId: string): RequestListener | undefined {
    const listener = this.listeners.get(requestId)
    this.listeners.delete(requestId)
    return listener
  }

  private abandon (requestId: string, incarnation: string, sentMsAgo: number, now: number): RequestStatus {
    if (incarnation !== this.options.incarnation) return 'unknown'
    const status = this.gate.abandon(requestId, now, sentMsAgo)
    if (status === 'notRun') this.takeListener(requestId)?.expired()
    return status
  }

  private status (requestId: string, incarnation: string): RequestStatus {
    if (incarnation !== this.options.incarnation) return 'unknown'
    return this.gate.status(requestId) ?? 'unknown'
  }

  private announcement (source: string): Announcement {
    return {
      agent: this.options.name,
      incarnation: this.options.incarnation,
      address: this.options.address,
      zone: this.options.zone,
      entries: this.options.entries,
      slots: this.options.gate.slots,
      queue: this.options.gate.queue,
      isDraining: this.gate.isDraining,
      load: this.gate.loadFor(source),
      revision: this.catalogue.revision
    }
  }

  private drain (reply: () => void, now: number): void {
    this.onDrained = reply
    this.notify({ started: [], expired: this.gate.drain(now) })
    this.notifyIfDrained()
  }

  private notifyIfDrained (): void {
    if (this.onDrained === undefined || this.gate.busy > 0) return
    this.onDrained()
    this.onDrained = undefined
  }
}
