import type { Resources } from '../catalogue'
import { addResources, hasRoomFor, noResources, subtractResources } from '../ledger'
import { couldEverHold, type PlacementPolicy, type PlacementTask, type PlacementWorker } from './placementPolicy'

/** What one round of planning starts from. */
export interface PlanningInput {
  readonly tasks: readonly PlacementTask[]
  readonly workers: readonly PlacementWorker[]
  /** The capacity of every worker, also of those which take nothing at present. */
  readonly allCapacities: ReadonlyArray<{ readonly capacity: Resources }>
  /** What each organisation may still reserve; absent without a quota. */
  readonly quotaLeft: (organisation: string) => Resources | undefined
  readonly now: number
}

/** A proposed assignment. */
export interface PlannedAssignment {
  readonly task: PlacementTask
  readonly worker: string
}

/** The outcome of one round of planning. */
export interface Plan {
  readonly assignments: readonly PlannedAssignment[]
  /** Tasks which no worker could hold even when empty. */
  readonly impossible: readonly PlacementTask[]
  /** Services and urgent tasks which are within their quota but found no worker. */
  readonly blocked: readonly PlacementTask[]
}

/** Options of a planner. */
export interface PlannerOptions {
  readonly policy: PlacementPolicy
  /** Assignments in one round. */
  readonly maximumAssignments: number
  /** Waiting time after which a batch task counts as urgent, in milliseconds. */
  readonly agingMs: number
  /** Workers with room which are weighed for one task; a larger site is sampled. */
  readonly sampleSize: number
  /** A random number from 0 to 1. */
  readonly random: () => number
}

/** Plans which queued task goes to which worker. */
export class Planner {
  constructor (private readonly options: PlannerOptions) {}

  plan (input: PlanningInput): Plan {
    const workers = input.workers.map(worker => ({ ...worker }))
    const spent = new Map<string, Resources>()
    const assignments: PlannedAssignment[] = []
    const impossible: PlacementTask[] = []
    const blocked: PlacementTask[] = []
    for (const task of this.inOrder(input)) {
      if (assignments.length >= this.options.maximumAssignments) break
      if (!couldEverHold(input.allCapacities, task.reservation)) {
        impossible.push(task)
        continue
      }
      if (!isWithinQuota(task, input, spent)) continue
      const position = this.chooseWorker(task, workers)
      const worker = workers[position]
      if (worker === undefined) {
        if (task.isService || task.isUrgent) blocked.push(task)
        continue
      }
      workers[position] = occupy(worker, task)
      spent.set(task.organisation, addResources(spent.get(task.organisation) ?? noResources, task.reservation))
      assignments.push({ task, worker: worker.name })
    }
    return { assignments, impossible, blocked }
  }

  /** Services first, then urgent or long-waiting batch tasks, then by time; organisations take turns. */
  private inOrder (input: PlanningInput): readonly PlacementTask[] {
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

  /** Weighs workers from a random start on, in steps which scatter over racks and zones. */
  private chooseWorker (task: PlacementTask, workers: readonly PlacementWorker[]): number {
    let best = -1
    let bestCost = Number.POSITIVE_INFINITY
    let weighed = 0
    const stride = scatteringStride(workers.length)
    let position = Math.floor(this.options.random() * workers.length)
    for (let count = 0; count < workers.length && weighed < this.options.sampleSize; count += 1) {
      position = (position + stride) % workers.length
      const worker = workers[position]
      if (worker === undefined || !isOpenFor(worker, task)) continue
      weighed += 1
      const cost = this.options.policy.cost(task, worker)
      if (cost >= bestCost) continue
      best = position
      bestCost = cost
    }
    return best
  }
}

function isOpenFor (worker: PlacementWorker, task: PlacementTask): boolean {
  return worker.openings >= 1 && hasRoomFor(worker.room, task.reservation) && !task.avoided.includes(worker.name)
}

const goldenRatio = 0.618

/** A step which has no divisor in common with the length, so that every position comes up once. */
function scatteringStride (length: number): number {
  let stride = Math.max(1, Math.floor(length * goldenRatio))
  while (greatestDivisor(stride, length) > 1) stride += 1
  return stride
}

function greatestDivisor (a: number, b: number): number {
  return b === 0 ? a : greatestDivisor(b, a % b)
}

function isWithinQuota (task: PlacementTask, input: PlanningInput, spent: ReadonlyMap<string, Resources>): boolean {
  const left = input.quotaLeft(task.organisation)
  if (left === undefined) return true
  return hasRoomFor(subtractResources(left, spent.get(task.organisation) ?? noResources), task.reservation)
}

function occupy (worker: PlacementWorker, task: PlacementTask): PlacementWorker {
  return {
    ...worker,
    room: subtractResources(worker.room, task.reservation),
    neighbors: [...worker.neighbors, task.entry],
    openings: worker.openings - 1
  }
}
