import type { Logger } from '../../observability'
import { createStreamHandler, formatAddress, openListener, peerListenerBounds, type Address, type Listener, type MessageStream, type StreamBounds } from '../../transport'
import { ControlLink } from './controlLink'
import { decodeClientMessage } from './controlCodec'
import type { ClientMessage, ControlReply, Directory } from './controlProtocol'
import { ReplicaLinks } from './replicaLinks'

/** Options of a relay, which serves control on a VM without a disk. */
export interface ControlRelayOptions {
  /** Where other processes reach this relay; also its name. */
  readonly listen: Address
  /** Addresses of replicas and relays. */
  readonly seeds: readonly string[]
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean
  readonly bounds: StreamBounds
  readonly logger: Logger
}

/** A running relay: it tells other processes the address of the leader and keeps no log. */
export interface ControlRelay {
  /** The address of the leader, if known. */
  readonly leader: string | undefined
  /** Replaces the addresses at which the group is looked for. */
  reseed (seeds: readonly string[]): void
  stop (): void
}

/** Starts a relay; rejects with a `Failure`. */
export async function createControlRelay (options: ControlRelayOptions): Promise<ControlRelay> {
  const service = new ControlRelayService(options)
  await service.start()
  return service
}

type ClientStream = MessageStream<ClientMessage, ControlReply>

/** Interval in milliseconds at which unreachable seeds are tried again; the same as that at which replicas look for their group. */
const discoveryIntervalMs = 250

class ControlRelayService implements ControlRelay {
  private readonly name: string
  private readonly link: ControlLink
  private readonly links: ReplicaLinks
  private readonly streams = new Set<ClientStream>()
  /** Replicas that have opened a stream to this relay, in order of arrival. */
  private readonly replicas = new Map<ClientStream, string>()
  /** Seeds known to keep no log, including this relay. */
  private readonly relays: Set<string>
  private founder: string | undefined
  private seeds: readonly string[]
  private listener: Listener | undefined
  private discoveryTimer: NodeJS.Timeout | undefined

  constructor (private readonly options: ControlRelayOptions) {
    this.name = formatAddress(options.listen)
    this.seeds = options.seeds
    this.relays = new Set([this.name])
    this.links = new ReplicaLinks({
      self: this.name,
      role: 'relay',
      bounds: options.bounds,
      logger: options.logger,
      onDirectory: (directory, from) => {
        if (directory.keepsLog) return
        this.relays.add(from)
        this.chooseFounder()
      }
    })
    this.link = new ControlLink({
      role: 'relay',
      name: this.name,
      seeds: this.withoutSelf(options.seeds),
      bounds: options.bounds,
      logger: options.logger,
      onOpen: () => this.sendDirectoryToReplicas(),
      onMessage: () => {},
      onLost: () => this.sendDirectoryToReplicas()
    })
  }

  get leader (): string | undefined { return this.link.leader }

  async start (): Promise<void> {
    this.listener = await openListener({
      address: this.options.listen,
      handle: createStreamHandler<ClientMessage, ControlReply>(this.options.bounds, decodeClientMessage, stream => this.accept(stream)),
      ...peerListenerBounds
    })
    if (this.options.isFirstStart) this.discoveryTimer = setInterval(() => this.connectSeeds(), discoveryIntervalMs)
    this.link.start()
    this.options.logger.info('control_relay_started', { address: this.name, reason: 'no data folder' })
  }

  reseed (seeds: readonly string[]): void {
    this.seeds = seeds
    this.reseedLink()
  }

  stop (): void {
    clearInterval(this.discoveryTimer)
    this.links.stop()
    this.link.stop()
    for (const stream of [...this.streams]) stream.close()
    this.listener?.destroy()
  }

  private accept (stream: ClientStream): void {
    this.streams.add(stream)
    let peer = ''
    stream.listen({
      onMessage: message => {
        if (message.type !== 'hello') return
        peer = message.name
        this.handleHello(stream, message.role, message.name)
      },
      onEnd: reason => {
        if (reason === 'malformed') this.options.logger.warn('stream_malformed', { peer })
        this.streams.delete(stream)
        if (this.replicas.delete(stream)) this.reseedLink()
      }
    })
  }

  private handleHello (stream: ClientStream, role: string, name: string): void {
    if (role === 'replica') {
      this.replicas.set(stream, name)
      this.chooseFounder()
      this.reseedLink()
      this.sendDirectoryToReplicas()
    } else {
      stream.send(this.directory())
    }
  }

  /** Until a leader is found, asks the seeds which of them keep the log. */
  private connectSeeds (): void {
    if (this.link.isOpen) {
      clearInterval(this.discoveryTimer)
      this.links.stop()
      return
    }
    for (const seed of this.withoutSelf(this.seeds)) this.links.connect(seed)
  }

  /**
   * Chooses the replica that founds the group if no seed keeps the log, as then no replica can decide this itself. Only
   * the first seed by name chooses, once, and only at the first start of the whole system.
   */
  private chooseFounder (): void {
    const [first] = [...this.options.seeds].sort()
    const isChosenHere = this.options.isFirstStart && first === this.name && this.options.seeds.every(seed => this.relays.has(seed))
    if (!isChosenHere || this.founder !== undefined || this.link.isOpen) return
    this.founder = [...this.replicas.values()][0]
    if (this.founder === undefined) return
    this.options.logger.info('founder_chosen', { founder: this.founder, seeds: this.options.seeds.join(',') })
    this.sendDirectoryToReplicas()
  }

  private reseedLink (): void {
    this.link.reseed(this.withoutSelf([...this.seeds, ...this.replicas.values()]))
  }

  private sendDirectoryToReplicas (): void {
    for (const stream of this.replicas.keys()) stream.send(this.directory())
  }

  private directory (): Directory {
    return {
      type: 'directory',
      isLeading: false,
      term: 0,
      leader: this.leader,
      members: [...new Set([...this.link.knownMembers, ...this.replicas.values()])],
      keepsLog: false,
      founder: this.founder
    }
  }

  private withoutSelf (names: readonly string[]): readonly string[] {
    return [...new Set(names)].filter(name => name !== this.name)
  }
}
