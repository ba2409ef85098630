import { BoundedMap } from '../../boundedMap'
import { type JobBook, type JobTask, nameTask } from '../book'
import { clearedAfterMs, isLimited, isSuspect, needsPause, trialMs, type Suspicion } from '../crashes'
import type { Candidate } from './candidate'

/** Dependencies of `SuspectIsolation`. */
export interface SuspectIsolationParts {
  readonly book: JobBook
  /** How often the VM of a worker has crashed recently. */
  readonly countCrashes: (worker: string, now: number) => number
}

/** The part of the workers that may have suspects at the same time, as each of them gets no other runs meanwhile. */
const trialShare = 1 / 3
/** Suspects with this much blame together may start on one worker: a crash would still point at few of them. */
const maximumBlameTogether = 0.2
/** Runs that started within this time before a suspect would share the blame for a crash, in milliseconds. */
const settlingMs = 150
/** How long a worker is kept free of starts for a suspect that has not been placed there, in milliseconds. */
const preparationMs = 1000
/** How long a worker takes no other runs because of a suspect of which nothing is heard, in milliseconds; longer than usual trials. */
const maximumTrialMs = 5000
/** The same for one of the last starts of a suspect, in milliseconds; longer than any suspicion lasts. */
const maximumLastTrialMs = 7000
/**
 * How long a task waits after each crash once it has crashed a single VM several times, in milliseconds: shows whether the VM crashes without
 * it, too, and is shorter than the 3 s without a run after which the platform considers a job lost.
 */
const pauseMs = 2000
/** Maximum number of tasks whose pauses are remembered. */
const maximumPauses = 1024
/** More than the number of tasks that a suspect could take with it. */
const crashedVmPenalty = 100
/** More than any score of a worker for a step. */
const besideSuspectPenalty = 1000
/** Below the score of any worker without suspects: they start together only if no further worker may have one. */
const togetherPenalty = 10_000

/**
 * Starts suspects apart from each other and from tasks that start beside them. Load pattern: a task that crashes each worker
 * that starts it restarts together with the tasks that it took with it, and takes them again, so that nothing tells them apart.
 * A worker is kept free of starts for a moment before and after that of a suspect, so that one more crash decides.
 */
export class SuspectIsolation {
  /** When runs were last assigned to workers, in milliseconds of the steady clock. */
  private readonly assignedAt = new Map<string, number>()
  /** Workers that take no runs because a suspect is about to start there, with the time since which they don't. */
  private readonly preparedSince = new Map<string, number>()
  /** Waiting tasks that pause after a crash: their last run, and since when they wait, in milliseconds of the steady clock. */
  private readonly pauses = new BoundedMap<string, { readonly run: number, readonly since: number }>(maximumPauses)
  /** Prepared workers that no suspect of this plan waits for yet. */
  private unclaimed = 0
  /** Workers that are held in this plan because of suspects. */
  private readonly held = new Set<string>()
  /** Blame of the suspects that were assigned in this plan, by worker. */
  private readonly blame = new Map<string, number>()
  /** Workers with a suspect, or prepared for one. */
  private trials = 0
  private maximumTrials = 1

  constructor (private readonly parts: SuspectIsolationParts) {}

  /** Drops what is known of workers at the beginning of a leadership. */
  clear (): void {
    this.assignedAt.clear()
    this.preparedSince.clear()
    this.pauses.clear()
  }

  /** Whether a waiting suspect that does not run until its job is cancelled pauses after a crash. */
  isPaused (task: JobTask, now: number): boolean {
    if (task.suspicion === undefined || !needsPause(task.suspicion)) return false
    const name = nameTask(task)
    const known = this.pauses.get(name)
    if (known?.run === task.run) return now - known.since < pauseMs
    this.pauses.set(name, { run: task.run, since: now })
    return true
  }

  /** Begins a plan: workers with a suspect, or prepared for one, take no other runs. */
  begin (candidates: readonly Candidate[], now: number): void {
    this.blame.clear()
    this.held.clear()
    this.trials = 0
    this.maximumTrials = Math.max(1, Math.floor(candidates.length * trialShare))
    for (const [worker, since] of this.preparedSince) if (now - since > preparationMs) this.preparedSince.delete(worker)
    this.unclaimed = this.preparedSince.size
    for (const candidate of candidates) {
      const { worker } = candidate.known.report
      if (!this.isOnTrial(candidate, now) && !this.preparedSince.has(worker)) continue
      this.hold(candidate)
      this.trials += 1
    }
  }

  /** Drops workers that have left the fleet. */
  retain (isKnown: (worker: string) => boolean): void {
    for (const index of [this.assignedAt, this.preparedSince]) for (const worker of index.keys()) if (!isKnown(worker)) index.delete(worker)
  }

