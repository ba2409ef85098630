import type { Step } from '../book'
import { idleServingShare, type PressureModel, usedShare } from '../filling'
import { addAmount, type Candidate } from './candidate'

/** Upper bound of the load that filling tasks add to a serving one; together with its own peaks, it stays below what its target allows. */
const maximumAddedLoad = 0.15
/** Added load below this can't be distinguished from the load variation of a serving task. */
const negligibleAddedLoad = 0.06

/**
 * Whether a worker has processors to spare for a filling task of a step, and its serving tasks tolerate the added load. Filling
 * tasks reserve no processors, but one that starts where none are left only slows the others down.
 */
export function hasSpareProcessors (candidate: Candidate, step: Step, pressure: PressureModel): boolean {
  const isAlone = candidate.filledProcessors === 0 && candidate.servingTasks === 0
  if (isAlone) return true
  if (!isNegligible(imageAddedLoad(candidate, step, pressure)) && totalAddedLoad(candidate, step, pressure) > maximumAddedLoad) return false
  return step.processors * usedShare <= unusedProcessors(candidate) + idleServingShare * servingProcessors(candidate)
}

/** Whether an added load is too small to be distinguished from the load variation of a serving task. */
export function isNegligible (load: number): boolean { return load < negligibleAddedLoad }

/** The processors of a worker that are neither reserved nor used by filling tasks. */
export function unusedProcessors (candidate: Candidate): number {
  return candidate.freeResources.processors - candidate.filledProcessors * usedShare
}

/** The highest load that the filling tasks of the image of a step, including one more, add to any serving image of a worker. */
export function imageAddedLoad (candidate: Candidate, step: Step, pressure: PressureModel): number {
  return highestAddedLoad(candidate, pressure, new Map([[step.image, (candidate.filledByImage.get(step.image) ?? 0) + step.processors]]))
}

/** The same for the filling tasks of all images together. */
function totalAddedLoad (candidate: Candidate, step: Step, pressure: PressureModel): number {
  const filled = new Map(candidate.filledByImage)
  addAmount(filled, step.image, step.processors)
  return highestAddedLoad(candidate, pressure, filled)
}

function highestAddedLoad (candidate: Candidate, pressure: PressureModel, filled: ReadonlyMap<string, number>): number {
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

function servingProcessors (candidate: Candidate): number {
  let sum = 0
  for (const processors of candidate.servingByImage.values()) sum += processors
  return sum
}
