import { mayRun, type Candidate } from './candidate'
import { hasSpareProcessors, isNegligible, imageAddedLoad, unusedProcessors } from './fillingLoad'
import type { PressureModel } from '../filling'
import { packingScore } from './jobPacking'
import type { Step, StepTasks } from '../book'

/** Inputs to the score of a worker besides the worker and the step. */
export interface PlacementContext {
  /** Live tasks of the step by worker. */
  readonly liveOfStep: ReadonlyMap<string, number>
  readonly pressure: PressureModel
  /** Whether a filling task may be placed on a worker without spare processors. */
  readonly allowsOvercommit?: boolean
  /** Tasks of the step that are packed on one worker before another one is used; 1 if absent. */
  readonly packedTasksPerWorker?: number | undefined
  /** Whether a serving task prefers a worker without serving tasks to one with other images; false if absent. */
  readonly separatesImages?: boolean | undefined
}

/** Score of a worker for one more task of a step, higher is better; undefined if the worker can't take it now. */
export function suitability (candidate: Candidate, { step, job }: StepTasks, context: PlacementContext): number | undefined {
  const { liveOfStep, pressure, allowsOvercommit = false, packedTasksPerWorker = 1 } = context
  if (candidate.isHeld || candidate.assignedRuns >= candidate.mayTake || !mayRun(candidate, job.queue.pool, step)) return undefined
  if (step.isFilling && !allowsOvercommit && (candidate.exceedsTarget || !hasSpareProcessors(candidate, step, pressure))) return undefined
  const alreadyThere = liveOfStep.get(candidate.known.report.worker) ?? 0
  return tasksLeftBelowMaximum(step, alreadyThere) <= 0 ? undefined : scoreOf(candidate, step, alreadyThere, context) + (candidate.speed < slowSpeedThreshold ? 0 : packingScore(alreadyThere, packedTasksPerWorker))
}

/** How many more tasks of a step a worker may run under the step's limit per worker. */
export function tasksLeftBelowMaximum (step: Step, alreadyThere: number): number {
  return step.maximumPerWorker > 0 ? step.maximumPerWorker - alreadyThere : Number.POSITIVE_INFINITY
}

function scoreOf (candidate: Candidate, step: Step, alreadyThere: number, { pressure, separatesImages = false }: PlacementContext): number {
  const { capacity, rack } = candidate.known.report
  const share = (processors: number): number => capacity.processors > 0 ? processors / capacity.processors : 0
  const isDataLocal = step.dataRack !== '' && step.dataRack === rack
  const base = (isDataLocal ? dataLocalityBonus : 0) + share(unusedProcessors(candidate)) - alreadyThere * spreadPenalty - slowPenalty * Math.max(0, slowSpeedThreshold - candidate.speed)
  if (step.isFilling) return base + fillingScore(candidate, step, pressure)
  if (step.targetMs > 0) return base + servingScore(candidate, step, separatesImages)
  return base
}

/** Prefers workers with serving tasks if the pressure on them is negligible, which leaves other workers to filling tasks that cause pressure. */
function fillingScore (candidate: Candidate, step: Step, pressure: PressureModel): number {
  if (candidate.servingTasks === 0) return 0
  const load = imageAddedLoad(candidate, step, pressure)
  return isNegligible(load) ? negligiblePressureBonus : -fillingLoadPenalty * load
}

/**
 * Prefers workers that run serving tasks already, which leaves other workers to filling tasks that cause pressure. Workers
 * whose serving tasks all have the same image score highest, because most filling images put no pressure on a single image.
 */
function servingScore (candidate: Candidate, step: Step, separatesImages: boolean): number {
  if (candidate.servingTasks === 0) return 0
  const others = candidate.servingByImage.size - (candidate.servingByImage.has(step.image) ? 1 : 0)
  if (separatesImages && !candidate.servingByImage.has(step.image)) return -otherImagePenalty * others
  return servingColocationBonus + (others === 0 ? sameImageBonus : -otherImagePenalty * others)
}

/** More than any share of free processors, so that a task is placed near its data wherever it fits. */
const dataLocalityBonus = 10
/** Penalty for each task of the step that the worker already runs, as a share of its processors. */
const spreadPenalty = 0.02
/** Workers below this fraction of the usual speed are slow; smaller deviations occur by chance. */
export const slowSpeedThreshold = 0.7
/** High enough that a worker at half the usual speed is chosen only if all others are full. */
const slowPenalty = 15
/** More than any share of free processors. */
const negligiblePressureBonus = 2
/** High enough that a filling task that adds the maximum allowed load is placed beside a serving task only if no other worker is left. */
const fillingLoadPenalty = 30
/** More than any share of free processors, and more than the penalty of other images on the worker. */
const servingColocationBonus = 3
/** Equal to the share of free processors of an empty worker. */
const sameImageBonus = 1
/** Half of `sameImageBonus` for each other image. */
const otherImagePenalty = 0.5
