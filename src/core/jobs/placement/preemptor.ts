import type { Resources } from '../../catalogue'
import { addResources, hasRoomFor } from '../../ledger/resources'
import { couldFit, countFittingTasks, type Candidate } from './candidate'
import { type DecisionLog, type JobTask, reservationOf, type Step, type StepTasks } from '../book'
import { isLimited } from '../crashes'
import { tasksLeftBelowMaximum } from './runPlacement'

/** How long a long-running task waits for resources before checkpointed tasks are preempted, in milliseconds; leaves time for a stop and a start within the time allowed for its restart. */
const preemptCheckpointedAfterMs = 1500
/** The same, before tasks without checkpoints are preempted, whose work is lost. */
const preemptUnsavedAfterMs = 2500

/**
 * Frees resources for long-running tasks that fit on no worker. Load pattern: workers are lost or drain while the pool is
 * full, and their long-running tasks must restart within seconds, however many there are. Workers are held for as many
 * tasks as wait, so that nothing else starts on them; if that does not suffice in time, other tasks are preempted, those
 * with checkpoints first.
 */
export class Preemptor {
  /** Since when long-running steps have fit on no worker, in milliseconds of the steady clock. */
  private readonly blockedSince = new Map<string, number>()

  constructor (private readonly decisions: DecisionLog) {}

  /** Drops all blocked steps at the beginning of a leadership. */
  clear (): void { this.blockedSince.clear() }

  /** Holds workers for the waiting tasks of a step and preempts once it has been blocked too long; `liveOfStep` counts its tasks on each worker. */
  makeRoom (group: StepTasks, candidates: readonly Candidate[], liveOfStep: ReadonlyMap<string, number>, now: number): void {
    const key = keyOf(group)
    this.blockedSince.set(key, this.blockedSince.get(key) ?? now)
    const blockedMs = this.blockedMs(group, now)
    let waiting = group.tasks.filter(task => task.state === 'waiting').length
    for (const candidate of rankByShortage(candidates, group, liveOfStep)) {
      if (waiting <= 0) return
      const held = Math.min(waiting, countPlaceableTasks(candidate, group, liveOfStep))
      candidate.isHeld = true
      waiting -= held
      if (blockedMs >= preemptCheckpointedAfterMs) this.preempt(candidate, group.step, held, blockedMs >= preemptUnsavedAfterMs)
    }
  }

  /** Drops steps that have no waiting task any more. */
  forgetUnblocked (): void {
    for (const key of [...this.blockedSince.keys()]) {
      const [jobId, step] = key.split('.')
      const isWaiting = this.decisions.book.job(jobId ?? '')?.tasks.some(task => task.step === Number(step) && task.state === 'waiting') === true
      if (!isWaiting) this.blockedSince.delete(key)
    }
  }

  private blockedMs (group: StepTasks, now: number): number { return now - (this.blockedSince.get(keyOf(group)) ?? now) }

  /** Stops tasks on a worker until `count` tasks of a step fit. */
  private preempt ({ known, freeResources }: Candidate, step: Step, count: number, includesUnsaved: boolean): void {
    const wanted = multiply(reservationOf(step), count)
    let free = freeResources
    for (const [task, victim] of this.victims(known.report.worker, includesUnsaved)) {
      if (hasRoomFor(free, wanted)) return
      const freed = reservationOf(victim)
      if (!reducesShortage(free, wanted, freed)) continue
      this.decisions.stop(task, 'preempted')
      free = addResources(free, freed)
    }
  }

  private victims (worker: string, takesUnsaved: boolean): ReadonlyArray<readonly [JobTask, Step]> {
    const { book } = this.decisions
    const saved: Array<readonly [JobTask, Step]> = []
    const unsaved: Array<readonly [JobTask, Step]> = []
    // A stop takes one of the few starts that are left to these.
    const limited: Array<readonly [JobTask, Step]> = []
    for (const task of book.liveOn(worker).values()) {
      const step = book.job(task.jobId)?.steps[task.step]
      if (step === undefined || step.isLongRunning) continue
      const kind = task.suspicion !== undefined && isLimited(task.suspicion) ? limited : step.isCheckpointed ? saved : unsaved
      kind.push([task, step])
    }
    return takesUnsaved ? [...saved, ...unsaved, ...limited] : saved
  }
}

/**
 * The workers that could fit a task, by ascending shortage of resources. Workers that may take no more tasks of the step
 * are left out: they would be held without use for as long as their long-running tasks stay.
 */
function rankByShortage (candidates: readonly Candidate[], group: StepTasks, liveOfStep: ReadonlyMap<string, number>): readonly Candidate[] {
  const wanted = reservationOf(group.step)
  return candidates
    .filter(candidate => !candidate.isHeld && couldFit(candidate, group.job.queue.pool, group.step) && countPlaceableTasks(candidate, group, liveOfStep) > 0)
    .map(candidate => ({ candidate, lack: shortageOf(candidate, wanted) }))
    .sort((a, b) => a.lack - b.lack || b.candidate.freeResources.processors - a.candidate.freeResources.processors)
    .map(({ candidate }) => candidate)
}

/** Resources that a worker lacks for a task, as the sum of the shares of its capacity. */
function shortageOf ({ freeResources, known }: Candidate, wanted: Resources): number {
  const { capacity } = known.report
  return shareOf(wanted.processors - freeResources.processors, capacity.processors) + shareOf(wanted.memoryMb - freeResources.memoryMb, capacity.memoryMb) +
    shareOf(wanted.accelerators - freeResources.accelerators, capacity.accelerators)
}

function shareOf (lack: number, capacity: number): number { return lack > 0 && capacity > 0 ? lack / capacity : 0 }

function countPlaceableTasks (candidate: Candidate, { step }: StepTasks, liveOfStep: ReadonlyMap<string, number>): number {
  const alreadyThere = liveOfStep.get(candidate.known.report.worker) ?? 0
  return Math.min(countFittingTasks(candidate, step), candidate.mayTake - candidate.assignedRuns, tasksLeftBelowMaximum(step, alreadyThere))
}

function reducesShortage (free: Resources, wanted: Resources, freed: Resources): boolean {
  return (free.processors < wanted.processors && freed.processors > 0) || (free.memoryMb < wanted.memoryMb && freed.memoryMb > 0) ||
    (free.accelerators < wanted.accelerators && freed.accelerators > 0)
}

function multiply ({ processors, memoryMb, accelerators }: Resources, count: number): Resources {
  return { processors: processors * count, memoryMb: memoryMb * count, accelerators: accelerators * count }
}

function keyOf ({ job, stepNumber }: StepTasks): string { return `${job.jobId}.${stepNumber}` }
