import type { ConsensusMessage, Envelope } from '../../core/consensus'
import type { Logger } from '../../observability'
import { openStream, parseAddress, type MessageStream, type StreamBounds } from '../../transport'
import { decodeControlReply } from './controlCodec'
import type { ClientMessage, ControlReply, Directory } from './controlProtocol'

/** Options of the streams of a replica or relay to other replicas. */
export interface ReplicaLinksOptions {
  /** The name of this process, which is its address. */
  readonly self: string
  readonly role: 'replica' | 'relay'
  readonly bounds: StreamBounds
  readonly logger: Logger
  /** Called with each directory that another replica or relay sends. */
  readonly onDirectory: (directory: Directory, from: string) => void
}

type PeerStream = MessageStream<ControlReply, ClientMessage>

interface Link {
  stream: PeerStream | undefined
  isOpening: boolean
  nextTryAt: number
  /** Messages queued until the stream is open. */
  waiting: ConsensusMessage[]
}

const connectMs = 500
/** Most messages queued while a stream is being opened: a vote request and a few more. The consensus repeats those that are dropped. */
const maximumQueuedMessages = 16
/** Pause before an unreachable replica is tried again, in milliseconds; about a heartbeat. */
const retryPauseMs = 150

/** Streams to other replicas by address. Messages that can't be sent are dropped, as the consensus repeats them. */
export class ReplicaLinks {
  private readonly links = new Map<string, Link>()
  private isStopped = false

  constructor (private readonly options: ReplicaLinksOptions) {}

  send ({ to, message }: Envelope): void {
    this.sendAll(to, [message])
  }

  /** Opens the stream to a replica unless it is open or was tried a moment ago. */
  connect (to: string): void {
    this.ensureLink(to)
  }

  /** Bytes that wait to be sent on each open stream, by the address of the replica. */
  * bufferedBytes (): Iterable<readonly [to: string, bytes: number]> {
    for (const [to, { stream }] of this.links) if (stream !== undefined) yield [to, stream.bufferedBytes]
  }

  stop (): void {
    this.isStopped = true
    for (const link of this.links.values()) link.stream?.close()
  }

  private sendAll (to: string, messages: readonly ConsensusMessage[]): void {
    const link = this.ensureLink(to)
    if (link.stream !== undefined) link.stream.send({ type: 'consensus', messages })
    else if (link.isOpening && link.waiting.length < maximumQueuedMessages) link.waiting.push(...messages)
  }

  private ensureLink (to: string): Link {
    const link = this.links.get(to) ?? { stream: undefined, isOpening: false, nextTryAt: 0, waiting: [] }
    this.links.set(to, link)
    if (link.stream === undefined && !link.isOpening && !this.isStopped && performance.now() >= link.nextTryAt) this.open(to, link)
    return link
  }

  private async open (to: string, link: Link): Promise<void> {
    link.isOpening = true
    try {
      const stream: PeerStream = await openStream({ address: parseAddress(to), connectMs, bounds: this.options.bounds, decode: decodeControlReply })
      link.stream = stream
      stream.listen({
        onMessage: message => { if (message.type === 'directory') this.options.onDirectory(message, to) },
        onEnd: reason => {
          if (reason === 'malformed') this.options.logger.warn('stream_malformed', { peer: to })
          if (link.stream === stream) link.stream = undefined
        }
      })
      stream.send({ type: 'hello', role: this.options.role, name: this.options.self })
      if (link.waiting.length > 0) stream.send({ type: 'consensus', messages: link.waiting })
      if (this.isStopped) stream.close()
    } catch {
      // The replica is down or unreachable; a later message tries again.
      link.nextTryAt = performance.now() + retryPauseMs
    } finally {
      link.isOpening = false
      link.waiting = []
    }
  }
}
