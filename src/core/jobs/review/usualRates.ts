import { BoundedMap } from '../../boundedMap'
import type { Job, Step } from '../book'

/** The rate at which tasks of one kind usually get on. */
export interface UsualRate {
  /** Percent per millisecond. */
  readonly rate: number
  /** By which factor single tasks are usually off that rate. */
  readonly spread: number
}

interface Learned {
  count: number
  /** Of the logarithms of rates, as shares of the declared ones. */
  mean: number
  variance: number
}

/** Ends of runs before a rate counts as known; their mean is off by a third of their spread then. */
const fewestEnds = 8
/** Share of a newer end, once there are many; what is older than some fifty ends hardly counts. */
const leastWeight = 0.05
/** Kinds of tasks of which something is remembered. */
const maximumKinds = 1024
/** Declared durations below this, in milliseconds, say nothing. */
const shortestEstimateMs = 1

/**
 * How fast tasks of a queue and an image usually get on, as a share of what their steps declare, learned from runs that
 * ended. Load pattern: a step with few tasks, or with all of them on one slow worker, has no peers to be measured by.
 */
export class UsualRates {
  private readonly kinds = new BoundedMap<string, Learned>(maximumKinds)

  /** Takes a run that was done at a rate in percent per millisecond. */
  observe (job: Pick<Job, 'queue'>, step: Step, rate: number): void {
    if (!isMeasured(step) || !(rate > 0) || !Number.isFinite(rate)) return
    const key = keyOf(job, step)
    const share = Math.log(rate / declaredRate(step))
    const known = this.kinds.get(key) ?? { count: 0, mean: share, variance: 0 }
    const count = known.count + 1
    const weight = Math.max(leastWeight, 1 / count)
    const off = share - known.mean
    this.kinds.set(key, { count, mean: known.mean + weight * off, variance: (1 - weight) * (known.variance + weight * off * off) })
  }

  /** The usual rate of the tasks of a step; undefined if too little is known. */
  rateOf (job: Pick<Job, 'queue'>, step: Step): UsualRate | undefined {
    const known = isMeasured(step) ? this.kinds.get(keyOf(job, step)) : undefined
    if (known === undefined || known.count < fewestEnds) return undefined
    return { rate: Math.exp(known.mean) * declaredRate(step), spread: Math.exp(Math.sqrt(known.variance)) }
  }
}

/** Filling tasks are paced, and long-running ones have no end. */
function isMeasured (step: Step): boolean {
  return !step.isFilling && !step.isLongRunning && step.estimateMs >= shortestEstimateMs
}

function declaredRate ({ estimateMs }: Step): number { return 100 / estimateMs }

function keyOf ({ queue }: Pick<Job, 'queue'>, { image }: Step): string { return `${queue.name} ${image}` }
