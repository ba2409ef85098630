import type { RunOrder } from '../../core/jobs'
import { createHeldRun, type HeldRun } from './heldRun'

/** The runs which an agent holds of one boot of its worker; a task may have a former run there besides the present one. */
export class HeldRuns {
  private readonly byTask = new Map<string, Map<number, HeldRun>>()

  find (task: string, run: number): HeldRun | undefined { return this.byTask.get(task)?.get(run) }

  /** All runs; one that is removed meanwhile is left out. */
  * all (): Iterable<HeldRun> {
    for (const runs of this.byTask.values()) yield * runs.values()
  }

  /** Adds a run; one with the same task and number is replaced. */
  add (order: RunOrder, inheritedFrom = ''): HeldRun {
    const held = createHeldRun(order, inheritedFrom)
    const runs = this.byTask.get(order.task) ?? new Map<number, HeldRun>()
    runs.set(order.run, held)
    this.byTask.set(order.task, runs)
    return held
  }

  remove ({ order: { task, run } }: HeldRun): void {
    const runs = this.byTask.get(task)
    runs?.delete(run)
    if (runs?.size === 0) this.byTask.delete(task)
  }

  /** The other runs of the task of a run. */
  othersOf ({ order }: HeldRun): readonly HeldRun[] {
    return [...this.byTask.get(order.task)?.values() ?? []].filter(other => other.order.run !== order.run)
  }
}
