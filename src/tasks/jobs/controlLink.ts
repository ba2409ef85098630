import type { Logger } from '../../observability'
import { formatAddress, openStream, parseAddress, type MessageStream, type StreamBounds } from '../../transport'
import { decodeControlReply } from './controlCodec'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** Options of the link of a process to the leader. */
export interface ControlLinkOptions {
  readonly role: 'entry' | 'agent' | 'relay'
  readonly name: string
  /** Addresses of replicas known at the start; members that a directory names are tried before them. */
  readonly seeds: readonly string[]
  readonly bounds: StreamBounds
  readonly logger: Logger
  /** Called when a stream to the leader is open, with its term. */
  readonly onOpen: (term: number) => void
  readonly onMessage: (message: ControlReply) => void
  readonly onLost: () => void
}

/** Time limit for opening a stream to a replica, in milliseconds; several round trips between zones. */
const connectMs = 500
/** Pause in milliseconds before known replicas are tried again; a fraction of the shortest election. */
const retryPauseMs = 100

/**
 * How long after the loss of a leader one of a lower term is refused, in milliseconds. A deposed leader notices within two
 * election timeouts that it has lost its quorum; a term that no leader has must not be waited for any longer.
 */
const termMemoryMs = 3000

type LeaderStream = MessageStream<ControlReply, ClientMessage>

/** Finds the leader among the replicas and keeps a stream to it. */
export class ControlLink {
  private stream: LeaderStream | undefined
  private leaderAddress: string | undefined
  private members: readonly string[] = []
  private seeds: readonly string[]
  private isStopped = false
  /** The term of the last leader that was found; a replica that leads in a lower term has been deposed. */
  private leaderTerm = 0
  /** When the last leader was lost, in milliseconds of the steady clock. */
  private lostAt = Number.NEGATIVE_INFINITY

  constructor (private readonly options: ControlLinkOptions) {
    this.seeds = options.seeds
  }

  get isOpen (): boolean { return this.stream !== undefined }

  /** The address of the leader; undefined while there is no stream to it. */
  get leader (): string | undefined { return this.leaderAddress }

  /** The members named in the last directory received. */
  get knownMembers (): readonly string[] { return this.members }

  /** Starts to look for the leader, until `stop`. */
  start (): void {
    this.run()
  }

  /** Replaces the seeds, which are used the next time that the leader is looked for. */
  reseed (seeds: readonly string[]): void { this.seeds = seeds }

  /** Sends a message to the leader; returns false if there is no stream to it. */
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

  /** Keeps the stream while this replica leads, and resolves when it ends; otherwise resolves to the leader that the replica names. */
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
            if (message.isLeading && this.isCurrentTerm(message.term)) {
              isLeading = true
              this.handleOpen(stream, message.term, address)
            } else {
              stream.close()
            }
          } else if (this.stream === stream) {
            this.options.onMessage(message)
          }
        },
        onEnd: reason => {
          if (isLeading) this.handleLoss(stream, address, reason)
          resolve({ served: isLeading, leader })
        }
      })
      stream.send({ type: 'hello', role: this.options.role, name: this.options.name })
    })
  }

  private isCurrentTerm (term: number): boolean { return term >= this.leaderTerm || performance.now() - this.lostAt > termMemoryMs }

  private handleOpen (stream: LeaderStream, term: number, address: string): void {
    this.stream = stream
    this.leaderAddress = address
    this.leaderTerm = term
    this.options.logger.info('leader_found', { leader: address, term })
    this.options.onOpen(term)
  }

  private handleLoss (stream: LeaderStream, address: string, reason: string): void {
    if (this.stream !== stream) return
    this.stream = undefined
    this.leaderAddress = undefined
    this.lostAt = performance.now()
    this.options.logger.warn('leader_lost', { leader: address, reason })
    this.options.onLost()
  }
}

/** The address at which the VM of `controlAddress` serves on `peerPort`. */
export function replicaAddress (controlAddress: string, peerPort: number): string {
  return formatAddress({ host: parseAddress(controlAddress).host, port: peerPort })
}
