import type { Resources } from '../catalogue'
import { hasRoomFor } from '../ledger'

/** A task which waits for a worker. */
export interface PlacementTask {
  readonly taskId: string
  readonly entry: string
  readonly organisation: string
  readonly isService: boolean
  readonly isUrgent: boolean
  readonly waitingSince: number
  readonly reservation: Resources
  /** Workers which it must not go to, because it failed there. */
  readonly avoided: readonly string[]
}

/** A worker which takes tasks. */
export interface PlacementWorker {
  readonly name: string
  readonly rack: string
  readonly zone: string
  readonly capacity: Resources
  readonly room: Resources
  /** The catalogue entries of the tasks which run there. */
  readonly neighbors: readonly string[]
  /** New tasks which it may be given in this round. */
  readonly openings: number
}

/** Chooses a worker for a task among those which have room. */
export abstract class PlacementPolicy {
  abstract readonly name: string
  /** The cost of a worker for a task; the least is chosen, and an infinite one never. */
  abstract cost (task: PlacementTask, worker: PlacementWorker): number
}

/** The first worker which has room. */
export class FirstFitPlacement extends PlacementPolicy {
  override readonly name = 'first_fit'

  override cost (): number {
    return 0
  }
}

/** The worker with the largest share of its resources free. */
export class LeastLoadedPlacement extends PlacementPolicy {
  override readonly name = 'least_loaded'

  override cost (task: PlacementTask, worker: PlacementWorker): number {
    return usedShare(task, worker)
  }
}

/** Weights of the costs of a placement. */
export interface SpreadingOptions {
  /** Cost of an instance of the same service on the same rack. */
  readonly sameRack: number
  /** Cost of an instance of the same service in the same availability zone. */
  readonly sameZone: number
  /** Cost of an accelerator which a task without one makes unreachable. */
  readonly strandedAccelerator: number
}

/** Least loaded, with services spread over racks and zones, and accelerators kept reachable. */
export class SpreadingPlacement extends PlacementPolicy {
  override readonly name = 'spreading'

  constructor (private readonly options: SpreadingOptions = { sameRack: 0.4, sameZone: 0.2, strandedAccelerator: 1 }) {
    super()
  }

  override cost (task: PlacementTask, worker: PlacementWorker): number {
    const stranded = task.reservation.accelerators === 0 && worker.room.accelerators > 0
      ? this.options.strandedAccelerator * usedShare(task, worker)
      : 0
    const crowded = task.isService ? this.crowding(task, worker) : 0
    return usedShare(task, worker) + stranded + crowded
  }

  private crowding (task: PlacementTask, worker: PlacementWorker): number {
    const same = worker.neighbors.filter(neighbor => neighbor === task.entry).length
    return same * (this.options.sameRack + this.options.sameZone)
  }
}

/** Whether a worker of this size could ever hold the amount. */
export function couldEverHold (workers: ReadonlyArray<{ readonly capacity: Resources }>, amount: Resources): boolean {
  return workers.some(worker => hasRoomFor(worker.capacity, amount))
}

/** The largest share of a resource which is in use once the task is there. */
function usedShare (task: PlacementTask, worker: PlacementWorker): number {
  const { capacity, room } = worker
  const processors = share(capacity.processors - room.processors + task.reservation.processors, capacity.processors)
  const memory = share(capacity.memoryMb - room.memoryMb + task.reservation.memoryMb, capacity.memoryMb)
  return Math.max(processors, memory)
}

function share (used: number, capacity: number): number {
  return capacity === 0 ? 1 : used / capacity
}
