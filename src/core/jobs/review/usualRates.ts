import { BoundedMap } from '../../boundedMap'
import type { Job, Step } from '../book'

/** The usual rate of progress of tasks of one queue and image. */
export interface UsualRate {
  /** Percent per millisecond. */
  readonly rate: number
  /** The factor by which single tasks usually deviate from that rate. */
  readonly spread: number
}

interface RateStatistics {
  count: number
  /** Mean of the logarithms of the rates relative to the declared ones. */
  mean: number
  variance: number
}

/** Number of ended runs before a rate counts as known; the standard error of the mean is then a third of the spread. */
const minimumEnds = 8
/** Minimum weight of a new end; ends that are older than the last fifty hardly count. */
const minimumWeight = 0.05
/** Maximum number of pairs of queue and image whose rates are kept. */
const maximumKinds = 1024
/** Declared durations below this, in milliseconds, carry no information. */
const minimumEstimateMs = 1

/**
 * Learns the usual rates of tasks by queue and image from ended runs, relative to the rates that their steps declare. Load
 * pattern: a step with few tasks, or with all of them on one slow worker, has no peers to compare its runs with.
 */
export class UsualRates {
  private readonly kinds = new BoundedMap<string, RateStatistics>(maximumKinds)

  /** Records a run that was done, with its rate in percent per millisecond. */
  observe (job: Pick<Job, 'queue'>, step: Step, rate: number): void {
    if (!isLearnable(step) || !(rate > 0) || !Number.isFinite(rate)) return
    const key = keyOf(job, step)
    const share = Math.log(rate / declaredRate(step))
    const known = this.kinds.get(key) ?? { count: 0, mean: share, variance: 0 }
    const count = known.count + 1
    const weight = Math.max(minimumWeight, 1 / count)
    const off = share - known.mean
    this.kinds.set(key, { count, mean: known.mean + weight * off, variance: (1 - weight) * (known.variance + weight * off * off) })
  }

  /** The usual rate of the tasks of a step; undefined if too few runs have ended. */
  rateOf (job: Pick<Job, 'queue'>, step: Step): UsualRate | undefined {
    const known = isLearnable(step) ? this.kinds.get(keyOf(job, step)) : undefined
    if (known === undefined || known.count < minimumEnds) return undefined
    return { rate: Math.exp(known.mean) * declaredRate(step), spread: Math.exp(Math.sqrt(known.variance)) }
  }
}

/** Whether the rate of a step can be learned: filling tasks are paced, and long-running ones have no end. */
function isLearnable (step: Step): boolean {
  return !step.isFilling && !step.isLongRunning && step.estimateMs >= minimumEstimateMs
}

function declaredRate ({ estimateMs }: Step): number { return 100 / estimateMs }

function keyOf ({ queue }: Pick<Job, 'queue'>, { image }: Step): string { return `${queue.name} ${image}` }
