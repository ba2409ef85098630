import type { RunOrder } from '../../core/jobs'
import { createHeldRun, type HeldRun } from './heldRun'

/** The runs that an agent tracks at one boot of its worker; a task may have former runs there beside the current one. */
export class HeldRuns {
  private readonly byTask = new Map<string, Map<number, HeldRun>>()

  find (task: string, run: number): HeldRun | undefined { return this.byTask.get(task)?.get(run) }

  /** Iterates over all runs; those removed during the iteration are skipped. */
  * all (): Iterable<HeldRun> {
    for (const runs of this.byTask.values()) yield * runs.values()
  }

  /** Adds a run and replaces one with the same task and number. */
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

  /** The other tracked runs of the same task. */
  othersOf ({ order }: HeldRun): readonly HeldRun[] {
    return [...this.byTask.get(order.task)?.values() ?? []].filter(other => other.order.run !== order.run)
  }
}
