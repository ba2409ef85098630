/** Interval at which the meter must be ticked, in milliseconds: a fraction of the shortest time that a caller waits. */
export const stallTickMs = 250

/** Notices that the process stood still, because it was stopped or its VM was suspended. */
export class StallMeter {
  private lastTickAt: number
  private stalledMs = 0
  /** Requests that arrived during the newest stall are read until then. */
  private countsUntil = Number.NEGATIVE_INFINITY

  /** `now` is monotonic time in milliseconds that includes suspensions of the VM. */
  constructor (private readonly now: () => number) {
    this.lastTickAt = now()
  }

  tick (): void {
    const now = this.now()
    const pauseMs = now - this.lastTickAt
    this.lastTickAt = now
    if (pauseMs < 2 * stallTickMs) return
    this.stalledMs = pauseMs
    this.countsUntil = now + stallTickMs
  }

  /** How long input that is read now may have waited, in milliseconds; 0 if the process ran. */
  unreadMs (): number {
    const now = this.now()
    const pauseMs = now - this.lastTickAt
    return Math.max(pauseMs < 2 * stallTickMs ? 0 : pauseMs, now < this.countsUntil ? this.stalledMs : 0)
  }
}
