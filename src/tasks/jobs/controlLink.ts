import type { Logger } from '../../observability'
import { formatAddress, openStream, parseAddress, type MessageStream, type StreamBounds } from '../../transport'
import { decodeControlReply } from './controlCodec'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** Options of the link of a process to the leader. */
export interface ControlLinkOptions {
  readonly role: 'entry' | 'agent' | 'relay'
  readonly name: string
  /** Addresses of replicas to begin with. */
  readonly seeds: readonly string[]
  readonly bounds: StreamBounds
  readonly logger: Logger
  /** The leader answers from now on. */
  readonly onOpen: (term: number) => void
  readonly onMessage: (message: ControlReply) => void
  readonly onLost: () => void
}

/** How long a replica may take to answer a new stream, in milliseconds; several round trips between zones. */
const connectMs = 500
/** Pause after all known replicas were tried, in milliseconds; a fraction of the shortest election. */
const retryPauseMs = 100

type LeaderStream = MessageStream<ControlReply, ClientMessage>

/** Finds the leader among the replicas and keeps a stream to it. */
export class ControlLink {
  private stream: LeaderStream | undefined
  private leaderAddress: string | undefined
  private members: readonly string[] = []
  private seeds: readonly string[]
  private isStopped = false
  /** The highest term of a leader which was followed; who leads in a lower one was deposed. */
  private highestTerm = 0

  constructor (private readonly options: ControlLinkOptions) {
    this.seeds = options.seeds
  }

  get isOpen (): boolean { return this.stream !== undefined }

  /** The leader, while there is a stream to it. */
  get leader (): string | undefined { return this.leaderAddress }

  /** The replicas which the last answer named. */
  get knownMembers (): readonly string[] { return this.members }

  /** Begins to look for the leader. */
  start (): void {
    this.run()
  }

  /** Takes new seeds; they are used when the leader must be found again. */
  reseed (seeds: readonly string[]): void { this.seeds = seeds }

  /** Sends a message to the leader; false if there is none. */
  send (message: ClientMessage): boolean {
    if (this.stream === undefined) return false
    this.stream.send(message)
    return true
  }

  stop (): void {
    this.isStopped = true
    this.stream?.close()
  }

  private async run (): Promise<void> {
    let hint: string | undefined
    while (!this.isStopped) {
      for (const address of this.candidates(hint)) {
        if (this.isStopped) return
        const outcome = await this.tryReplica(address)
        if (outcome.served) {
          hint = undefined
          break
        }
        if (outcome.leader === undefined || outcome.leader === address) continue
        hint = outcome.leader
        break
      }
      await new Promise(resolve => setTimeout(resolve, retryPauseMs))
    }
  }

  private candidates (hint: string | undefined): readonly string[] {
    return [...new Set([...(hint === undefined ? [] : [hint]), ...this.members, ...this.seeds])]
  }

  /** Serves as long as this replica leads; otherwise says whom it takes for the leader. */
  private async tryReplica (address: string): Promise<{ readonly served: boolean, readonly leader?: string | undefined }> {
    let stream: LeaderStream
    try {
      stream = await openStream({ address: parseAddress(address), connectMs, bounds: this.options.bounds, decode: decodeControlReply })
    } catch (error) {
      this.options.logger.debug('control_unreachable', { address, error: error instanceof Error ? error.message : String(error) })
      return { served: false }
    }
    return await new Promise(resolve => {
      let isLeading = false
      let leader: string | undefined
      stream.listen({
        onMessage: message => {
          if (message.type === 'directory') {
            this.members = message.members
            leader = message.leader
            if (message.isLeading && message.term >= this.highestTerm) {
              isLeading = true
              this.opened(stream, message.term, address)
            } else {
              stream.close()
            }
          } else if (this.stream === stream) {
            this.options.onMessage(message)
          }
        },
        onEnd: reason => {
          if (isLeading) this.lost(stream, address, reason)
          resolve({ served: isLeading, leader })
        }
      })
      stream.send({ type: 'hello', role: this.options.role, name: this.options.name })
    })
  }

  private opened (stream: LeaderStream, term: number, address: string): void {
    this.stream = stream
    this.leaderAddress = address
    this.highestTerm = term
    this.options.logger.info('leader_found', { leader: address, term })
    this.options.onOpen(term)
  }

  private lost (stream: LeaderStream, address: string, reason: string): void {
    if (this.stream !== stream) return
    this.stream = undefined
    this.leaderAddress = undefined
    this.options.logger.warn('leader_lost', { leader: address, reason })
    this.options.onLost()
  }
}

/** The address of a replica which serves on the same VM as another of its addresses. */
export function replicaAddress (controlAddress: string, peerPort: number): string {
  return formatAddress({ host: parseAddress(controlAddress).host, port: peerPort })
}
