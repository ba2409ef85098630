import { isSameAge } from './suspicion'

/** Recent crashes that speak for other causes than a task. */
export interface CrashContext {
  /** Recent crashes of the same VM. */
  readonly formerCrashes: number
  /** Other VMs that crashed at the same moment. */
  readonly simultaneousCrashes: number
}

/** A run that was on a worker when it crashed. */
export interface PresentRun {
  readonly task: string
  /** Age of the run at the crash, in milliseconds; undefined if it is not known. */
  readonly ageMs: number | undefined
  /** Ages of the task's runs at earlier crashes, in milliseconds. */
  readonly formerAgesMs: readonly number[]
  /** Other VMs that crashed under the last runs of the task, none of which outlived the suspicion; none if absent. */
  readonly formerVms?: number | undefined
}

/** Age up to which a run counts as just started, in milliseconds; the weight of older ones falls with the reciprocal of their age, as crashes may come at any time scale. */
const freshAgeMs = 20
/** Weight of a run of unknown age: that of one that has run for a second. */
const unknownAgeWeight = 0.02
/** Factor of a run's weight for each other VM that crashed under the last runs of its task. */
const formerVmFactor = 10
/** Shares that are recorded: those from this value on, those of runs with at least this weight, as a culprit may start together with any number of others, and the largest of the others. */
const usualShare = 0.1
const freshWeight = 0.2
const maximumSmallShares = 16
/** Age from which on a run has no share that is worth recording, in milliseconds. */
export const maximumRecordedAgeMs = 5000
/** Weight of other causes for a VM without a history of crashes, relative to a run that has just started. */
const otherCauseWeight = 0.1
/** Further weight of other causes for each former crash of the VM, and for each other VM that crashed at the same moment. */
const formerCrashWeight = 0.15
const simultaneousCrashWeight = 0.5

/**
 * The probability of each run that it caused the crash of its worker, by task, without negligible ones; few of the small ones are kept, which only count together with others. Load pattern: a task
 * that crashes each worker right after its start shares its workers with dozens of others, which lose their runs as often as
 * it does. What sets it apart is its age at the crash, that of a fresh start or the same in each of its runs, or that one VM
 * after the other crashes under it.
 */
export function shareBlame (runs: readonly PresentRun[], { formerCrashes, simultaneousCrashes }: CrashContext): ReadonlyMap<string, number> {
  const weights = runs.map(run => [run.task, weightOf(run)] as const)
  const otherCauses = otherCauseWeight + formerCrashWeight * formerCrashes + simultaneousCrashWeight * simultaneousCrashes
  const total = weights.reduce((sum, [, weight]) => sum + weight, otherCauses)
  const isUsual = (weight: number): boolean => weight >= freshWeight || weight / total >= usualShare
  const small = weights.filter(([, weight]) => !isUsual(weight) && weight >= freshAgeMs / maximumRecordedAgeMs).sort(([, a], [, b]) => b - a)
  const recorded = [...weights.filter(([, weight]) => isUsual(weight)), ...small.slice(0, maximumSmallShares)]
  return new Map(recorded.map(([task, weight]) => [task, weight / total]))
}

function weightOf ({ ageMs, formerAgesMs, formerVms = 0 }: PresentRun): number {
  if (ageMs === undefined) return unknownAgeWeight
  if (formerAgesMs.some(former => isSameAge(ageMs, former))) return 1
  return Math.min(1, formerVmFactor ** formerVms * freshAgeMs / Math.max(freshAgeMs, ageMs))
}
