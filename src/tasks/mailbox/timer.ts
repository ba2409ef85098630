import { awaitPromise, type Mailbox, type TaskStep } from './mailbox'

/** A repeating timer that runs until it is stopped. */
export interface Timer {
  stop (): void
}

/** Offers a message to a mailbox at every interval, in milliseconds; a tick is dropped while the mailbox is full. */
export function startTicker<Message> (mailbox: Mailbox<Message>, intervalMs: number, message: () => Message): Timer {
  const handle = setInterval(() => mailbox.offer(message()), intervalMs)
  return { stop: () => clearInterval(handle) }
}

/** Suspends a task for a time in milliseconds. */
export function * delay (ms: number): TaskStep<void> {
  yield * awaitPromise(new Promise<void>(resolve => setTimeout(resolve, ms)))
}
