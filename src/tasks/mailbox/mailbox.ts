import * as library from 'js-csp'
import type { Channel, Instruction } from 'js-csp'
import { Failure } from '../../core/failures'
import { unwrapDefault } from '../../interop'

const csp = unwrapDefault(library)

/** The body of a task: it yields only through the functions of this module. */
export type TaskBody = Generator<Instruction, void, unknown>

/** A part of a task body which ends with a value. */
export type TaskStep<Value> = Generator<Instruction, Value, unknown>

/** Messages which a mailbox holds unless its options say otherwise. */
const defaultCapacity = 65_536

/**
 * The bounded mailbox of a task. A message which finds it full is refused,
 * so that a sender never waits and js-csp's limit of pending puts is never reached.
 */
export class Mailbox<Message> {
  private readonly channel: Channel<Message>
  private isClosed = false

  constructor (readonly name: string, capacity = defaultCapacity) {
    this.channel = csp.chan<Message>(capacity)
  }

  /** Delivers a message; false if the mailbox is full or closed. */
  offer (message: Message): boolean {
    if (this.isClosed) return false
    return csp.offer(this.channel, message)
  }

  /** Delivers a message which must not be lost; throws a Failure if the mailbox is full. */
  post (message: Message): void {
    if (this.isClosed) return
    if (!csp.offer(this.channel, message)) throw new Failure('mailbox/full', { subject: this.name })
  }

  /** Waits for the next message; undefined once the mailbox is closed and empty. */
  * take (): TaskStep<Message | undefined> {
    const value = yield csp.take(this.channel)
    return value === csp.CLOSED ? undefined : value as Message
  }

  /** The next message if one is there already. */
  poll (): Message | undefined {
    const value = csp.poll(this.channel)
    return value === csp.NO_VALUE || value === csp.CLOSED ? undefined : value as Message
  }

  /** Ends the task which takes from this mailbox, after the messages it holds. */
  close (): void {
    this.isClosed = true
    this.channel.close()
  }
}

/** Starts a task. An exception in it ends the process: a daemon restarts from disk. */
export function startTask (body: () => TaskBody): void {
  csp.go(body)
}

/** Waits inside a task for a promise; a rejection is thrown into the task. */
export function * settled<Value> (promise: Promise<Value>): TaskStep<Value> {
  const channel = csp.chan<() => Value>(1)
  promise.then(
    value => csp.putAsync(channel, () => value),
    (error: unknown) => csp.putAsync(channel, () => { throw error }))
  const settle = (yield csp.take(channel)) as () => Value
  return settle()
}
