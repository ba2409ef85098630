import type { Step } from '../book'

/** Workers over which a step with unknown usual rate is spread; a slow worker can only be detected by comparison with peers on other workers. */
const workersAtUnknownRate = 3
/** More than any share of free processors, and less than the penalty of slow workers. */
const packingBonus = 2

/**
 * How many tasks of a step are packed on one worker before another worker is used. Load pattern: several workers are lost
 * at once while short jobs run on all of them. A job has worth only when all of its tasks are done, so fewer jobs are
 * affected if each one runs on few workers.
 *
 * Filling tasks stay spread, because they share the unused processors of a worker and would slow each other down. Long-running
 * tasks stay spread, because each has worth of its own.
 */
export function packedTasksPerWorker (step: Step, isRateKnown: boolean): number {
  if (step.isFilling || step.isLongRunning) return 1
  return isRateKnown ? step.count : Math.ceil(step.count / workersAtUnknownRate)
}

/** Score bonus of a worker that already runs tasks of the step and may be given more of them. */
export function packingScore (alreadyThere: number, packedTasks: number): number {
  return alreadyThere > 0 && alreadyThere < packedTasks ? packingBonus : 0
}
