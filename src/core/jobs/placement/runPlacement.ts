import { mayRun, type Candidate } from './candidate'
import { hasSpareProcessors, isNegligible, ownLoad, type PressureModel, unusedProcessors } from '../filling'
import { togetherScore } from './jobPacking'
import type { Step, StepTasks } from '../book'

/** What a choice of a worker depends on beside the step. */
export interface ChoiceContext {
  /** How many tasks of the step each worker has. */
  readonly liveOfStep: ReadonlyMap<string, number>
  readonly pressure: PressureModel
  /** Whether a filling task goes where it finds no spare processors. */
  readonly isCrowded?: boolean
  /** Tasks of the step that go to one worker before another one gets some; 1 if absent. */
  readonly together?: number | undefined
  /** Whether a serving task takes a worker without serving tasks sooner than one with other images; false if absent. */
  readonly separatesImages?: boolean | undefined
}

/** How well a worker suits one more task of a step, the better the higher; undefined if it can't take it now. */
export function suitability (candidate: Candidate, { step, job }: StepTasks, context: ChoiceContext): number | undefined {
  const { liveOfStep, pressure, isCrowded = false, together = 1 } = context
  if (candidate.isHeld || candidate.given >= candidate.mayTake || !mayRun(candidate, job.queue.pool, step)) return undefined
  if (step.isFilling && !isCrowded && (candidate.isPressed || !hasSpareProcessors(candidate, step, pressure))) return undefined
  const alreadyThere = liveOfStep.get(candidate.known.report.worker) ?? 0
  return tasksLeftBelowMaximum(step, alreadyThere) <= 0 ? undefined : scoreOf(candidate, step, alreadyThere, context) + (candidate.speed < usualSpeed ? 0 : togetherScore(alreadyThere, together))
}

/** How many more tasks of a step a worker may have. */
export function tasksLeftBelowMaximum (step: Step, alreadyThere: number): number {
  return step.maximumPerWorker > 0 ? step.maximumPerWorker - alreadyThere : Number.POSITIVE_INFINITY
}

function scoreOf (candidate: Candidate, step: Step, alreadyThere: number, { pressure, separatesImages = false }: ChoiceContext): number {
  const { capacity, rack } = candidate.known.report
  const share = (processors: number): number => capacity.processors > 0 ? processors / capacity.processors : 0
  const isNearData = step.dataRack !== '' && step.dataRack === rack
  const base = (isNearData ? nearDataBonus : 0) + share(unusedProcessors(candidate)) - alreadyThere * spreadPenalty - slowPenalty * Math.max(0, usualSpeed - candidate.speed)
  if (step.isFilling) return base + besideServingScore(candidate, step, pressure)
  if (step.targetMs > 0) return base + servingScore(candidate, step, separatesImages)
  return base
}

/** A filling task that presses on nobody goes beside serving tasks, which leaves other workers to those that do. */
function besideServingScore (candidate: Candidate, step: Step, pressure: PressureModel): number {
  if (candidate.servingTasks === 0) return 0
  const load = ownLoad(candidate, step, pressure)
  return isNegligible(load) ? harmlessBonus : -besideServingPenalty * load
}

/**
 * Serving tasks are kept together, which leaves other workers to filling tasks that press; and those of one image most
 * of all, as most filling images press on none of them.
 */
function servingScore (candidate: Candidate, step: Step, separatesImages: boolean): number {
  if (candidate.servingTasks === 0) return 0
  const others = candidate.servingByImage.size - (candidate.servingByImage.has(step.image) ? 1 : 0)
  if (separatesImages && !candidate.servingByImage.has(step.image)) return -otherImagePenalty * others
  return besideServingBonus + (others === 0 ? sameImageBonus : -otherImagePenalty * others)
}

/** Above any share of free processors, so that a task goes to its data wherever there is room. */
const nearDataBonus = 10
/** Each task of the step which is there already weighs as much as this share of the worker's processors. */
const spreadPenalty = 0.02
/** Speeds above this share of the usual one are chance. */
export const usualSpeed = 0.7
/** A worker at half the usual speed is taken only if all others are full. */
const slowPenalty = 15
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
