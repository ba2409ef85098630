/** A token bucket that limits the rate of evictions, because each one discards work of a caller. */
export class EvictionBudget {
  private tokens: number
  private refilledAt: number | undefined

  /** `burst` is the number of evictions allowed at once, `perMinute` the rate at which the budget refills. */
  constructor (private readonly burst: number, private readonly perMinute: number) {
    this.tokens = burst
  }

  /** The number of evictions allowed now; refills the budget up to `now`, in milliseconds. */
  available (now: number): number {
    const elapsedMinutes = (now - (this.refilledAt ?? now)) / millisecondsPerMinute
    this.tokens = Math.min(this.burst, this.tokens + elapsedMinutes * this.perMinute)
    this.refilledAt = now
    return Math.floor(this.tokens)
  }

  /** Deducts evictions from the budget. */
  spend (count: number): void {
    this.tokens -= count
  }
}

const millisecondsPerMinute = 60_000
