/** One serving task as its worker shows it. */
export interface ServingTask {
  readonly tailLatencyMs: number
  /** What its tail latency must stay below, in milliseconds. */
  readonly targetMs: number
}

/** Share of the target above which filling tasks are slowed down; the rest is room for figures that are half a second old. */
const slowDownAbove = 0.85
/** Share of the target below which filling tasks are given more. */
const speedUpBelow = 0.6
/** Percent by which filling tasks are given more at a time. */
const speedUpPercent = 10
/** Below this, a filling task is halted. */
const lowestPercent = 6
const fullPercent = 100

/**
 * Decides at which percent the filling tasks of a worker work, so that tasks which serve beside them stay
 * below their targets. It halves at once and gives back in small steps, as congestion control does.
 */
export class FillPacing {
  private current = fullPercent

  get percent (): number { return this.current }

  /** Takes the newest figures. Returns the percent from now on. */
  observe (serving: readonly ServingTask[]): number {
    const load = Math.max(0, ...serving.map(task => task.tailLatencyMs / task.targetMs))
    if (load > slowDownAbove) this.current = this.current / 2 < lowestPercent ? 0 : Math.floor(this.current / 2)
    else if (load < speedUpBelow) this.current = Math.min(fullPercent, this.current + speedUpPercent)
    return this.current
  }
}
