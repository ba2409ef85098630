import { drainDecisionDelayMs } from '../../core/jobs'
import type { Registration } from './workerAgentMessage'

/** What the heartbeats of a boot say of its draining. Times are in milliseconds of the steady clock. */
export class DrainNotice {
  /** When the newest heartbeat that says so arrived. */
  private heardAt = 0
  /** From when on its runs are moved; undefined if no heartbeat says so or the newest one contradicts it. */
  private decidedAt: number | undefined

  constructor (firstHeartbeat: Registration, now: number) { this.hear(firstHeartbeat, now) }

  /** Takes the next heartbeat of the boot. */
  hear ({ isDraining, remainingMs = 0 }: Registration, now: number): void {
    if (!isDraining) {
      this.decidedAt = undefined
      return
    }
    this.heardAt = now
    this.decidedAt = Math.min(this.decidedAt ?? Number.POSITIVE_INFINITY, now + drainDecisionDelayMs(remainingMs))
  }

  /** Whether the worker has had the time to contradict, and has not. */
  isConfirmed (now: number): boolean { return this.decidedAt !== undefined && now >= this.decidedAt }

  /** The time that is left now, of the time that the newest heartbeat named. */
  leftMs (remainingMs: number, now: number): number { return Math.max(0, remainingMs - (now - this.heardAt)) }
}
