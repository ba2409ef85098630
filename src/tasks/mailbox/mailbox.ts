import * as library from 'js-csp'
import type { Channel, Instruction } from 'js-csp'
import { Failure } from '../../core/failures'
import { unwrapDefault } from '../../interop'

const csp = unwrapDefault(library)

/** The body of a task; it must yield only through the functions of this module. */
export type TaskBody = Generator<Instruction, void, unknown>

/** A subroutine of a task body that returns a value. */
export type TaskStep<Value> = Generator<Instruction, Value, unknown>

/** The default capacity of a mailbox, in messages. */
const defaultCapacity = 65_536

/**
 * The bounded message queue of a task. A message to a full mailbox is refused,
  * so that senders never block and js-csp's limit on pending puts is never reached.
 */
export class Mailbox<Message> {
  private readonly channel: Channel<Message>
  private isClosed = false

  constructor (readonly name: string, capacity = defaultCapacity) {
    this.channel = csp.chan<Message>(capacity)
  }

  /** Enqueues a message; false if the mailbox is full or closed. */
  offer (message: Message): boolean {
    if (this.isClosed) return false
    return csp.offer(this.channel, message)
  }

  /** Enqueues a message that must not be lost: throws a Failure if the mailbox is full, and drops the message if it is closed. */
  post (message: Message): void {
    if (this.isClosed) return
    if (!csp.offer(this.channel, message)) throw new Failure('mailbox/full', { subject: this.name })
  }

  /** Waits for the next message; undefined once the mailbox is closed and empty. */
  * take (): TaskStep<Message | undefined> {
    const value = yield csp.take(this.channel)
    return value === csp.CLOSED ? undefined : value as Message
  }

  /** Takes the next message without waiting; undefined if there is none. */
  poll (): Message | undefined {
    const value = csp.poll(this.channel)
    return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : value as Message
  }

  /** Closes the mailbox; messages already in it are still delivered, after which take() returns undefined. */
  close (): void {
    this.isClosed = true
    this.channel.close()
  }
}

/** Starts a task. An uncaught exception in it ends the process; a daemon recovers from disk when it is restarted. */
export function startTask (body: () => TaskBody): void {
  csp.go(body)
}

/** Waits for a promise inside a task; a rejection is thrown into the task. */
export function * awaitPromise<Value> (promise: Promise<Value>): TaskStep<Value> {
  const channel = csp.chan<() => Value>(1)
  promise.then(
    value => csp.putAsync(channel, () => value),
    (error: unknown) => csp.putAsync(channel, () => { throw error }))
  const getValue = (yield csp.take(channel)) as () => Value
  return getValue()
}
