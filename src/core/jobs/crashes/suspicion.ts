/** A crash of a worker, as far as one of the tasks on it is concerned. */
export interface TaskCrash {
  /** The probability that the task caused it, from 0 to 1. */
  readonly share: number
  /** Age of the task's run at the crash, in milliseconds; undefined if it is not known. */
  readonly ageMs?: number | undefined
}

/** What the crashes of workers tell about a task that was running there. A task with one is a suspect, which starts only apart from others. */
export interface Suspicion {
  /** The newest crashes in which it had a share, the newest last. */
  readonly crashes: readonly TaskCrash[]
}

/** Maximum number of crashes that are kept of a task. As many at the same age prove its guilt whatever its shares: no run of it has outlived any of them, and the platform allows no further start. */
const maximumCrashes = 5
/** Reached by a crash under a run that had just started alone, after one that it shared with several others. */
const guiltyBlame = 0.9
/** Runs whose ages at two crashes differ by less than this crashed at the same age, in milliseconds: several times the error of an age. */
const sameAgeMs = 50
/** A run that gets this much older than it was at a crash has outlived the suspicion. */
const outlivedFactor = 2
/** Bounds of the time in which a run outlives a suspicion, in milliseconds; the lower one exceeds the delay between a start and a crash under it. */
const minimumClearedAfterMs = 500
const maximumClearedAfterMs = 2000

/** The suspicion after one more crash. */
export function addCrash (known: Suspicion | undefined, crash: TaskCrash): Suspicion {
  return { crashes: [...known?.crashes ?? [], crash].slice(-maximumCrashes) }
}

/** Whether a run crashed at the same age as another one. */
export function isSameAge (ageMs: number | undefined, other: number | undefined): boolean {
  return ageMs !== undefined && other !== undefined && Math.abs(ageMs - other) < sameAgeMs
}

/** The sum of a task's shares in crashes. */
export function blameOf ({ crashes }: Suspicion): number { return sumOfShares(crashes) }

/**
 * Whether a task crashes its workers beyond reasonable doubt: at least this number of them crashed when its runs had the same
 * age, which is rare if crashes come by themselves, and little speaks for other tasks on these workers.
 */
export function isGuilty ({ crashes }: Suspicion, minimumCrashes: number): boolean {
  return crashes.some(({ ageMs }) => {
    const alike = crashes.filter(other => isSameAge(ageMs, other.ageMs))
    return alike.length >= maximumCrashes || (alike.length >= minimumCrashes && sumOfShares(alike) >= guiltyBlame)
  })
}

/** The age at which a run of a suspect has outlived the suspicion, in milliseconds. */
export function clearedAfterMs ({ crashes }: Suspicion): number {
  return Math.min(maximumClearedAfterMs, Math.max(minimumClearedAfterMs, outlivedFactor * (crashes.at(-1)?.ageMs ?? 0)))
}

function sumOfShares (crashes: readonly TaskCrash[]): number { return crashes.reduce((sum, { share }) => sum + share, 0) }
