import { BoundedMap } from '../../boundedMap'

/** Weight of one task in the moving average; a few steps of ten tasks determine the factor. */
const smoothingWeight = 0.05
/**
 * Bound of the factor and of its inverse. Declared durations are off by up to 1.5 times and workers are up to a third slower;
 * a larger factor results from contention, which the capacity already accounts for.
 */
const maximumFactor = 2
const maximumQueues = 1000

/** Learns how long the tasks of each queue take, as a multiple of their declared duration, by an exponential moving average. */
export class DurationFactors {
  private readonly factors = new BoundedMap<string, number>(maximumQueues)

  /** Records the time from the assignment of a task to its end, in milliseconds. */
  observe (queue: string, declaredMs: number, durationMs: number): void {
    if (declaredMs <= 0 || durationMs <= 0) return
    const observed = Math.min(maximumFactor, Math.max(1 / maximumFactor, durationMs / declaredMs))
    const known = this.of(queue)
    this.factors.set(queue, known + smoothingWeight * (observed - known))
  }

  /** The factor of a queue; 1 if no task was observed. */
  of (queue: string): number { return this.factors.get(queue) ?? 1 }
}
