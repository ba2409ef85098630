import type { Resources } from '../catalogue'
import { addResources, hasRoomFor } from '../ledger'
import type { PlacementTask } from './placementPolicy'

/** A running task that may be evicted. */
export interface EvictableTask {
  readonly taskId: string
  readonly attempt: number
  readonly worker: string
  readonly reservation: Resources
  /** When this attempt started, in milliseconds; evicting a younger attempt loses less work. */
  readonly startedAt: number
}

/** A worker with its unreserved resources. */
export interface PreemptionWorker {
  readonly name: string
  readonly room: Resources
}

/** The input of one preemption round. */
export interface PreemptionInput {
  /** Services and urgent tasks that no worker has room for. */
  readonly blocked: readonly PlacementTask[]
  readonly workers: readonly PreemptionWorker[]
  /** Batch tasks that are neither urgent nor being evicted already. */
  readonly evictable: readonly EvictableTask[]
  /** The number of evictions allowed in this round. */
  readonly budget: number
}

/** Chooses the batch tasks to evict so that blocked services and urgent tasks fit: the fewest per blocked task, the youngest of a worker first. */
export function planEvictions (input: PreemptionInput): readonly EvictableTask[] {
  const evictions: EvictableTask[] = []
  const affectedWorkers = new Set<string>()
  for (const task of input.blocked) {
    const chosen = chooseFewest(input.workers.flatMap(worker => {
      if (affectedWorkers.has(worker.name) || task.avoided.includes(worker.name)) return []
      const victims = findVictims(worker, task, input.evictable)
      return victims === undefined ? [] : [victims]
    }))
    if (chosen === undefined || evictions.length + chosen.length > input.budget) continue
    evictions.push(...chosen)
    for (const victim of chosen) affectedWorkers.add(victim.worker)
  }
  return evictions
}

/** The youngest tasks of a worker whose eviction makes room for the task; undefined if no eviction is needed or none suffices. */
function findVictims (worker: PreemptionWorker, task: PlacementTask, evictable: readonly EvictableTask[]): readonly EvictableTask[] | undefined {
  const candidates = evictable.filter(candidate => candidate.worker === worker.name).sort((a, b) => b.startedAt - a.startedAt)
  let room = worker.room
  const victims: EvictableTask[] = []
  for (const candidate of candidates) {
    if (hasRoomFor(room, task.reservation)) break
    room = addResources(room, candidate.reservation)
    victims.push(candidate)
  }
  return victims.length > 0 && hasRoomFor(room, task.reservation) ? victims : undefined
}

function chooseFewest (options: ReadonlyArray<readonly EvictableTask[]>): readonly EvictableTask[] | undefined {
  return [...options].sort((a, b) => a.length - b.length)[0]
}
