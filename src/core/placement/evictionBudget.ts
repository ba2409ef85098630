/** Bounds evictions over time, because each one costs a caller work. */
export class EvictionBudget {
  private tokens: number
  private filledAt: number | undefined

  /** Evictions which are allowed at once, and how many come back each minute. */
  constructor (private readonly burst: number, private readonly perMinute: number) {
    this.tokens = burst
  }

  /** Evictions which are allowed now. */
  available (now: number): number {
    const elapsedMinutes = (now - (this.filledAt ?? now)) / millisecondsPerMinute
    this.tokens = Math.min(this.burst, this.tokens + elapsedMinutes * this.perMinute)
    this.filledAt = now
    return Math.floor(this.tokens)
  }

  /** Takes evictions out of the budget. */
  spend (count: number): void {
    this.tokens -= count
  }
}

const millisecondsPerMinute = 60_000
