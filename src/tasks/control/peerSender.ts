import { createTRPCClient } from '@trpc/client'
import type { ConsensusMessage } from '../../core/consensus'
import { createPeerLink, formatAddress, type Address, type ConnectionPool } from '../../transport'
import { Mailbox, awaitPromise, startTask, type TaskBody } from '../mailbox'
import type { ControlRouter } from './controlRouter'

/** Options of the task that sends to one other replica. */
export interface PeerSenderOptions {
  readonly self: string
  readonly address: Address
  readonly pool: ConnectionPool
  readonly peerKey: string
  readonly timeoutMs: number
}

/** Bound of the queue for a replica that does not answer. The consensus protocol resends messages that are dropped. */
const maximumQueuedMessages = 1024
/** Maximum number of messages in one call. */
const maximumBatchMessages = 128

/** Sends messages to one replica in order and in batches. The messages of a failed call are lost. */
export class PeerSender {
  private readonly mailbox: Mailbox<ConsensusMessage>
  private readonly client

  constructor (private readonly options: PeerSenderOptions) {
    this.mailbox = new Mailbox(`replica ${formatAddress(options.address)}`, maximumQueuedMessages)
    this.client = createTRPCClient<ControlRouter>({ links: [createPeerLink(options)] })
    startTask(() => this.run())
  }

  send (message: ConsensusMessage): void {
    this.mailbox.offer(message)
  }

  stop (): void {
    this.mailbox.close()
  }

  private * run (): TaskBody {
    for (;;) {
      const first = yield * this.mailbox.take()
      if (first === undefined) return
      yield * awaitPromise(this.deliver(this.collectBatch(first)))
    }
  }

  private collectBatch (first: ConsensusMessage): readonly ConsensusMessage[] {
    const messages = [first]
    while (messages.length < maximumBatchMessages) {
      const next = this.mailbox.poll()
      if (next === undefined) return messages
      messages.push(next)
    }
    return messages
  }

  private async deliver (messages: readonly ConsensusMessage[]): Promise<void> {
    try {
      await this.client.deliver.mutate({ from: this.options.self, messages })
    } catch {
      // The consensus protocol tolerates message loss: the leader resends with its next heartbeat.
    }
  }
}
