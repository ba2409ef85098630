import { hasNoStartLeft, isLimited } from './startLimit'

/** A crash of a worker, as far as one of the tasks on it is concerned. */
export interface TaskCrash {
  /** The probability that the task caused it, from 0 to 1; 0 if it is negligible, in which case the crash only counts towards the limit of starts. */
  readonly share: number
  /** Age of the task's run at the crash, in milliseconds; undefined if it is not known. */
  readonly ageMs?: number | undefined
  /** The VM that crashed; absent in data of earlier versions. */
  readonly vm?: string | undefined
  /** Whether the VM had just crashed without the task and for no known cause, so that this crash says little about the task. */
  readonly isVmUnreliable?: boolean | undefined
  /** Whether the leader led for too short a time to know how often VMs crash by themselves. */
  readonly isRateUnknown?: boolean | undefined
  /** Whether the run may not have begun: its start was left unanswered for a while, and its age is assumed. */
  readonly isUnconfirmed?: boolean | undefined
  /** The probability that a run of a task which crashes no workers is lost so early with such a VM, from 0 to 1; absent in data of earlier versions. */
  readonly chance?: number | undefined
}

/** What it takes to prove that a task crashes its workers. */
export interface RequiredProof {
  /** Crashes at the same age of its runs. */
  readonly crashes: number
  /** Whether the task runs until its job is cancelled. No limit of starts applies to it, and its job is lost for good if it is given up, so the proof must be strict. */
  readonly isLongRunning: boolean
}

/** What the crashes of workers tell about a task that was running there and of which no run has outlived them since. */
export interface Suspicion {
  /** The newest crashes in which it had a share, the newest last. */
  readonly crashes: readonly TaskCrash[]
  /** Starts since the crashes reached the number from which on they are limited; absent for none, and in data of earlier versions. */
  readonly furtherStarts?: number | undefined
}

/** Maximum number of crashes that are kept of a task. As many prove its guilt whatever its shares, unless the VMs are unreliable: no run of it has outlived any of them, and the platform allows no further start. */
const maximumCrashes = 5
/** Crashes at the same age that prove guilt whatever the rate at which VMs crash, if several VMs crashed. */
export const mostProvingCrashes = 4
/** Reached by a crash under a run that had just started alone, after one that it shared with several others. */
const guiltyBlame = 0.9
/** Least share in a crash of which nothing that started beside the task is as likely a cause. */
const soleShare = 0.5
/** Shares and ages at crashes of which one makes a task a suspect. */
const suspiciousShare = 0.1
const suspiciousAgeMs = 100
/** Crashes at any age that prove the guilt of a task, and the most that its chance to lose as many runs so may be: small, as tasks that share workers with a culprit lose several runs, too. */
const provingCrashesAtAnyAge = 3
const maximumChance = 1e-6
/** The same, once the limit of starts is reached by crashes of VMs that don't crash without the task. */
const maximumChanceAtLimit = 1e-3
/** The VMs that must have crashed: all crashes of a single one may be its own fault. */
const fewestVms = 2
/** Crashes of one VM that count as evidence unless a start explains them, as it may have been the only one with room; each VM counts once against a long-running task. */
const countedPerVm = 2
/** Runs whose ages at two crashes differ by less than this crashed at the same age, in milliseconds: several times the error of an age. */
const sameAgeMs = 50
/** The time in which a crash is at the same age as an earlier one, in milliseconds. */
export const sameAgeWindowMs = 2 * sameAgeMs
/** A run that was younger than this at a crash explains it, in milliseconds: few VMs crash by themselves just then. */
const explainedByStartMs = 50
/** A run that gets this much older than any run of its task was at a crash has outlived the suspicion. */
const outlivedFactor = 2
/** Bounds of the age up to which a suspect runs apart from others, in milliseconds; the lower one exceeds the delay between a start and a crash under it. */
const minimumTrialMs = 500
const maximumTrialMs = 2000
/** Least age at which a run has outlived the suspicion, in milliseconds: several times the age at which a task crashed its first worker, as it may crash the next one later. */
const minimumClearedAfterMs = 3000

/** The suspicion after one more crash. A run that had outlived the former ones by then clears its task of them. */
export function addCrash (known: Suspicion | undefined, crash: TaskCrash): Suspicion {
  if (known === undefined || (crash.ageMs ?? 0) >= clearedAfterMs(known)) return { crashes: [crash] }
  return { ...known, crashes: [...known.crashes, crash].slice(-maximumCrashes) }
}

/** Whether a run crashed at the same age as another one. */
export function isSameAge (ageMs: number | undefined, other: number | undefined): boolean {
  return ageMs !== undefined && other !== undefined && Math.abs(ageMs - other) < sameAgeMs
}

/** Whether a run of this age in milliseconds explains a crash; false if the age is not known. */
export function isExplainedByStart (ageMs: number | undefined): boolean { return ageMs !== undefined && ageMs <= explainedByStartMs }

/** The sum of a task's shares in crashes. */
export function blameOf ({ crashes }: Suspicion): number { return sumOfShares(crashes) }

/**
 * Whether a task crashes its workers beyond reasonable doubt: enough of them crashed when its runs had the same age, which is
 * rare if crashes come by themselves, and little speaks for other tasks on these workers. Load pattern: a VM that goes down and
 * up at regular intervals gives each run on it the same age, so it takes crashes of several VMs that didn't crash without the task.
 * A task that can run on a single VM only is guilty once the limit of its starts is reached, if that VM crashes with it and never without it.
 */
