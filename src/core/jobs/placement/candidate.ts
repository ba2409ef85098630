import type { Resources } from '../../catalogue'
import { addResources, hasRoomFor, noResources, subtractResources } from '../../ledger/resources'
import { type JobBook, reservationOf, type Step } from '../book'
import type { KnownWorker } from '../workers'

/** A worker that may be assigned runs, with its remaining resources while a plan is made. */
export interface Candidate {
  readonly known: KnownWorker
  /** Resources that may still be reserved. */
  freeResources: Resources
  /** Capacity less what long-running tasks reserve: the most that could become free without ending a long-running task. */
  reclaimableResources: Resources
  /** Processors that filling tasks use; they are not reserved. */
  filledProcessors: number
  /** Processors that the filling tasks of each image use. */
  readonly filledByImage: Map<string, number>
  /** Tasks on the worker with a tail latency target; filling tasks slow them down. */
  servingTasks: number
  /** Processors reserved by serving tasks, by image. */
  readonly servingByImage: Map<string, number>
  /** Whether a serving task on the worker exceeded its latency target when it was last listed. */
  readonly exceedsTarget: boolean
  /** Whether it is held for a long-running task, so that no other task starts on it in this plan. */
  isHeld: boolean
  /** Runs assigned to it in this plan. */
  assignedRuns: number
  /** The most runs that may be assigned to it in this plan; limits the runs that an unproven worker can fail. */
  mayTake: number
  /** Its speed as a fraction of the usual one. */
  speed: number
}

/** Creates the candidate of a worker from the live tasks and reservations that the book has for it. */
export function createCandidate (known: KnownWorker, book: JobBook, mayTake: number, speed = 1): Candidate {
  const { capacity, worker } = known.report
  const candidate: Candidate = { known, exceedsTarget: hasTaskAboveTarget(known, book), freeResources: subtractResources(capacity, book.reservedOn(worker)), reclaimableResources: capacity, filledProcessors: 0, filledByImage: new Map(), servingTasks: 0, servingByImage: new Map(), isHeld: false, assignedRuns: 0, mayTake, speed }
  for (const task of book.liveOn(worker).values()) {
    const step = book.job(task.jobId)?.steps[task.step]
    if (step !== undefined) countTask(candidate, step)
  }
  return candidate
}

/** Reserves resources for one more run of a step on a candidate. */
export function reserveResources (candidate: Candidate, step: Step): void {
  candidate.freeResources = subtractResources(candidate.freeResources, reservationOf(step))
  candidate.assignedRuns += 1
  countTask(candidate, step)
}

/** Whether less than half of the processors of a pool are reserved. */
export function isLightlyReserved (candidates: readonly Candidate[], pool: string): boolean {
  const inPool = candidates.filter(candidate => candidate.known.report.pool === pool)
  const capacity = inPool.reduce((sum, candidate) => sum + candidate.known.report.capacity.processors, 0)
  const free = inPool.reduce((sum, candidate) => sum + candidate.freeResources.processors, 0)
  return free > capacity / 2
}

/** Total capacity of the workers of a pool. */
export function poolCapacity (candidates: readonly Candidate[], pool: string): Resources {
  return candidates.reduce((sum, { known: { report } }) => report.pool === pool ? addResources(sum, report.capacity) : sum, noResources)
}

/** Whether an empty worker could run a task of a step. */
export function canEverRun (known: KnownWorker, pool: string, step: Step): boolean {
  const { report } = known
  return report.pool === pool && hasLabel(known, step) && hasRoomFor(report.capacity, reservationOf(step))
}

/** Whether a worker could fit a task of a step without ending a long-running task. */
export function couldFit (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.reclaimableResources, reservationOf(step))
}

/** How many tasks of a step a worker could fit without ending a long-running task; always at least 1, so call it only if `couldFit` holds. */
export function countFittingTasks ({ reclaimableResources }: Candidate, step: Step): number {
  const { processors, memoryMb, accelerators } = reservationOf(step)
  return Math.max(1, Math.floor(Math.min(
    processors > 0 ? reclaimableResources.processors / processors : Number.POSITIVE_INFINITY,
    memoryMb > 0 ? reclaimableResources.memoryMb / memoryMb : Number.POSITIVE_INFINITY,
    accelerators > 0 ? reclaimableResources.accelerators / accelerators : Number.POSITIVE_INFINITY
  )))
}

/** How many tasks of a step a worker can fit now; unlimited for a step without resources. */
export function countRunnableTasks ({ freeResources }: Candidate, step: Step): number {
  const { processors, memoryMb, accelerators } = reservationOf(step)
  return Math.max(0, Math.floor(Math.min(
    processors > 0 ? freeResources.processors / processors : Number.POSITIVE_INFINITY,
    memoryMb > 0 ? freeResources.memoryMb / memoryMb : Number.POSITIVE_INFINITY,
    accelerators > 0 ? freeResources.accelerators / accelerators : Number.POSITIVE_INFINITY
  )))
}

/** Whether a worker can fit a task of a step now. */
export function mayRun (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.freeResources, reservationOf(step))
}

function countTask (candidate: Candidate, step: Step): void {
  if (step.isLongRunning) candidate.reclaimableResources = subtractResources(candidate.reclaimableResources, reservationOf(step))
  if (step.isFilling) {
    candidate.filledProcessors += step.processors
    addAmount(candidate.filledByImage, step.image, step.processors)
  }
  if (step.targetMs > 0) {
    candidate.servingTasks += 1
    addAmount(candidate.servingByImage, step.image, step.processors)
  }
}

/** Adds to the amount stored under a key, starting at 0. */
export function addAmount (amounts: Map<string, number>, key: string, amount: number): void {
  amounts.set(key, (amounts.get(key) ?? 0) + amount)
}

/** Whether a worker has the label that a step requires. */
export function hasLabel ({ report }: KnownWorker, step: Step): boolean {
  return step.requiredLabel === '' || report.labels.includes(step.requiredLabel)
}

function hasTaskAboveTarget ({ running }: KnownWorker, book: JobBook): boolean {
  return [...running.values()].some(({ task, percent, tailLatencyMs = 0 }) => {
    const targetMs = book.stepOf(task)?.targetMs ?? 0
    return targetMs > 0 && percent >= 100 && tailLatencyMs > targetMs
  })
}
