import type { Resources } from '../catalogue'
import { hasRoomFor, subtractResources } from '../ledger/resources'
import { reservationOf, type Step } from './job'
import type { JobBook, StepTasks } from './jobBook'
import type { PressureModel } from './pressureModel'
import type { KnownWorker } from './workerRoster'

/** A worker which may take runs, with what is left of it while a plan is made. */
export interface Candidate {
  readonly known: KnownWorker
  /** What may still be reserved. */
  room: Resources
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
  readonly mayTake: number
  /** Its speed as a share of the usual one. */
  readonly speed: number
}

/** Makes the candidate of a worker from what the book has reserved on it. */
export function createCandidate (known: KnownWorker, book: JobBook, mayTake: number, speed = 1): Candidate {
  const { capacity, worker } = known.report
  const candidate: Candidate = { known, isPressed: isPressed(known, book), room: subtractResources(capacity, book.reservedOn(worker)), filledProcessors: 0, filledByImage: new Map(), servingTasks: 0, servingByImage: new Map(), isHeld: false, given: 0, mayTake, speed }
  for (const task of book.liveOn(worker).values()) {
    const step = book.job(task.jobId)?.steps[task.step]
    if (step !== undefined) countStep(candidate, step)
  }
  return candidate
}

/** What a choice of a worker depends on beside the step. */
export interface ChoiceContext {
  /** How many tasks of the step each worker has. */
  readonly liveOfStep: ReadonlyMap<string, number>
  readonly pressure: PressureModel
  /** Whether a filling task goes where it finds no spare processors. */
  readonly isCrowded?: boolean
}

function isPressed ({ running }: KnownWorker, book: JobBook): boolean {
  return [...running.values()].some(({ task, percent, figure }) => {
    const targetMs = book.stepOf(task)?.targetMs ?? 0
    return targetMs > 0 && percent >= 100 && figure > targetMs
  })
}

/** Finds the best worker for one task of a step; undefined if it must wait. */
export function chooseWorker (candidates: readonly Candidate[], group: StepTasks, context: ChoiceContext): Candidate | undefined {
  const { step, job } = group
  const { liveOfStep, pressure, isCrowded = false } = context
  let best: Candidate | undefined
  let bestScore = Number.NEGATIVE_INFINITY
  for (const candidate of candidates) {
    if (candidate.isHeld || candidate.given >= candidate.mayTake || !mayRun(candidate, job.queue.pool, step)) continue
    if (step.isFilling && !isCrowded && (candidate.isPressed || !hasSpareProcessors(candidate, step, pressure))) continue
    const alreadyThere = liveOfStep.get(candidate.known.report.worker) ?? 0
    if (step.maximumPerWorker > 0 && alreadyThere >= step.maximumPerWorker) continue
    const score = scoreOf(candidate, step, alreadyThere, pressure)
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
  if (step.isFilling) {
    candidate.filledProcessors += step.processors
    add(candidate.filledByImage, step.image, step.processors)
  }
  if (step.targetMs > 0) {
    candidate.servingTasks += 1
    add(candidate.servingByImage, step.image, step.processors)
  }
}

function add (amounts: Map<string, number>, key: string, amount: number): void {
  amounts.set(key, (amounts.get(key) ?? 0) + amount)
}

function mayRun (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.room, reservationOf(step))
}

/** Filling tasks reserve no processors, but one that finds none left only slows the others down. */
function hasSpareProcessors (candidate: Candidate, step: Step, pressure: PressureModel): boolean {
  const isAlone = candidate.filledProcessors === 0 && candidate.servingTasks === 0
  if (isAlone) return true
  if (ownLoad(candidate, step, pressure) > negligibleLoad && totalLoad(candidate, step, pressure) > spareLoad) return false
  return step.processors * usedShare <= unusedProcessors(candidate) + idleShare * servingProcessors(candidate)
}

/** Processors which nothing has reserved and no filling task uses. */
function unusedProcessors (candidate: Candidate): number {
  return candidate.room.processors - candidate.filledProcessors * usedShare
}

function servingProcessors (candidate: Candidate): number {
  let sum = 0
  for (const processors of candidate.servingByImage.values()) sum += processors
  return sum
}

