import { BoundedMap } from '../../boundedMap'

/** Weight of one task; a few steps of ten tasks decide. */
const weight = 0.05
/** Declared durations are off by up to 1.5 times and workers are up to a third slower; a factor beyond this comes from contention, which capacity already accounts for. */
const largestFactor = 2
const maximumQueues = 1000

/** How long the tasks of each queue take, as a multiple of their declared duration. */
export class DurationFactors {
  private readonly factors = new BoundedMap<string, number>(maximumQueues)

  /** Takes how long a task took from its assignment to its end, in milliseconds. */
  observe (queue: string, declaredMs: number, tookMs: number): void {
    if (declaredMs <= 0 || tookMs <= 0) return
    const observed = Math.min(largestFactor, Math.max(1 / largestFactor, tookMs / declaredMs))
    const known = this.of(queue)
    this.factors.set(queue, known + weight * (observed - known))
  }

  /** The factor of a queue; 1 if nothing is known. */
  of (queue: string): number { return this.factors.get(queue) ?? 1 }
}
