import { createTRPCClient } from '@trpc/client'
import type { Announcement } from '../../core/routing'
import type { Logger } from '../../observability'
import { createPeerLink, formatAddress, type Address, type ConnectionPool } from '../../transport'
import type { EntryRouter } from '../entry/entryRouter'
import { Mailbox, awaitPromise, startTask, startTicker, type TaskBody, type TaskStep, type Timer } from '../mailbox'
import type { AgentMessage } from './agentMessage'

/** Options of an Announcer. Times are in milliseconds. */
export interface AnnouncerOptions {
  readonly entry: Address
  readonly agent: Mailbox<AgentMessage>
  readonly pool: ConnectionPool
  readonly peerKey: string
  readonly intervalMs: number
  readonly timeoutMs: number
  /** The catalogue revision that the agent currently enforces. */
  readonly revision: () => number
  readonly now: () => number
  readonly logger: Logger
}

type AnnouncerMessage = { readonly type: 'announce' } | { readonly type: 'stop' }

/** Announces an agent periodically to one entry process and pulls catalogue updates from it. */
export class Announcer {
  private readonly mailbox: Mailbox<AnnouncerMessage>
  private readonly ticker: Timer
  private readonly client
  private isReachable = false

  constructor (private readonly options: AnnouncerOptions) {
    this.mailbox = new Mailbox(`announcer ${formatAddress(options.entry)}`, 64)
    this.client = createTRPCClient<EntryRouter>({ links: [createPeerLink({ ...options, address: options.entry })] })
    this.ticker = startTicker(this.mailbox, options.intervalMs, () => ({ type: 'announce' }))
    startTask(() => this.run())
    this.requestAnnouncement()
  }

  /** Requests an immediate announcement, for example after a change of state. */
  requestAnnouncement (): void {
    this.mailbox.offer({ type: 'announce' })
  }

  stop (): void {
    this.ticker.stop()
    this.mailbox.offer({ type: 'stop' })
  }

  private * run (): TaskBody {
    for (;;) {
      const message = yield * this.mailbox.take()
      if (message === undefined || message.type === 'stop') return
      // A second pending request is merged into this announcement.
      const waiting = this.mailbox.poll()
      if (waiting?.type === 'stop') return
      yield * this.announce()
    }
  }

  private * announce (): TaskStep<void> {
    try {
      if (this.options.revision() === 0) yield * this.pullCatalogue()
      const source = formatAddress(this.options.entry)
      const announcement = yield * awaitPromise(new Promise<Announcement>(resolve => this.options.agent.post({ type: 'announcement', source, reply: resolve })))
      const sentAt = this.options.now()
      const reply = yield * awaitPromise(this.client.announce.mutate({ ...announcement, entries: [...announcement.entries] }))
      this.report(true)
      if (reply.revision > this.options.revision()) yield * this.pullCatalogue()
      else this.options.agent.post({ type: 'confirm', revision: reply.revision, ageMs: reply.ageMs + this.options.now() - sentAt })
    } catch (error) {
      this.report(false, error)
    }
  }

  private * pullCatalogue (): TaskStep<void> {
    const sentAt = this.options.now()
    const update = yield * awaitPromise(this.client.catalogueSince.query({ revision: this.options.revision() }))
    this.options.agent.post({ type: 'update', update: { ...update, ageMs: update.ageMs + this.options.now() - sentAt } })
  }

  private report (isReachable: boolean, error?: unknown): void {
    if (isReachable === this.isReachable) return
    this.isReachable = isReachable
    const fields = { entry: formatAddress(this.options.entry) }
    if (isReachable) this.options.logger.info('entry_reached', fields)
    else this.options.logger.warn('entry_lost', { ...fields, error: String(error) })
  }
}
