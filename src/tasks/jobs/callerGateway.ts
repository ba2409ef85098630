import type { CallerAnswer, CallerCall } from '../../core/jobs'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** Options of the gateway. Times are in milliseconds. */
export interface CallerGatewayOptions {
  /** Sends to the leader; false if there is none. */
  readonly send: (message: ClientMessage) => boolean
  readonly now: () => number
}

interface PendingCall {
  /** Leaders which it was sent to. */
  attempts: number
  readonly id: number
  readonly call: CallerCall
  readonly resolve: (answer: CallerAnswer) => void
  isSent: boolean
  timer: NodeJS.Timeout
}

/** How long a call that was sent to nobody waits for a leader, in milliseconds; a fraction of the shortest objective. */
const leaderWaitMs = 150
/** How long the fate of a call which was sent may stay open, in milliseconds; an election and a retry fit in. */
const answerWaitMs = 1800
const retryAfterNoLeaderMs = 1000

/** Brings the calls of callers to the leader, and again to its successor: each of them may be repeated. */
export class CallerGateway {
  private readonly pending = new Map<number, PendingCall>()
  private nextId = 0

  constructor (private readonly options: CallerGatewayOptions) {}

  /** Calls which wait for their answer. */
  get size (): number { return this.pending.size }

  /** Sends a call and waits for its answer, at most as long as the caller does. */
  async call (call: CallerCall, deadlineMs: number): Promise<CallerAnswer> {
    return await new Promise(resolve => {
      this.nextId += 1
      const pending: PendingCall = { attempts: 0, id: this.nextId, call, resolve, isSent: false, timer: setTimeout(() => {}, 0) }
      this.pending.set(pending.id, pending)
      this.send(pending)
      clearTimeout(pending.timer)
      const waitMs = Math.min(deadlineMs, pending.isSent ? answerWaitMs : leaderWaitMs)
      pending.timer = setTimeout(() => this.expire(pending), waitMs)
    })
  }

  /** Repeats what is unanswered at a new leader. */
  linkOpened (): void {
    for (const pending of this.pending.values()) this.send(pending)
  }

  /** Takes an answer of the leader. */
  receive (message: ControlReply): void {
    if (message.type !== 'answer') return
    const pending = this.pending.get(message.id)
    if (pending !== undefined) this.settle(pending, message.answer)
  }

  private send (pending: PendingCall): void {
    const isSent = this.options.send({ type: 'call', id: pending.id, call: pending.call })
    if (isSent) pending.attempts += 1
    if (!isSent || pending.isSent) return
    pending.isSent = true
    clearTimeout(pending.timer)
    pending.timer = setTimeout(() => this.expire(pending), answerWaitMs)
  }

  private expire (pending: PendingCall): void {
    this.settle(pending, pending.attempts > 0 ? { type: 'unknown' } : { type: 'refused', reason: 'noLeader', retryAfterMs: retryAfterNoLeaderMs })
  }

  private settle (pending: PendingCall, answer: CallerAnswer): void {
    clearTimeout(pending.timer)
    this.pending.delete(pending.id)
    // A replica which refuses because it doesn't lead may be the successor of one that has stored the job.
    const isUnsure = answer.type === 'refused' && answer.reason === 'noLeader' && pending.attempts > 1
    pending.resolve(isUnsure ? { type: 'unknown' } : answer)
  }
}
