/** One serving task as its worker shows it. */
export interface ServingTask {
  readonly tailLatencyMs: number
  /** What its tail latency must stay below, in milliseconds. */
  readonly targetMs: number
}

/** Percent at which filling tasks work after this many figures in a row above the target; the last one stays. */
const percentAfterFigures = [100, 40, 0] as const
/** Share of the target below which filling tasks are given more. */
const speedUpBelow = 0.9
/** Percent by which filling tasks are given more at a time; back at full speed after four figures. */
const speedUpPercent = 25
const fullPercent = 100

/**
 * Decides at which percent the filling tasks of a worker work, so that tasks which serve beside them do not
 * stay above their targets. The load of a serving task swings by itself within a second, so one figure above
 * the target changes nothing; the next ones slow the filling tasks down and then halt them.
 */
export class FillPacing {
  private current = fullPercent
  private figuresAbove = 0

  get percent (): number { return this.current }

  /** Takes the newest figures. Returns the percent from now on. */
  observe (serving: readonly ServingTask[]): number {
    const load = Math.max(0, ...serving.map(task => task.tailLatencyMs / task.targetMs))
    if (load > 1) {
      const step = percentAfterFigures[Math.min(this.figuresAbove, percentAfterFigures.length - 1)] ?? 0
      this.current = Math.min(this.current, step)
      this.figuresAbove += 1
      return this.current
    }
    this.figuresAbove = 0
    if (load < speedUpBelow) this.current = Math.min(fullPercent, this.current + speedUpPercent)
    return this.current
  }
}
