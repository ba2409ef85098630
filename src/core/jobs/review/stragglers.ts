import { nameTask, type Job, type JobTask, type Step } from '../book'
import type { RunProgress } from './runProgress'

/** How long a run may be listed without progress, in milliseconds; covers several looks of its agent. */
const stalledAfterMs = 3000
/** The same for a filling task, which may be paced for a while. */
const fillingStalledAfterMs = 6000
/** A run that is slower than the usual rate by this factor is considered to have a slow worker. */
const stragglerFactor = 3
/** Minimum number of runs of a step with a known rate before their median is used. */
const minimumSiblings = 3
/** A run that ends within this time, in milliseconds, is not worth a restart. */
const minimumSavingMs = 1500

/** Whether a run makes no progress, for example on a worker that hangs. */
export function isStalled (task: JobTask, step: Step, progress: RunProgress): boolean {
  const name = nameTask(task)
  const isAtWork = step.isLongRunning && progress.percent(name, task.run) >= 100
  if (isAtWork) return false
  return progress.stalledMs(name, task.run) > (step.isFilling ? fillingStalledAfterMs : stalledAfterMs)
}

/** The median rate of the runs of a step, in percent per millisecond; undefined if too few rates are known. */
export function medianRate (siblings: readonly JobTask[], progress: RunProgress): number | undefined {
  const rates: number[] = []
  for (const sibling of siblings) {
    const known = sibling.state === 'live' ? progress.rate(nameTask(sibling), sibling.run) : undefined
    if (known !== undefined) rates.push(known)
  }
  const median = rates.sort((a, b) => a - b)[Math.floor(rates.length / 2)]
  return rates.length < minimumSiblings || median === undefined || median <= 0 ? undefined : median
}

/** The rate of a run as a fraction of the usual rate; undefined if either is unknown. */
export function relativeSpeed (task: JobTask, usual: number | undefined, progress: RunProgress): number | undefined {
  const rate = usual === undefined ? undefined : progress.rate(nameTask(task), task.run)
  return usual === undefined || rate === undefined ? undefined : rate / usual
}

/** Whether a slow run would be done sooner if it were restarted on a worker of usual speed; `spread` is the factor by which healthy runs deviate from the usual rate. */
export function isStraggler (task: JobTask, job: Job, usual: number | undefined, progress: RunProgress, spread = 1): boolean {
  const step = job.steps[task.step]
  if (step === undefined || step.isLongRunning || step.isFilling) return false
  const speed = relativeSpeed(task, usual, progress)
  const rate = progress.rate(nameTask(task), task.run)
  if (speed === undefined || rate === undefined || speed > 1 / (stragglerFactor * spread)) return false
  const percent = progress.percent(nameTask(task), task.run)
  const leftMs = rate > 0 ? (100 - percent) / rate : Number.POSITIVE_INFINITY
  const usualRate = rate > 0 ? rate / speed : 0
  const restartPercent = step.isCheckpointed ? 100 - percent : 100
  const restartMs = usualRate > 0 ? restartPercent / usualRate : 0
  return leftMs > minimumSavingMs && leftMs > 2 * restartMs
}
