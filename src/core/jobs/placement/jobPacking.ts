import type { Step } from '../book'

/** Workers over which a step is spread whose usual rate isn't known: a slow one is only found by peers elsewhere. */
const unknownRateWorkers = 3
/** Above any share of free processors, and below what slow workers cost. */
const togetherBonus = 2

/**
 * How many tasks of a step go to one worker before another one gets some. Load pattern: workers are lost together while
 * short jobs run everywhere; a job earns only when all of its tasks are done, so fewer jobs are hit if each is on few workers.
 *
 * Filling tasks stay spread, as they run on what others leave of a worker and would be in each other's way; so do long-running
 * ones, which earn one by one.
 */
export function tasksTogether (step: Step, isRateKnown: boolean): number {
  if (step.isFilling || step.isLongRunning) return 1
  return isRateKnown ? step.count : Math.ceil(step.count / unknownRateWorkers)
}

/** What a worker gains by tasks of the step that are there already. */
export function togetherScore (alreadyThere: number, together: number): number {
  return alreadyThere > 0 && alreadyThere < together ? togetherBonus : 0
}
