/** Options of a retry budget. */
export interface RetryBudgetOptions {
  /** Retries which each first attempt allows. */
  readonly ratio: number
  /** Retries which are allowed at once. */
  readonly burst: number
}

/** Bounds retries to a share of the requests, so that they cannot multiply an overload. */
export class RetryBudget {
  private tokens: number

  constructor (private readonly options: RetryBudgetOptions) {
    this.tokens = options.burst
  }

  /** Counts a first attempt. */
  earn (): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.ratio)
  }

  /** Takes one retry out; false if none is left. */
  spend (): boolean {
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