export function isGuilty ({ crashes }: Suspicion, required: RequiredProof): boolean {
  const reliable = crashes.filter(({ isVmUnreliable }) => isVmUnreliable !== true)
  return (!required.isLongRunning && isProvenAtAnyAge(crashes)) || reliable.some(({ ageMs }) => {
    const alike = reliable.filter(other => isSameAge(ageMs, other.ageMs))
    return (!required.isLongRunning && alike.length >= maximumCrashes) || isProven(alike, required)
  })
}

function isProven (alike: readonly TaskCrash[], { crashes, isLongRunning }: RequiredProof): boolean {
  const counted = countPerVm(isLongRunning ? alike.filter(isConfirmed) : alike, isLongRunning)
  const required = counted.some(crash => crash.isRateUnknown === true || !isConfirmed(crash)) ? mostProvingCrashes : crashes
  if (countVms(counted) < fewestVms || counted.length < required || sumOfShares(counted) < guiltyBlame) return false
  return !isLongRunning || (counted.every(({ ageMs }) => isExplainedByStart(ageMs)) && countSole(counted) >= fewestVms)
}

/**
 * Whether so many VMs crashed under the consecutive runs of a task that its guilt is proven whatever the ages. The more VMs of the
 * fleet crash for no known cause, the larger the chance of each loss, and the more crashes it takes.
 */
function isProvenAtAnyAge (crashes: readonly TaskCrash[]): boolean {
  const counted = countPerVm(crashes.filter(crash => crash.chance !== undefined && isConfirmed(crash)), false)
  if (countVms(counted) < fewestVms || counted.length < provingCrashesAtAnyAge || sumOfShares(counted) < guiltyBlame) return false
  const isAtLimit = counted.length >= maximumCrashes && counted.every(({ isVmUnreliable }) => isVmUnreliable !== true)
  return countSole(counted) >= 1 && counted.reduce((product, { chance = 1 }) => product * chance, 1) <= (isAtLimit ? maximumChanceAtLimit : maximumChance)
}

/** Whether the run had certainly begun. A worker that is silent already leaves each start unanswered for the same time. */
function isConfirmed ({ isUnconfirmed }: TaskCrash): boolean { return isUnconfirmed !== true }

/** The newest crashes of each VM, as many as count. */
function countPerVm (crashes: readonly TaskCrash[], isLongRunning: boolean): readonly TaskCrash[] {
  const byVm = new Map<string | undefined, TaskCrash[]>()
  for (const crash of crashes) byVm.set(crash.vm, [...byVm.get(crash.vm) ?? [], crash])
  return [...byVm.values()].flatMap(found => {
    if (isLongRunning) return found.slice(-1)
    return found.every(({ ageMs }) => isExplainedByStart(ageMs)) ? found : found.slice(-countedPerVm)
  })
}

function countVms (crashes: readonly TaskCrash[]): number { return new Set(crashes.flatMap(({ share, vm }) => share > 0 ? [vm] : [])).size }

function countSole (crashes: readonly TaskCrash[]): number { return crashes.filter(({ share }) => share >= soleShare).length }

/** Whether a task starts only apart from others: it had a share in a crash that is not negligible, or VMs crashed under its runs one after the other. */
export function isSuspect ({ crashes }: Suspicion): boolean {
  return crashes.some(({ share, ageMs }) => share >= suspiciousShare || (ageMs !== undefined && ageMs <= suspiciousAgeMs)) || countVms(crashes) >= fewestVms
}

/** The VMs other than this one that crashed under the last runs of a task and don't crash without it. */
export function countOtherVms ({ crashes }: Suspicion, vm: string): number {
  return countVms(crashes.filter(crash => crash.vm !== undefined && crash.vm !== vm && crash.isVmUnreliable !== true))
}

/** Whether crashes of a single VM have brought a task so near to the limit of its starts that it must show whether the VM crashes without it, too. */
export function needsPause (suspicion: Suspicion): boolean {
  return isLimited(suspicion) && countVms(suspicion.crashes) < fewestVms
}

/**
 * Whether the platform allows a task no further start, whatever its crashes prove. A task that can run on a single VM goes on if that VM has
 * crashed without it, too: then nothing but the VM is known to be at fault.
 */
export function isExhausted (suspicion: Suspicion): boolean {
  if (!hasNoStartLeft(suspicion)) return false
  return new Set(suspicion.crashes.map(({ vm }) => vm)).size >= fewestVms || suspicion.crashes.every(({ isVmUnreliable }) => isVmUnreliable !== true)
}

/** The age up to which a run of a suspect keeps others from its worker, in milliseconds. */
export function trialMs (suspicion: Suspicion): number {
  return Math.min(maximumTrialMs, Math.max(minimumTrialMs, outlivedFactor * highestAgeMs(suspicion)))
}

/** The age at which a run has outlived the suspicion, in milliseconds. */
export function clearedAfterMs (suspicion: Suspicion): number {
  return Math.max(minimumClearedAfterMs, outlivedFactor * highestAgeMs(suspicion))
}

function highestAgeMs ({ crashes }: Suspicion): number { return Math.max(0, ...crashes.map(({ ageMs = 0 }) => ageMs)) }

function sumOfShares (crashes: readonly TaskCrash[]): number { return crashes.reduce((sum, { share }) => sum + share, 0) }
