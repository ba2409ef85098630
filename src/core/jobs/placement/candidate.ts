import type { Resources } from '../../catalogue'
import { addResources, hasRoomFor, noResources, subtractResources } from '../../ledger/resources'
import { type JobBook, reservationOf, type Step } from '../book'
import type { KnownWorker } from '../workers'

/** A worker which may take runs, with what is left of it while a plan is made. */
export interface Candidate {
  readonly known: KnownWorker
  /** What may still be reserved. */
  room: Resources
  /** What long-running tasks leave of it: the most room that could come there without a long-running task ending. */
  clearableRoom: Resources
  /** Processors that filling tasks use of what is not reserved. */
  filledProcessors: number
  /** Processors that the filling tasks of each image use. */
  readonly filledByImage: Map<string, number>
  /** Tasks there with a target for their tail latency, which filling tasks disturb. */
  servingTasks: number
  /** Processors reserved for such tasks, by their image. */
  readonly servingByImage: Map<string, number>
  /** Whether a serving task there was above its target when it was last listed. */
  readonly isPressed: boolean
  /** Whether it is kept free for a long-running task. */
  isHeld: boolean
  /** Runs which were given to it in this plan. */
  given: number
  /** The most runs which it may be given now; bounds what an unproven worker can spoil. */
  mayTake: number
  /** Its speed as a share of the usual one. */
  speed: number
}

/** Makes the candidate of a worker from what the book has reserved on it. */
export function createCandidate (known: KnownWorker, book: JobBook, mayTake: number, speed = 1): Candidate {
  const { capacity, worker } = known.report
  const candidate: Candidate = { known, isPressed: isPressed(known, book), room: subtractResources(capacity, book.reservedOn(worker)), clearableRoom: capacity, filledProcessors: 0, filledByImage: new Map(), servingTasks: 0, servingByImage: new Map(), isHeld: false, given: 0, mayTake, speed }
  for (const task of book.liveOn(worker).values()) {
    const step = book.job(task.jobId)?.steps[task.step]
    if (step !== undefined) countStep(candidate, step)
  }
  return candidate
}

/** Takes the room of a run from a candidate. */
export function takeRoom (candidate: Candidate, step: Step): void {
  candidate.room = subtractResources(candidate.room, reservationOf(step))
  candidate.given += 1
  countStep(candidate, step)
}

/** Whether less than half of the processors of a pool are reserved. */
export function isLightlyReserved (candidates: readonly Candidate[], pool: string): boolean {
  const inPool = candidates.filter(candidate => candidate.known.report.pool === pool)
  const capacity = inPool.reduce((sum, candidate) => sum + candidate.known.report.capacity.processors, 0)
  const free = inPool.reduce((sum, candidate) => sum + candidate.room.processors, 0)
  return free > capacity / 2
}

/** What the workers of a pool hold together. */
export function poolCapacity (candidates: readonly Candidate[], pool: string): Resources {
  return candidates.reduce((sum, { known: { report } }) => report.pool === pool ? addResources(sum, report.capacity) : sum, noResources)
}

/** Whether a worker could ever run a task of a step, were it empty. */
export function couldRun (known: KnownWorker, pool: string, step: Step): boolean {
  const { report } = known
  return report.pool === pool && hasLabel(known, step) && hasRoomFor(report.capacity, reservationOf(step))
}

/** Whether a worker could get room for a task of a step without a long-running task ending there. */
export function couldGetRoom (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.clearableRoom, reservationOf(step))
}

/** How many tasks of a step a worker could hold without a long-running task ending there; at least one if it could get room for one. */
export function placesAt ({ clearableRoom }: Candidate, step: Step): number {
  const { processors, memoryMb, accelerators } = reservationOf(step)
  return Math.max(1, Math.floor(Math.min(
    processors > 0 ? clearableRoom.processors / processors : Number.POSITIVE_INFINITY,
    memoryMb > 0 ? clearableRoom.memoryMb / memoryMb : Number.POSITIVE_INFINITY,
    accelerators > 0 ? clearableRoom.accelerators / accelerators : Number.POSITIVE_INFINITY
  )))
}

/** Whether a worker has room for a task of a step now. */
export function mayRun (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.room, reservationOf(step))
}

function countStep (candidate: Candidate, step: Step): void {
  if (step.isLongRunning) candidate.clearableRoom = subtractResources(candidate.clearableRoom, reservationOf(step))
  if (step.isFilling) {
    candidate.filledProcessors += step.processors
    add(candidate.filledByImage, step.image, step.processors)
  }
  if (step.targetMs > 0) {
    candidate.servingTasks += 1
    add(candidate.servingByImage, step.image, step.processors)
  }
}

/** Adds to the amount of a key. */
export function add (amounts: Map<string, number>, key: string, amount: number): void {
  amounts.set(key, (amounts.get(key) ?? 0) + amount)
}

function hasLabel ({ report }: KnownWorker, step: Step): boolean {
  return step.requiredLabel === '' || report.labels.includes(step.requiredLabel)
}

function isPressed ({ running }: KnownWorker, book: JobBook): boolean {
  return [...running.values()].some(({ task, percent, tailLatencyMs = 0 }) => {
    const targetMs = book.stepOf(task)?.targetMs ?? 0
    return targetMs > 0 && percent >= 100 && tailLatencyMs > targetMs
  })
}
