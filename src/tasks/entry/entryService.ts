import type { RetryBudgetOptions } from '../../core/admission'
import type { CatalogueUpdate } from '../../core/catalogue'
import type { Announcement, EndpointTableOptions, RoutingPolicy } from '../../core/routing'
import { Failure } from '../../core/failures'
import { Histograms, type Logger, type Metrics } from '../../observability'
import { ConnectionPool, createPeerHandler, formatAddress, openListener, peerListenerBounds, type Address, type Listener } from '../../transport'
import { createControlClient, type ControlClient } from '../control'
import { AgentClient } from './agentClient'
import { CallerHandler } from './callerHandler'
import { CatalogueTask } from './catalogueTask'
import { DispatchTask } from './dispatchTask'
import type { EntryContext, ExchangeBounds } from './entryContext'
import { createEntryRouter, type AnnouncementReply } from './entryRouter'
import { OperatorHandler } from './operatorHandler'

/** Options of an entry process. Times are in milliseconds. */
export interface EntryOptions {
  readonly name: string
  /** The listening address for callers. */
  readonly callers: Address
  /** The listening address for operators. */
  readonly operators: Address
  /** The listening address for agents. */
  readonly peers: Address
  readonly controlMembers: ReadonlyMap<string, Address>
  readonly peerKey: string
  readonly operatorToken: string
  readonly routing: RoutingPolicy
  readonly table: EndpointTableOptions
  readonly queueCapacity: number
  readonly retries: RetryBudgetOptions
  readonly weightOf: (organisation: string) => number
  readonly bounds: ExchangeBounds
  readonly maximumCallerConnections: number
  readonly maximumHeaderBytes: number
  readonly headersTimeoutMs: number
  readonly callerKeepAliveMs: number
  readonly callTimeoutMs: number
  readonly controlTimeoutMs: number
  readonly idleConnectionMs: number
  readonly catalogueLeaseMs: number
  /** How long the readiness check fails before the listener for callers is drained. */
  readonly readinessMs: number
  readonly random: () => number
  readonly now: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}

/** A running entry process; the addresses are those that it actually listens on. */
export interface Entry {
  readonly callers: Address
  readonly operators: Address
  readonly peers: Address
  readonly histograms: Histograms
  isReady (): boolean
  /** The latest announcement of each known agent. */
  agents (): readonly Announcement[]
  /** Makes the readiness check fail, finishes the requests in flight, then stops. */
  drain (): Promise<void>
  /** Stops immediately and drops all connections, as a crash would. */
  kill (): void
}

/** The limit per control replica, where the claims of many callers wait at the same time. */
const controlConnections = 64
const agentConnections = 256

/** Starts an entry process; resolves once it listens on all its addresses. */
export async function createEntry (options: EntryOptions): Promise<Entry> {
  const service = new EntryService(options, await Histograms.create())
  await service.start()
  return service
}

class EntryService implements Entry {
  private readonly pool: ConnectionPool
  private readonly dispatch: DispatchTask
  private readonly agentClient: AgentClient
  private readonly control: ControlClient
  private readonly catalogue: CatalogueTask
  private readonly listeners: Listener[] = []
  private handler: CallerHandler | undefined

  constructor (private readonly options: EntryOptions, readonly histograms: Histograms) {
    this.pool = new ConnectionPool({ idleMs: options.idleConnectionMs, maximumPerAddress: controlConnections })
    this.dispatch = new DispatchTask({ dispatcher: options, now: options.now })
    this.agentClient = new AgentClient({ ...options, maximumConnections: agentConnections })
    this.control = createControlClient({
      members: options.controlMembers,
      pool: this.pool,
      peerKey: options.peerKey,
      callTimeoutMs: options.callTimeoutMs,
      totalTimeoutMs: options.controlTimeoutMs,
      now: options.now
    })
    this.catalogue = new CatalogueTask({
      name: options.name,
      control: this.control,
      leaseMs: options.catalogueLeaseMs,
      agents: () => this.dispatch.agents(),
      now: options.now,
      logger: options.logger
    })
  }

  get callers (): Address { return this.addressOf(0) }

  get operators (): Address { return this.addressOf(1) }

  get peers (): Address { return this.addressOf(2) }

  isReady (): boolean { return this.handler?.isReady ?? false }

  agents (): readonly Announcement[] { return this.dispatch.agents() }

  async start (): Promise<void> {
    const { options } = this
    const peers = await openListener({
      ...peerListenerBounds,
      address: options.peers,
      handle: createPeerHandler({
        peerKey: options.peerKey,
        router: createEntryRouter({
          announce: announcement => this.announce(announcement),
          catalogueSince: revision => this.catalogueSince(revision)
        }),
        fallback: (_request, response) => { response.writeHead(404).end() }
      })
    })
    const context = this.createContext(formatAddress(peers.address))
    const handler = new CallerHandler(context)
    const operators = new OperatorHandler(context, options.operatorToken)
    this.handler = handler
    this.listeners.push(await this.listen(options.callers, (request, response) => handler.handle(request, response)))
    this.listeners.push(await this.listen(options.operators, (request, response) => operators.handle(request, response)))
    this.listeners.push(peers)
    options.logger.info('entry_started', { callers: formatAddress(this.callers), operators: formatAddress(this.operators), peers: formatAddress(this.peers) })
  }

  async drain (): Promise<void> {
    this.options.logger.info('entry_draining')
    this.handler?.startDraining()
    await new Promise(resolve => setTimeout(resolve, this.options.readinessMs))
    await this.listeners[0]?.drain()
    this.stop()
    this.options.logger.info('entry_stopped')
  }

  kill (): void {
    this.stop()
  }

  private announce (announcement: Announcement): AnnouncementReply {
    const { catalogue } = this.catalogue
    const now = this.options.now()
    this.dispatch.mailbox.post({ type: 'announce', announcement })
    return { revision: catalogue.revision, ageMs: toFiniteAge(catalogue.ageMs(now)) }
  }

  private catalogueSince (revision: number): CatalogueUpdate {
    const update = this.catalogue.catalogue.since(revision, this.options.now())
    return { ...update, ageMs: toFiniteAge(update.ageMs) }
  }

  private createContext (source: string): EntryContext {
    return {
      source,
      dispatch: this.dispatch,
      agents: this.agentClient,
      control: this.control,
      catalogue: this.catalogue,
      bounds: this.options.bounds,
      histograms: this.histograms,
      metrics: this.options.metrics,
      logger: this.options.logger,
      now: this.options.now
    }
  }

  private async listen (address: Address, handle: Parameters<typeof openListener>[0]['handle']): Promise<Listener> {
    return await openListener({
      address,
      handle,
      maximumConnections: this.options.maximumCallerConnections,
      maximumHeaderBytes: this.options.maximumHeaderBytes,
      headersTimeoutMs: this.options.headersTimeoutMs,
      keepAliveMs: this.options.callerKeepAliveMs
    })
  }

  private addressOf (position: number): Address {
    const listener = this.listeners[position]
    if (listener === undefined) throw new Failure('request/draining')
    return listener.address
  }

  private stop (): void {
    this.handler?.stop()
    this.catalogue.stop()
    this.control.close()
    this.dispatch.mailbox.post({ type: 'stop' })
    for (const listener of this.listeners) listener.destroy()
    this.agentClient.close()
    this.pool.close()
  }
}

/** Makes an age representable in JSON; it is infinite in a process that has never reached the control group. */
function toFiniteAge (ageMs: number): number {
  return Number.isFinite(ageMs) ? ageMs : Number.MAX_SAFE_INTEGER
}
