import { BoundedMap } from '../../boundedMap'
import type { Job, Step } from '../book'
import { TaskDurations } from './taskDurations'

/** Moments of the logarithms of declared and actual durations of the steps of a queue. */
interface QueueMoments {
  /** Steps that count, newer ones more. */
  readonly steps: number
  readonly declared: number
  readonly actual: number
  readonly declaredVariance: number
  readonly covariance: number
}

const nothingObserved: QueueMoments = { steps: 0, declared: 0, actual: 0, declaredVariance: 0, covariance: 0 }
/** Steps after which older ones weigh less than newer ones. */
const rememberedSteps = 60
/** Weight of the assumption that declarations are right, in steps. */
const priorSteps = 4
/** Variance of the logarithms of declared durations under that assumption; a factor of 1.6 in both directions. */
const priorVariance = 0.25
/** Maximum number of queues that are remembered. */
const maximumQueues = 1000

/**
 * Corrects declared durations by a regression over the ended tasks of their queue: where declarations say little, the
 * expected duration is close to the usual one. Load pattern: declarations that are wrong by factors in both directions, so
 * that due times computed from them put jobs that can be in time behind jobs that can't. The state is kept in memory only.
 */
export class LearnedDurations extends TaskDurations {
  private readonly queues = new BoundedMap<string, QueueMoments>(maximumQueues)

  /** Discards everything that was learned. */
  clear (): void { this.queues.clear() }

  /** Records how long a task took, in milliseconds. The tasks of a step share its declaration, so they count as one observation together. */
  observe (job: Pick<Job, 'queue'>, step: Step, durationMs: number): void {
    if (step.estimateMs <= 0 || !(durationMs > 0) || !Number.isFinite(durationMs)) return
    const known = this.queues.get(job.queue.name) ?? nothingObserved
    const weight = 1 / Math.max(1, step.count)
    const steps = Math.min(rememberedSteps, known.steps + weight)
    const share = weight / steps
    const declaredError = Math.log(step.estimateMs) - known.declared
    const actualError = Math.log(durationMs) - known.actual
    this.queues.set(job.queue.name, {
      steps,
      declared: known.declared + share * declaredError,
      actual: known.actual + share * actualError,
      declaredVariance: (1 - share) * (known.declaredVariance + share * declaredError ** 2),
      covariance: (1 - share) * (known.covariance + share * declaredError * actualError)
    })
  }

  override ofStep (job: Pick<Job, 'queue'>, { estimateMs }: Step): number {
    const known = this.queues.get(job.queue.name)
    if (known === undefined || estimateMs <= 0) return estimateMs
    const prior = priorVariance * priorSteps
    const slope = Math.min(1, Math.max(0, (known.covariance * known.steps + prior) / (known.declaredVariance * known.steps + prior)))
    const shift = known.steps / (known.steps + priorSteps) * (known.actual - known.declared)
    return Math.exp(known.declared + shift + slope * (Math.log(estimateMs) - known.declared))
  }
}
