import type { RunOrder } from '../../core/jobs'
import { createTrackedRun, type TrackedRun } from './trackedRun'

/** The runs that an agent tracks at one boot of its worker; a task may have former runs there beside the current one. */
export class TrackedRuns {
  private readonly byTask = new Map<string, Map<number, TrackedRun>>()

  find (task: string, run: number): TrackedRun | undefined { return this.byTask.get(task)?.get(run) }

  /** Iterates over all runs; those removed during the iteration are skipped. */
  * all (): Iterable<TrackedRun> {
    for (const runs of this.byTask.values()) yield * runs.values()
  }

  /** Adds a run and replaces one with the same task and number. */
  add (order: RunOrder, inheritedFrom = ''): TrackedRun {
    const tracked = createTrackedRun(order, inheritedFrom)
    const runs = this.byTask.get(order.task) ?? new Map<number, TrackedRun>()
    runs.set(order.run, tracked)
    this.byTask.set(order.task, runs)
    return tracked
  }

  remove ({ order: { task, run } }: TrackedRun): void {
    const runs = this.byTask.get(task)
    runs?.delete(run)
    if (runs?.size === 0) this.byTask.delete(task)
  }

  /** The other tracked runs of the same task. */
  otherRunsOf ({ order }: TrackedRun): readonly TrackedRun[] {
    return [...this.byTask.get(order.task)?.values() ?? []].filter(other => other.order.run !== order.run)
  }
}
