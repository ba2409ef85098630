import type { Resources } from '../catalogue'
import { hasRoomFor, subtractResources } from '../ledger/resources'
import { reservationOf, type Step } from './job'
import type { JobBook, StepTasks } from './jobBook'
import type { KnownWorker } from './workerRoster'

/** A worker which may take runs, with what is left of it while a plan is made. */
export interface Candidate {
  readonly known: KnownWorker
  room: Resources
  /** Runs which were given to it in this plan. */
  given: number
  /** The most runs which it may be given now; bounds what an unproven worker can spoil. */
  readonly mayTake: number
}

/** Makes the candidate of a worker from what the book has reserved on it. */
export function createCandidate (known: KnownWorker, book: JobBook, mayTake: number): Candidate {
  const { capacity, worker } = known.report
  return { known, room: subtractResources(capacity, book.reservedOn(worker)), given: 0, mayTake }
}

/** Finds the best worker for one task of a step: one that fits, near its data, with most processors left. */
export function chooseWorker (candidates: readonly Candidate[], group: StepTasks, liveOfStep: ReadonlyMap<string, number>): Candidate | undefined {
  const { step, job } = group
  let best: Candidate | undefined
  let bestScore = Number.NEGATIVE_INFINITY
  for (const candidate of candidates) {
    if (candidate.given >= candidate.mayTake || !mayRun(candidate, job.queue.pool, step)) continue
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

/** Takes the room of a run from a candidate. */
export function takeRoom (candidate: Candidate, step: Step): void {
  candidate.room = subtractResources(candidate.room, reservationOf(step))
  candidate.given += 1
}

/** Whether a worker could ever run a task of a step, were it empty. */
export function couldRun (known: KnownWorker, pool: string, step: Step): boolean {
  const { report } = known
  return report.pool === pool && hasLabel(known, step) && hasRoomFor(report.capacity, reservationOf(step))
}

function mayRun (candidate: Candidate, pool: string, step: Step): boolean {
  return candidate.known.report.pool === pool && hasLabel(candidate.known, step) && hasRoomFor(candidate.room, reservationOf(step))
}

function hasLabel ({ report }: KnownWorker, step: Step): boolean {
  return step.requiredLabel === '' || report.labels.includes(step.requiredLabel)
}

function scoreOf (candidate: Candidate, step: Step, alreadyThere: number): number {
  const { capacity, rack } = candidate.known.report
  const freeShare = capacity.processors > 0 ? candidate.room.processors / capacity.processors : 0
  const isNearData = step.dataRack !== '' && step.dataRack === rack
  // Nearness decides before load, and spreading a step decides among workers of like load.
  return (isNearData ? nearDataBonus : 0) + freeShare - alreadyThere * spreadPenalty
}

/** Above any share of free processors, so that a task goes to its data wherever there is room. */
const nearDataBonus = 10
/** Each task of the step which is there already weighs as much as this share of the worker's processors. */
const spreadPenalty = 0.02
