import type { Resources } from '../catalogue'
import { hasRoomFor, subtractResources } from '../ledger/resources'
import { reservationOf, type Step } from './job'
import type { JobBook, StepTasks } from './jobBook'
import type { KnownWorker } from './workerRoster'

/** A worker which may take runs, with what is left of it while a plan is made. */
export interface Candidate {
  readonly known: KnownWorker
  /** What may still be reserved. */
  room: Resources
  /** Processors that filling tasks use of what is not reserved. */
  filledProcessors: number
  /** Tasks there with a target for their tail latency, which filling tasks disturb. */
  servingTasks: number
  /** Whether it is kept free for a long-running task. */
  isHeld: boolean
  /** Runs which were given to it in this plan. */
  given: number
  /** The most runs which it may be given now; bounds what an unproven worker can spoil. */
  readonly mayTake: number
  /** Its speed as a share of the usual one. */
  readonly speed: number
}

/** Makes the candidate of a worker from what the book has reserved on it. */
export function createCandidate (known: KnownWorker, book: JobBook, mayTake: number, speed = 1): Candidate {
  const { capacity, worker } = known.report
  const candidate: Candidate = { known, room: subtractResources(capacity, book.reservedOn(worker)), filledProcessors: 0, servingTasks: 0, isHeld: false, given: 0, mayTake, speed }
  for (const task of book.liveOn(worker).values()) {
    const step = book.job(task.jobId)?.steps[task.step]
    if (step !== undefined) countStep(candidate, step)
  }
  return candidate
}

/** Finds the best worker for one task of a step; undefined if it must wait. A crowded filling task needs no spare processors. */
export function chooseWorker (candidates: readonly Candidate[], group: StepTasks, liveOfStep: ReadonlyMap<string, number>, isCrowded = false): Candidate | undefined {
  const { step, job } = group
  let best: Candidate | undefined
  let bestScore = Number.NEGATIVE_INFINITY
  for (const candidate of candidates) {
    if (candidate.isHeld || candidate.given >= candidate.mayTake || !mayRun(candidate, job.queue.pool, step)) continue
    if (step.isFilling && !isCrowded && !hasSpareProcessors(candidate, step)) continue
    const alreadyThere = liveOfStep.get(candidate.known.report.worker) ?? 0
    if (step.maximumPerWorker > 0 && alreadyThere >= step.maximumPerWorker) continue
    const score = scoreOf(candidate, step, alreadyThere)
    if (score > bestScore) {
      best = candidate
      bestScore = score
    }
  }
  return best
}

/** The worker which is nearest to having room for a task: with most processors left among those that could run it. */
export function chooseHeld (candidates: readonly Candidate[], { step, job }: StepTasks): Candidate | undefined {
  const possible = candidates.filter(candidate => !candidate.isHeld && couldRun(candidate.known, job.queue.pool, step))
  return possible.sort((a, b) => b.room.processors - a.room.processors)[0]
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

/** Whether a worker could ever run a task of a step, were it empty. */
export function couldRun (known: KnownWorker, pool: string, step: Step): boolean {
  const { report } = known
  return report.pool === pool && hasLabel(known, step) && hasRoomFor(report.capacity, reservationOf(step))
}

function countStep (candidate: Candidate, step: Step): void {
  if (step.isFilling) candidate.filledProcessors += step.processors
  if (step.targetMs > 0) candidate.servingTasks += 1
}

function mayRun (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.room, reservationOf(step))
}

/** Filling tasks reserve no processors, but one that finds none left only slows the others down. */
function hasSpareProcessors (candidate: Candidate, step: Step): boolean {
  const isAlone = candidate.filledProcessors === 0 && candidate.servingTasks === 0
  return isAlone || step.processors <= unusedProcessors(candidate)
}

function unusedProcessors (candidate: Candidate): number {
  return candidate.room.processors - candidate.filledProcessors
}

function hasLabel ({ report }: KnownWorker, step: Step): boolean {
  return step.requiredLabel === '' || report.labels.includes(step.requiredLabel)
}

function scoreOf (candidate: Candidate, step: Step, alreadyThere: number): number {
  const { capacity, rack } = candidate.known.report
  const share = (processors: number): number => capacity.processors > 0 ? processors / capacity.processors : 0
  const isNearData = step.dataRack !== '' && step.dataRack === rack
  const base = (isNearData ? nearDataBonus : 0) + share(unusedProcessors(candidate)) - alreadyThere * spreadPenalty - slowPenalty * Math.max(0, usualSpeed - candidate.speed)
  if (step.isFilling) return base - (candidate.servingTasks > 0 ? besideServingPenalty : 0)
  // Serving tasks are kept together, so that other workers are left for filling tasks.
  if (step.targetMs > 0) return base - share(candidate.filledProcessors) * besideServingPenalty + (candidate.servingTasks > 0 ? besideServingBonus : 0)
  return base
}

/** Above any share of free processors, so that a task goes to its data wherever there is room. */
const nearDataBonus = 10
/** Each task of the step which is there already weighs as much as this share of the worker's processors. */
const spreadPenalty = 0.02
/** Speeds above this share of the usual one are chance. */
const usualSpeed = 0.7
/** A worker at half the usual speed is taken only if all others are full. */
const slowPenalty = 15
/** Above any share of free processors and below nearness to data: a filling task goes beside a serving one only if nothing else is left. */
const besideServingPenalty = 5
/** Above any share of free processors. */
const besideServingBonus = 2
