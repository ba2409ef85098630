import { settled, type Mailbox, type TaskStep } from './mailbox'

/** A repeating timer which can be stopped. */
export interface Timer {
  stop (): void
}

/** Puts a message into a mailbox at every interval, until it is stopped. A full mailbox misses the tick. */
export function startTicker<Message> (mailbox: Mailbox<Message>, intervalMs: number, message: () => Message): Timer {
  const handle = setInterval(() => mailbox.offer(message()), intervalMs)
  return { stop: () => clearInterval(handle) }
}

/** Lets a task wait. */
export function * delay (ms: number): TaskStep<void> {
  yield * settled(new Promise<void>(resolve => setTimeout(resolve, ms)))
}
