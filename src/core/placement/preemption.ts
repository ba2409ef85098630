import type { Resources } from '../catalogue'
import { addResources, hasRoomFor } from '../ledger'
import type { PlacementTask } from './placementPolicy'

/** A running task which may be evicted. */
export interface EvictableTask {
  readonly taskId: string
  readonly attempt: number
  readonly worker: string
  readonly reservation: Resources
  /** When this attempt started; younger ones lose less work. */
  readonly startedAt: number
}

/** A worker with the room that it has left. */
export interface PreemptionWorker {
  readonly name: string
  readonly room: Resources
}

/** What one round of preemption starts from. */
export interface PreemptionInput {
  /** Services and urgent tasks which found no worker. */
  readonly blocked: readonly PlacementTask[]
  readonly workers: readonly PreemptionWorker[]
  /** Batch tasks which are neither urgent nor on their way out. */
  readonly evictable: readonly EvictableTask[]
  /** Evictions which are allowed in this round. */
  readonly budget: number
}

/** Chooses the fewest and youngest batch tasks whose eviction makes room for services and urgent tasks. */
export function planEvictions (input: PreemptionInput): readonly EvictableTask[] {
  const evictions: EvictableTask[] = []
  const taken = new Set<string>()
  for (const task of input.blocked) {
    const chosen = cheapest(input.workers.flatMap(worker => {
      if (taken.has(worker.name) || task.avoided.includes(worker.name)) return []
      const victims = victimsOn(worker, task, input.evictable)
      return victims === undefined ? [] : [victims]
    }))
    if (chosen === undefined || evictions.length + chosen.length > input.budget) continue
    evictions.push(...chosen)
    for (const victim of chosen) taken.add(victim.worker)
  }
  return evictions
}

/** The youngest tasks of a worker whose eviction is enough; undefined if none are. */
function victimsOn (worker: PreemptionWorker, task: PlacementTask, evictable: readonly EvictableTask[]): readonly EvictableTask[] | undefined {
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

function cheapest (options: ReadonlyArray<readonly EvictableTask[]>): readonly EvictableTask[] | undefined {
  return [...options].sort((a, b) => a.length - b.length)[0]
}
