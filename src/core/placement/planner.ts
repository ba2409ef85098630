import type { Resources } from '../catalogue'
import { addResources, hasRoomFor, noResources, subtractResources } from '../ledger'
import { fitsSomeWorker, type PlacementPolicy, type PlacementTask, type PlacementWorker } from './placementPolicy'

/** The input of one planning round. */
export interface PlanningInput {
  readonly tasks: readonly PlacementTask[]
  readonly workers: readonly PlacementWorker[]
  /** The capacity of every worker, including those that accept no tasks at present. */
  readonly allCapacities: ReadonlyArray<{ readonly capacity: Resources }>
  /** The resources that an organisation may still reserve; undefined without a quota. */
  readonly remainingQuota: (organisation: string) => Resources | undefined
  readonly now: number
}

/** A proposed assignment of a task to a worker. */
export interface PlannedAssignment {
  readonly task: PlacementTask
  readonly worker: string
}

/** The result of one planning round. */
export interface Plan {
  readonly assignments: readonly PlannedAssignment[]
  /** Tasks that exceed the capacity of every worker. */
  readonly unschedulable: readonly PlacementTask[]
  /** Services and urgent tasks within their quota that no worker has room for. */
  readonly blocked: readonly PlacementTask[]
}

/** Options of a Planner. */
export interface PlannerOptions {
  readonly policy: PlacementPolicy
  /** The maximum number of assignments in one round. */
  readonly maximumAssignments: number
  /** Waiting time after which a batch task is ranked as urgent, in milliseconds. */
  readonly agingMs: number
  /** The maximum number of workers with room that are scored for one task; a larger site is sampled. */
  readonly sampleSize: number
  /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number
}

/** Assigns queued tasks to workers, in rounds. */
export class Planner {
  constructor (private readonly options: PlannerOptions) {}

  plan (input: PlanningInput): Plan {
    const workers = input.workers.map(worker => ({ ...worker }))
    const reserved = new Map<string, Resources>()
    const assignments: PlannedAssignment[] = []
    const unschedulable: PlacementTask[] = []
    const blocked: PlacementTask[] = []
    for (const task of this.sortByPriority(input)) {
      if (assignments.length >= this.options.maximumAssignments) break
      if (!fitsSomeWorker(input.allCapacities, task.reservation)) {
        unschedulable.push(task)
        continue
      }
      if (!isWithinQuota(task, input, reserved)) continue
      const position = this.chooseWorker(task, workers)
      const worker = workers[position]
      if (worker === undefined) {
        if (task.isService || task.isUrgent) blocked.push(task)
        continue
      }
      workers[position] = occupy(worker, task)
      reserved.set(task.organisation, addResources(reserved.get(task.organisation) ?? noResources, task.reservation))
      assignments.push({ task, worker: worker.name })
    }
    return { assignments, unschedulable, blocked }
  }

  /** Orders tasks by rank (services, urgent or long-waiting batch tasks, other batch tasks); within a rank organisations take turns, each in order of waiting time. */
  private sortByPriority (input: PlanningInput): readonly PlacementTask[] {
    const rank = (task: PlacementTask): number => {
      if (task.isService) return 0
      return task.isUrgent || input.now - task.waitingSince > this.options.agingMs ? 1 : 2
    }
    const turns = new Map<string, number>()
    const sorted = [...input.tasks].sort((a, b) => a.waitingSince - b.waitingSince)
    const keyed = sorted.map(task => {
      const turnKey = `${rank(task)} ${task.organisation}`
      const turn = turns.get(turnKey) ?? 0
      turns.set(turnKey, turn + 1)
      return { task, rank: rank(task), turn }
    })
    return keyed.sort((a, b) => a.rank - b.rank || a.turn - b.turn || a.task.waitingSince - b.task.waitingSince).map(key => key.task)
  }

  /** Returns the position of the cheapest sampled worker, or -1. The sample starts at a random worker and proceeds by a stride that spreads it over racks and zones. */
  private chooseWorker (task: PlacementTask, workers: readonly PlacementWorker[]): number {
    let best = -1
    let bestCost = Number.POSITIVE_INFINITY
    let scored = 0
    const stride = findCoprimeStride(workers.length)
    let position = Math.floor(this.options.random() * workers.length)
    for (let count = 0; count < workers.length && scored < this.options.sampleSize; count += 1) {
      position = (position + stride) % workers.length
      const worker = workers[position]
      if (worker === undefined || !isFeasible(worker, task)) continue
      scored += 1
      const cost = this.options.policy.cost(task, worker)
      if (cost >= bestCost) continue
      best = position
      bestCost = cost
    }
    return best
  }
}

function isFeasible (worker: PlacementWorker, task: PlacementTask): boolean {
  return worker.openings >= 1 && hasRoomFor(worker.room, task.reservation) && !task.avoided.includes(worker.name)
}

const goldenRatio = 0.618

/** A stride coprime to the length, so that every position is visited once. */
function findCoprimeStride (length: number): number {
  let stride = Math.max(1, Math.floor(length * goldenRatio))
  while (greatestCommonDivisor(stride, length) > 1) stride += 1
  return stride
}

function greatestCommonDivisor (a: number, b: number): number {
  return b === 0 ? a : greatestCommonDivisor(b, a % b)
}

function isWithinQuota (task: PlacementTask, input: PlanningInput, reserved: ReadonlyMap<string, Resources>): boolean {
  const left = input.remainingQuota(task.organisation)
  if (left === undefined) return true
  return hasRoomFor(subtractResources(left, reserved.get(task.organisation) ?? noResources), task.reservation)
}

function occupy (worker: PlacementWorker, task: PlacementTask): PlacementWorker {
  return {
    ...worker,
    room: subtractResources(worker.room, task.reservation),
    neighbors: [...worker.neighbors, task.entry],
    openings: worker.openings - 1
  }
}
