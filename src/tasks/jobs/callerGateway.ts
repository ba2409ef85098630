import { outageBackoffMs } from '../../core/admission'
import type { CallerAnswer, CallerCall } from '../../core/jobs'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** Options of the gateway. */
export interface CallerGatewayOptions {
  /** Sends to the leader; false if there is none. */
  readonly send: (message: ClientMessage) => boolean
  /** Steady time in milliseconds. */
  readonly now: () => number
  /** The zone of this entry process, kept with the jobs that it takes; none if absent or empty. */
  readonly zone?: string | undefined
}

interface PendingCall {
  readonly id: number
  readonly call: CallerCall
  readonly resolve: (answer: CallerAnswer) => void
  /** How long the caller waits, in milliseconds. */
  readonly deadlineMs: number
  /** Leaders which it was sent to. */
  attempts: number
  timer: NodeJS.Timeout | undefined
}

/** How long a call that was sent to nobody waits for a leader, in milliseconds; a fraction of the shortest objective. */
const leaderWaitMs = 150
/** How long the fate of a call which was sent may stay open, in milliseconds; an election and a retry fit in. */
const answerWaitMs = 1800

/** Brings the calls of callers to the leader, and again to its successor: each of them may be repeated. */
export class CallerGateway {
  private readonly pending = new Map<number, PendingCall>()
  private nextId = 0
  /** Since when there is no leader, in milliseconds; undefined while there is one. */
  private outageSince: number | undefined

  constructor (private readonly options: CallerGatewayOptions) {
    this.outageSince = options.now()
  }

  /** Calls which wait for their answer. */
  get size (): number { return this.pending.size }

  /** Sends a call and waits for its answer, at most as long as the caller does. */
  async call (call: CallerCall, deadlineMs: number): Promise<CallerAnswer> {
    return await new Promise(resolve => {
      this.nextId += 1
      const pending: PendingCall = { id: this.nextId, call: this.withOrigin(call), resolve, deadlineMs, attempts: 0, timer: undefined }
      this.pending.set(pending.id, pending)
      this.arm(pending, leaderWaitMs)
      this.send(pending)
    })
  }

  /** Notes that there is no leader from now on. */
  linkLost (): void { this.outageSince ??= this.options.now() }

  /** Repeats what is unanswered at a new leader. */
  linkOpened (): void {
    this.outageSince = undefined
    for (const pending of this.pending.values()) this.send(pending)
  }

  /** Takes an answer of the leader. */
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
    if (pending.attempts === 1) this.arm(pending, answerWaitMs)
  }

  private arm (pending: PendingCall, waitMs: number): void {
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
 * Whether an answer says that nothing was or will be stored. Only the one leader that got the call can say so: a replica that
 * doesn't lead may follow one that has stored the job, and what was sent on a stream that broke may reach the same leader
 * after the copy that it refuses.
 */
function saysNotStored (call: CallerCall, answer: CallerAnswer): boolean {
  return answer.type === 'refused' || (call.type === 'submit' && answer.type === 'noQueue')
}
