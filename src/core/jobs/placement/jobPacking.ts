import type { Step } from '../book'

/** Workers over which a step with unknown usual rate is spread; a slow worker can only be detected by comparison with peers on other workers. */
const unknownRateWorkers = 3
/** More than any share of free processors, and less than the penalty of slow workers. */
const togetherBonus = 2

/**
 * How many tasks of a step are packed on one worker before another worker is used. Load pattern: several workers are lost
 * at once while short jobs run on all of them. A job has worth only when all of its tasks are done, so fewer jobs are
 * affected if each one runs on few workers.
 *
 * Filling tasks stay spread, because they share the unused processors of a worker and would slow each other down. Long-running
 * tasks stay spread, because each has worth of its own.
 */
export function tasksTogether (step: Step, isRateKnown: boolean): number {
  if (step.isFilling || step.isLongRunning) return 1
  return isRateKnown ? step.count : Math.ceil(step.count / unknownRateWorkers)
}

/** Score bonus of a worker that already runs tasks of the step and may be given more of them. */
export function togetherScore (alreadyThere: number, together: number): number {
  return alreadyThere > 0 && alreadyThere < together ? togetherBonus : 0
}
