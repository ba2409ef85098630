/** Options of a RetryBudget. */
export interface RetryBudgetOptions {
  /** Retries that each first attempt adds to the budget. */
  readonly ratio: number
  /** The maximum budget: the retries allowed at once. */
  readonly burst: number
}

/** Limits retries to a share of the requests, so that they cannot amplify an overload. */
export class RetryBudget {
  private tokens: number

  constructor (private readonly options: RetryBudgetOptions) {
    this.tokens = options.burst
  }

  /** Counts a first attempt, which adds to the budget. */
  deposit (): void {
    this.tokens = Math.min(this.options.burst, this.tokens + this.options.ratio)
  }

  /** Consumes one retry; returns false if the budget is exhausted. */
  withdraw (): boolean {
    if (this.tokens < 1) return false
    this.tokens -= 1
    return true
  }
}
