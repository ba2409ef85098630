import { outageBackoffMs } from '../../core/admission'
import type { CallerAnswer, CallerCall } from '../../core/jobs'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** Dependencies of `CallerGateway`. */
export interface CallerGatewayOptions {
  /** Sends to the leader; returns false if there is no stream to one. */
  readonly send: (message: ClientMessage) => boolean
  /** Monotonic time in milliseconds, including suspensions of the VM. */
  readonly now: () => number
  /** The zone of this entry process, stored with the jobs submitted through it; none if absent or empty. */
  readonly zone?: string | undefined
}

interface PendingCall {
  readonly id: number
  readonly call: CallerCall
  readonly resolve: (answer: CallerAnswer) => void
  /** How long the caller waits for an answer, in milliseconds. */
  readonly deadlineMs: number
  /** When it stops to wait, by the clock of the gateway. */
  readonly waitsUntil: number
  /** How often the call was sent, once per stream to a leader. */
  attempts: number
  timer: NodeJS.Timeout | undefined
}

/** How long a call that was not sent yet waits for a leader, in milliseconds; a fraction of the shortest objective. */
const leaderWaitMs = 150
/** How long a sent call waits for its answer, in milliseconds; long enough for an election and a retry. */
const answerWaitMs = 1800

/** Forwards calls to the leader, and repeats unanswered ones at its successor; all calls are idempotent. */
export class CallerGateway {
  private readonly pending = new Map<number, PendingCall>()
  private nextId = 0
  /** Time at which the leader was lost, in milliseconds of the steady clock; undefined while there is one. */
  private outageSince: number | undefined

  constructor (private readonly options: CallerGatewayOptions) {
    this.outageSince = options.now()
  }

  /** The number of calls that await an answer. */
  get size (): number { return this.pending.size }

  /** Sends a call and waits for its answer for `deadlineMs` at most; resolves to a refusal or `unknown` without one. */
  async call (call: CallerCall, deadlineMs: number): Promise<CallerAnswer> {
    return await new Promise(resolve => {
      this.nextId += 1
      const pending: PendingCall = { id: this.nextId, call: this.withOrigin(call), resolve, deadlineMs, waitsUntil: this.options.now() + deadlineMs, attempts: 0, timer: undefined }
      this.pending.set(pending.id, pending)
      this.startTimer(pending, leaderWaitMs)
      this.send(pending)
    })
  }

  /** Records that the stream to the leader was lost. */
  linkLost (): void { this.outageSince ??= this.options.now() }

  /** Sends all unanswered calls to the new leader. */
  linkOpened (): void {
    this.outageSince = undefined
    for (const pending of [...this.pending.values()]) {
      // After a suspension the timer of a call is late.
      if (this.options.now() > pending.waitsUntil) this.expire(pending)
      else this.send(pending)
    }
  }

  /** Handles a message of the leader; only answers to pending calls matter. */
  receive (message: ControlReply): void {
    if (message.type !== 'answer') return
    const pending = this.pending.get(message.id)
    if (pending !== undefined) this.settle(pending, message.answer)
  }

  private withOrigin (call: CallerCall): CallerCall {
    const { zone = '' } = this.options
    return call.type === 'submit' && zone !== '' ? { ...call, submission: { ...call.submission, originZone: zone } } : call
  }

  private send (pending: PendingCall): void {
    if (!this.options.send({ type: 'call', id: pending.id, call: pending.call })) return
    pending.attempts += 1
    if (pending.attempts === 1) this.startTimer(pending, answerWaitMs)
  }

  private startTimer (pending: PendingCall, waitMs: number): void {
    clearTimeout(pending.timer)
    pending.timer = setTimeout(() => this.expire(pending), Math.min(waitMs, pending.deadlineMs))
  }

  private expire (pending: PendingCall): void {
    this.settle(pending, pending.attempts > 0 ? { type: 'unknown' } : { type: 'refused', reason: 'noLeader', retryAfterMs: this.retryAfterMs })
  }

  private get retryAfterMs (): number {
    return outageBackoffMs(this.outageSince === undefined ? 0 : this.options.now() - this.outageSince)
  }

  private settle (pending: PendingCall, answer: CallerAnswer): void {
    clearTimeout(pending.timer)
    this.pending.delete(pending.id)
    pending.resolve(pending.attempts > 1 && saysNotStored(pending.call, answer) ? { type: 'unknown' } : answer)
  }
}

/**
 * Whether an answer states that the job was not and will not be stored. After more than one attempt this isn't certain: a
 * replica that isn't leader may follow one that has stored the job, and a call sent on a broken stream may reach the same
 * leader after the repeated one that it refuses.
 */
function saysNotStored (call: CallerCall, answer: CallerAnswer): boolean {
  return answer.type === 'refused' || (call.type === 'submit' && answer.type === 'noQueue')
}