  /** Score of a worker for a suspect with this much blame, higher is better; undefined if it can't be isolated there. */
  score (candidate: Candidate, blame: number, now: number): number | undefined {
    const { worker } = candidate.known.report
    const together = this.blame.get(worker)
    if (together !== undefined) return together + blame <= maximumBlameTogether ? -togetherPenalty : undefined
    const isPrepared = this.preparedSince.has(worker)
    if (!isPrepared && (this.trials >= this.maximumTrials || candidate.isHeld || candidate.assignedRuns > 0)) return undefined
    return -this.parts.book.liveOn(worker).size - crashedVmPenalty * this.parts.countCrashes(worker, now)
  }

  /** Whether a worker is held for suspects only. */
  isReserved ({ known: { report: { worker } } }: Candidate): boolean { return this.blame.has(worker) || this.preparedSince.has(worker) }

  /** Takes a worker for a suspect. Returns whether it may start there now; otherwise the worker is prepared for a later plan. */
  take (candidate: Candidate, blame: number, now: number): boolean {
    const { worker } = candidate.known.report
    const isSettled = this.blame.has(worker) || now - (this.assignedAt.get(worker) ?? Number.NEGATIVE_INFINITY) >= settlingMs
    if (!isSettled) {
      this.prepare(candidate, now)
      return false
    }
    if (!this.blame.has(worker) && !this.preparedSince.delete(worker)) this.trials += 1
    this.occupy(candidate, blame)
    return true
  }

  /** The candidate as it is without suspects: one that is held because of them only is not held. */
  withoutSuspects (candidate: Candidate): Candidate {
    return this.held.has(candidate.known.report.worker) ? { ...candidate, isHeld: false } : candidate
  }

  /** What speaks against a worker for a task that can't wait until suspects have left it, lower is better. */
  crowding ({ known: { report: { worker } } }: Candidate, now: number): number {
    const isBesideSuspect = this.blame.has(worker) || this.parts.book.hasSuspectOn(worker)
    const isSettled = now - (this.assignedAt.get(worker) ?? Number.NEGATIVE_INFINITY) >= settlingMs
    return (isBesideSuspect ? besideSuspectPenalty : 0) + (isSettled ? 0 : crashedVmPenalty)
  }

  /** Takes a worker for a suspect that can't wait, whatever else is there. */
  occupy (candidate: Candidate, blame: number): void {
    const { worker } = candidate.known.report
    this.blame.set(worker, (this.blame.get(worker) ?? 0) + blame)
    this.hold(candidate)
  }

  /** Records that a run was assigned to a worker. */
  assigned (worker: string, now: number): void { this.assignedAt.set(worker, now) }

  /** Whether a suspect runs on a worker, and it is not too long ago that it was assigned or that this leader first saw it. */
  private isOnTrial ({ known: { report: { worker }, running } }: Candidate, now: number): boolean {
    const { book } = this.parts
    if (!book.hasSuspectOn(worker)) return false
    const since = this.assignedAt.get(worker) ?? now
    const isTried = ([name, { run, suspicion }]: readonly [string, JobTask]): boolean => {
      if (suspicion === undefined || !isSuspect(suspicion)) return false
      const isLast = this.isLastStart(name, suspicion)
      if (now - since > (isLast ? maximumLastTrialMs : maximumTrialMs)) return false
      const listed = running.get(name)
      return !(listed?.run === run && (listed.ageMs ?? 0) >= (isLast ? clearedAfterMs(suspicion) : trialMs(suspicion)))
    }
    const tried = [...book.liveOn(worker)]
    if (!tried.some(([, { suspicion }]) => suspicion !== undefined && isSuspect(suspicion))) return false
    this.assignedAt.set(worker, since)
    return tried.some(isTried)
  }

  /** Whether the run of a task is one of its last starts: the next crash may end its job, whatever else started beside it. */
  private isLastStart (task: string, suspicion: Suspicion): boolean {
    return isLimited(suspicion) && this.parts.book.stepOf(task)?.isLongRunning !== true
  }

  /** Keeps a worker free of starts, unless one is already that no other suspect waits for. */
  private prepare (candidate: Candidate, now: number): void {
    const { worker } = candidate.known.report
    if (this.unclaimed > 0) this.unclaimed -= 1
    else if (!this.preparedSince.has(worker)) {
      this.preparedSince.set(worker, now)
      this.hold(candidate)
      this.trials += 1
    }
  }

  private hold (candidate: Candidate): void {
    candidate.isHeld = true
    this.held.add(candidate.known.report.worker)
  }
}
