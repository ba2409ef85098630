import type { JobBook, StepTasks } from '../book'
import { reorderWithinKeys } from './reorderWithinKeys'
import { JobOrder } from './jobOrder'
import { type PoolCapacity, type ZoneShare, ZoneShares } from './zoneShares'

/**
 * Wraps another order and shares each contended pool fairly between callers' zones, among jobs of the same rank. Started
 * and queued jobs are reordered separately: reordered together, started jobs of one zone wait for queued jobs of another,
 * which costs up to 0.03 of the total worth in the emulator's scenario zone-waves.
 */
export class FairOrder extends JobOrder {
  private readonly shares = new ZoneShares()

  constructor (private readonly inner: JobOrder) { super() }

  override order (book: JobBook, wallClock: number, capacityOf: PoolCapacity): readonly StepTasks[] {
    const groups = this.inner.order(book, wallClock, capacityOf)
    const contended = this.shares.observe(book, groups, capacityOf, wallClock)
    if (contended.size === 0) return groups
    const keyOf = (group: StepTasks): string | undefined => {
      const { pool } = group.job.queue
      return group.step.isLongRunning || !contended.has(pool) ? undefined : `${pool} ${this.rankOf(group, wallClock)} ${group.job.state}`
    }
    return reorderWithinKeys(groups, keyOf, competing => this.shares.reorder(competing, capacityOf))
  }

  override rankOf (group: StepTasks, wallClock: number): number { return this.inner.rankOf(group, wallClock) }

  override clear (): void {
    this.inner.clear()
    this.shares.clear()
  }

  override reportShares (): readonly ZoneShare[] { return this.shares.report() }
}