/** The most that the tasks of a filling image, with one more, add to the load of a serving task of a worker. */
function ownLoad (candidate: Candidate, step: Step, pressure: PressureModel): number {
  return mostLoad(candidate, pressure, new Map([[step.image, (candidate.filledByImage.get(step.image) ?? 0) + step.processors]]))
}

/** The same for the filling tasks of all images. */
function totalLoad (candidate: Candidate, step: Step, pressure: PressureModel): number {
  const filled = new Map(candidate.filledByImage)
  add(filled, step.image, step.processors)
  return mostLoad(candidate, pressure, filled)
}

function mostLoad (candidate: Candidate, pressure: PressureModel, filled: ReadonlyMap<string, number>): number {
  const capacity = candidate.known.report.capacity.processors
  let most = 0
  for (const servingImage of candidate.servingByImage.keys()) {
    let load = 0
    for (const [image, processors] of filled) {
      const { mean, deviation } = pressure.pressure(servingImage, image)
      load += Math.max(0, mean + deviation / 2) * processors * usedShare / capacity
    }
    most = Math.max(most, load)
  }
  return most
}

function hasLabel ({ report }: KnownWorker, step: Step): boolean {
  return step.requiredLabel === '' || report.labels.includes(step.requiredLabel)
}

function scoreOf (candidate: Candidate, step: Step, alreadyThere: number, pressure: PressureModel): number {
  const { capacity, rack } = candidate.known.report
  const share = (processors: number): number => capacity.processors > 0 ? processors / capacity.processors : 0
  const isNearData = step.dataRack !== '' && step.dataRack === rack
  const base = (isNearData ? nearDataBonus : 0) + share(unusedProcessors(candidate)) - alreadyThere * spreadPenalty - slowPenalty * Math.max(0, usualSpeed - candidate.speed)
  if (step.isFilling) return base + besideServingScore(candidate, step, pressure)
  if (step.targetMs > 0) return base + servingScore(candidate, step)
  return base
}

/** A filling task that presses on nobody goes beside serving tasks, which leaves other workers to those that do. */
function besideServingScore (candidate: Candidate, step: Step, pressure: PressureModel): number {
  if (candidate.servingTasks === 0) return 0
  const load = ownLoad(candidate, step, pressure)
  return load < negligibleLoad ? harmlessBonus : -besideServingPenalty * load
}

/**
 * Serving tasks are kept together, which leaves other workers to filling tasks that press; and those of one image most
 * of all, as most filling images press on none of them.
 */
function servingScore (candidate: Candidate, step: Step): number {
  if (candidate.servingTasks === 0) return 0
  const others = candidate.servingByImage.size - (candidate.servingByImage.has(step.image) ? 1 : 0)
  return besideServingBonus + (others === 0 ? sameImageBonus : -otherImagePenalty * others)
}

/** Above any share of free processors, so that a task goes to its data wherever there is room. */
const nearDataBonus = 10
/** Each task of the step which is there already weighs as much as this share of the worker's processors. */
const spreadPenalty = 0.02
/** Speeds above this share of the usual one are chance. */
const usualSpeed = 0.7
/** A worker at half the usual speed is taken only if all others are full. */
const slowPenalty = 15
/** Processors that a task uses, as a share of those that it declares; workers list 0.66 to 1 of them. */
const usedShare = 0.8
/** Share of the processors reserved by serving tasks that filling tasks may count on; a serving task uses half of its own or less. */
const idleShare = 0.5
/** The load that filling tasks may add to a serving one: its own peaks and this together stay below what its target allows. */
const spareLoad = 0.15
/** Added load below this can't be told from the swing of a serving task. */
const negligibleLoad = 0.06
/** Above any share of free processors. */
const harmlessBonus = 2
/** A filling task that adds all the load which is allowed goes beside a serving one only if nothing else is left. */
const besideServingPenalty = 30
/** Above any share of free processors, and above what other images there cost. */
const besideServingBonus = 3
/** As much as a whole worker's free processors. */
const sameImageBonus = 1
/** Half of that for each other image. */
const otherImagePenalty = 0.5
