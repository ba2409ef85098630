import type { Resources } from '../catalogue'
import { hasRoomFor } from '../ledger'

/** A task that waits for a worker. */
export interface PlacementTask {
  readonly taskId: string
  readonly entry: string
  readonly organisation: string
  readonly isService: boolean
  readonly isUrgent: boolean
  readonly waitingSince: number
  readonly reservation: Resources
  /** Workers that must not run the task, because it failed there. */
  readonly avoided: readonly string[]
}

/** A worker that accepts tasks. */
export interface PlacementWorker {
  readonly name: string
  readonly rack: string
  readonly zone: string
  readonly capacity: Resources
  readonly room: Resources
  /** The catalogue entries of the tasks that run there. */
  readonly neighbors: readonly string[]
  /** The number of new tasks that it may be assigned in this round. */
  readonly openings: number
}

/** Rates the workers that have room for a task. */
export abstract class PlacementPolicy {
  abstract readonly name: string
  /** The cost of a worker for a task; the planner chooses the lowest cost, and never an infinite one. */
  abstract cost (task: PlacementTask, worker: PlacementWorker): number
}

/** Accepts the first worker that has room. */
export class FirstFitPlacement extends PlacementPolicy {
  override readonly name = 'first_fit'

  override cost (): number {
    return 0
  }
}

/** Prefers the worker with the largest free share of its resources. */
export class LeastLoadedPlacement extends PlacementPolicy {
  override readonly name = 'least_loaded'

  override cost (task: PlacementTask, worker: PlacementWorker): number {
    return reservedShare(task, worker)
  }
}

/** Cost weights of a SpreadingPlacement. */
export interface SpreadingOptions {
  /** Cost of another instance of the same service on the same rack. */
  readonly sameRack: number
  /** Cost of another instance of the same service in the same availability zone. */
  readonly sameZone: number
  /** Cost of stranding accelerators: a task without one uses the processors and memory that a task with one needs. */
  readonly strandedAccelerator: number
}

/** Prefers the least loaded worker, spreads services over racks and zones, and avoids stranding accelerators. */
export class SpreadingPlacement extends PlacementPolicy {
  override readonly name = 'spreading'

  constructor (private readonly options: SpreadingOptions = { sameRack: 0.4, sameZone: 0.2, strandedAccelerator: 1 }) {
    super()
  }

  override cost (task: PlacementTask, worker: PlacementWorker): number {
    const stranded = task.reservation.accelerators === 0 && worker.room.accelerators > 0
      ? this.options.strandedAccelerator * reservedShare(task, worker)
      : 0
    const colocation = task.isService ? this.colocationCost(task, worker) : 0
    return reservedShare(task, worker) + stranded + colocation
  }

  private colocationCost (task: PlacementTask, worker: PlacementWorker): number {
    const same = worker.neighbors.filter(neighbor => neighbor === task.entry).length
    return same * (this.options.sameRack + this.options.sameZone)
  }
}

/** Whether the amount is within the capacity of at least one worker. */
export function fitsSomeWorker (workers: ReadonlyArray<{ readonly capacity: Resources }>, amount: Resources): boolean {
  return workers.some(worker => hasRoomFor(worker.capacity, amount))
}

/** The higher of the shares of processors and memory that are reserved once the task is placed. */
function reservedShare (task: PlacementTask, worker: PlacementWorker): number {
  const { capacity, room } = worker
  const processors = share(capacity.processors - room.processors + task.reservation.processors, capacity.processors)
  const memory = share(capacity.memoryMb - room.memoryMb + task.reservation.memoryMb, capacity.memoryMb)
  return Math.max(processors, memory)
}

function share (used: number, capacity: number): number {
  return capacity === 0 ? 1 : used / capacity
}
