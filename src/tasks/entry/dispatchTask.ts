import { Dispatcher, type Dispatch, type DispatcherOptions, type DispatchRequest, type EndedRequest } from '../../core/dispatch'
import { Failure } from '../../core/failures'
import type { Announcement } from '../../core/routing'
import { Mailbox, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'

/** Receives the dispatcher's decision about one request; called at most once per submit or retry. */
export type DispatchListener = (dispatch: Dispatch) => void

/** A message to the mailbox of a DispatchTask. */
export type DispatchMessage =
  | { readonly type: 'submit', readonly request: DispatchRequest, readonly listener: DispatchListener }
  | { readonly type: 'retry', readonly request: DispatchRequest, readonly isCapacityRefusal: boolean, readonly listener: DispatchListener }
  | { readonly type: 'cancel', readonly id: string }
  | { readonly type: 'ended', readonly end: EndedRequest }
  | { readonly type: 'announce', readonly announcement: Announcement }
  | { readonly type: 'tick' }
  | { readonly type: 'rejectAll' }
  | { readonly type: 'stop' }

/** Options of a DispatchTask; `now` is in milliseconds. */
export interface DispatchTaskOptions {
  readonly dispatcher: DispatcherOptions
  readonly now: () => number
}

const tickMs = 50
/** A longer gap between messages, which include the ticks, means that the process was paused. */
const stallThresholdMs = 4 * tickMs

/** The task that owns the dispatcher of an entry process and serialises access to it. */
export class DispatchTask {
  readonly mailbox = new Mailbox<DispatchMessage>('dispatch')
  private readonly dispatcher: Dispatcher
  private readonly listeners = new Map<string, DispatchListener>()
  private readonly ticker: Timer
  private lastMessageAt: number

  constructor (private readonly options: DispatchTaskOptions) {
    this.dispatcher = new Dispatcher(options.dispatcher)
    this.lastMessageAt = options.now()
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  /** The number of requests waiting for an endpoint. */
  get queued (): number { return this.dispatcher.queued }

  /** The latest announcement of each known agent. */
  agents (): readonly Announcement[] { return this.dispatcher.agents() }

  findAgent (agent: string): Announcement | undefined { return this.dispatcher.findAgent(agent) }

  private * run (): TaskBody {
    for (;;) {
      const message = yield * this.mailbox.take()
      if (message === undefined) return
      const now = this.options.now()
      this.detectStall(now)
      this.handle(message, now)
    }
  }

  private detectStall (now: number): void {
    const gapMs = now - this.lastMessageAt
    this.lastMessageAt = now
    if (gapMs > stallThresholdMs) this.dispatcher.discountPause(gapMs)
  }

  private handle (message: DispatchMessage, now: number): void {
    switch (message.type) {
      case 'submit':
        this.listeners.set(message.request.id, message.listener)
        return this.notify(this.dispatcher.submit(message.request, now))
      case 'retry':
        this.listeners.set(message.request.id, message.listener)
        return this.notify(this.dispatcher.retry(message.request, message.isCapacityRefusal, now))
      case 'cancel':
        this.listeners.delete(message.id)
        return this.dispatcher.cancel(message.id)
      case 'ended': return this.notify(this.dispatcher.ended(message.end, now))
      case 'announce': return this.notify(this.dispatcher.announce(message.announcement, now))
      case 'tick': return this.notify(this.dispatcher.tick(now))
      case 'rejectAll': return this.notify(this.dispatcher.rejectAll(new Failure('request/draining')))
      case 'stop':
        this.ticker.stop()
        this.mailbox.close()
    }
  }

  private notify (dispatches: readonly Dispatch[]): void {
    for (const dispatch of dispatches) {
      const listener = this.listeners.get(dispatch.id)
      this.listeners.delete(dispatch.id)
      listener?.(dispatch)
    }
  }
}
