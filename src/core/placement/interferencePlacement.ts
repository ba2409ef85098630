import type { InterferenceModel } from '../interference'
import { PlacementPolicy, type PlacementTask, type PlacementWorker } from './placementPolicy'

/** Adds the expected slowdown of the task and of its neighbors to the cost given by another policy. */
export class InterferencePlacement extends PlacementPolicy {
  override readonly name = 'interference'

  /** `weight` is the cost of a slowdown by 100%. */
  constructor (private readonly base: PlacementPolicy, private readonly model: InterferenceModel, private readonly weight: number) {
    super()
  }

  override cost (task: PlacementTask, worker: PlacementWorker): number {
    const own = this.model.slowdown(task.entry, worker.neighbors)
    const caused = worker.neighbors.reduce((sum, neighbor) => sum + this.model.slowdown(neighbor, [task.entry]), 0)
    return this.base.cost(task, worker) + this.weight * (own + caused)
  }
}
