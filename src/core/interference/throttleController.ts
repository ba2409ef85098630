/** Options of a ThrottleController. */
export interface ThrottleOptions {
  /** Slowdown of a service above which its batch neighbors are throttled. */
  readonly above: number
  /** Slowdown below which the throttle is released in steps. */
  readonly below: number
  /** Number of consecutive reports above or below the threshold before the throttle changes. */
  readonly patience: number
  /** The factor by which one throttling step reduces the share of processors. */
  readonly factor: number
  /** The smallest share of its processors that a neighbor keeps; if more throttling is needed, it is evicted. */
  readonly lowestShare: number
}

/** The measure for the batch neighbors of a slowed service. */
export type ThrottleDecision =
  | { readonly type: 'keep' }
  | { readonly type: 'throttle', readonly share: number }
  | { readonly type: 'evict' }

interface WorkerThrottle {
  share: number
  slowReports: number
  fastReports: number
}

/** Controls interference with services: throttles the batch neighbors in steps, and evicts if that does not suffice. */
export class ThrottleController {
  private readonly workers = new Map<string, WorkerThrottle>()

  constructor (private readonly options: ThrottleOptions) {}

  /** Decides from a report of the highest slowdown of a service on a worker. */
  report (worker: string, slowdown: number): ThrottleDecision {
    const state = this.workers.get(worker) ?? { share: 1, slowReports: 0, fastReports: 0 }
    this.workers.set(worker, state)
    state.slowReports = slowdown > this.options.above ? state.slowReports + 1 : 0
    state.fastReports = slowdown < this.options.below ? state.fastReports + 1 : 0
    if (state.slowReports >= this.options.patience) return this.lowerShare(state)
    if (state.fastReports >= this.options.patience && state.share < 1) return this.raiseShare(state)
    return { type: 'keep' }
  }

  private lowerShare (state: WorkerThrottle): ThrottleDecision {
    state.slowReports = 0
    const share = state.share * this.options.factor
    if (share < this.options.lowestShare) return { type: 'evict' }
    state.share = share
    return { type: 'throttle', share }
  }

  private raiseShare (state: WorkerThrottle): ThrottleDecision {
    state.fastReports = 0
    state.share = Math.min(1, state.share / this.options.factor)
    return { type: 'throttle', share: state.share }
  }
}
