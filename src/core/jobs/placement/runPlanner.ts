import type { Resources } from '../../catalogue'
import type { WorkerHealth } from '../../health'
import type { LeaseTable } from '../../leases'
import { type DecisionLog, type JobBook, type JobTask, nameTask, reservationOf, type StepTasks, type WorkerLack, type WorkerRoom } from '../book'
import type { PlacementPolicy } from './placementPolicy'
import { describeLongRunning, type LongRunningLoad } from './longRunningLoad'
import { LongRunningWaits } from './longRunningWaits'
import { countRunnableTasks, isLightlyReserved, mayRun, poolCapacity, reserveResources, type Candidate } from './candidate'
import { CandidateCache } from './candidateCache'
import type { ZoneShare } from '../order'
import { separatesImages } from './imageGrouping'
import { mayStartIn, type RegionOf } from './regions'
import { Preemptor } from './preemptor'
import { packedTasksPerWorker } from './jobPacking'
import type { UsualRates } from '../review'
import { slowSpeedThreshold, tasksLeftBelowMaximum, type PlacementContext } from './runPlacement'
import { WorkerRanking } from './workerRanking'
import type { KnownWorker, WorkerRoster, WorkerSpeeds } from '../workers'
import type { PressureModel } from '../filling'
import { blameOf, isLimited, isSuspect, needsPause } from '../crashes'
import { SuspectIsolation } from './suspectIsolation'
import { WarmUp } from './warmUp'
import { lackOf } from './workerLack'
import { WorkerTrials } from './workerTrials'

/** A point in time on both clocks of the leader, in milliseconds. */
export interface Moment {
  /** Steady time. */
  readonly now: number
  /** Wall-clock time. */
  readonly wallClock: number
}

/** Dependencies of the run planner. */
export interface RunPlannerParts {
  readonly decisions: DecisionLog
  readonly roster: WorkerRoster
  readonly leases: LeaseTable
  readonly health: WorkerHealth
  readonly speeds: WorkerSpeeds
  readonly pressure: PressureModel
  readonly policy: PlacementPolicy
  readonly regionOf: RegionOf
  /** Whether serving tasks of one image get workers of their own when serving tasks reserve a large share of a pool. */
  readonly groupsImages: boolean
  /** The usual rates of tasks, which decide how jobs are packed; absent if packing is off. */
  readonly packing?: UsualRates | undefined
  /** How often the VM of a worker has crashed recently. */
  readonly countCrashes: (worker: string, now: number) => number
  /** Whether a run of a task on a worker would hardly be lost at present for another cause than the task. */
  readonly isCalm: (task: string, worker: string, now: number) => boolean
}

/** Load of the workers that may be assigned runs. */
export interface LoadSummary {
  /** Jobs which have not ended. */
  readonly jobs: number
  /** Waiting tasks that may start now. */
  readonly waitingTasks: number
  /** The tasks of long-running jobs, by queue. */
  readonly longRunning: readonly LongRunningLoad[]
  /** The shares of the callers' zones; empty without fair sharing. */
  readonly zoneShares: readonly ZoneShare[]
  readonly workers: ReadonlyArray<{ readonly worker: string, readonly servingTasks: number, readonly freeProcessors: number, readonly filledProcessors: number, readonly isSlow: boolean }>
}

/** Runs that may be assigned to an unproven worker in one plan. */
const maximumUnprovenRuns = 8

/** How long a job of filling tasks may have no live task while its pool is lightly reserved, in milliseconds; half the time after which the platform considers the job lost. */
const maximumIdleJobMs = 1500

/** More than what suspects count against a worker: the tasks for which it is held would have to wait for another one. */
const heldPenalty = 10_000

/** Decides which waiting tasks start, and on which worker. */
export class RunPlanner {
  private readonly decisions: DecisionLog
  private readonly book: JobBook
  /** Since when jobs of filling tasks have had no live task, in milliseconds of the steady clock. */
  private readonly idleSince = new Map<string, number>()
  private readonly preemptor: Preemptor
  private readonly trials: WorkerTrials
  private readonly list: CandidateCache
  private readonly warmUp = new WarmUp()
  private readonly isolation: SuspectIsolation
  private readonly waits = new LongRunningWaits()

  constructor (private readonly parts: RunPlannerParts) {
    this.decisions = parts.decisions
    this.book = parts.decisions.book
    this.list = new CandidateCache(this.book)
    this.preemptor = new Preemptor(parts.decisions)
    this.isolation = new SuspectIsolation({ book: this.book, countCrashes: parts.countCrashes })
    this.trials = new WorkerTrials({ book: this.book, roster: parts.roster, health: parts.health })
  }

  /** Drops all planning state at the beginning of a leadership. */
  clear (): void {
    this.preemptor.clear()
    this.idleSince.clear()
    this.trials.clear()
    this.list.clear()
    this.warmUp.clear()
    this.isolation.clear()
    this.waits.clear()
    this.parts.policy.clear()
  }

  /** Ramps up the cold workers of a zone whose evacuation has ended. */
  rampUpZone (zone: string, now: number): void { this.warmUp.rampUpZone(zone, now) }

  /** Summarises the load of the workers for logs. */
  describeLoad (moment: Moment): LoadSummary {
    const candidates = this.candidates(moment.now)
    const groups = this.order(candidates, moment)
    return {
      jobs: [...this.book.openJobs()].length,
      waitingTasks: groups.reduce((sum, group) => sum + group.tasks.filter(task => task.state === 'waiting').length, 0),
      longRunning: describeLongRunning(this.book, this.parts.roster),
      zoneShares: this.parts.policy.reportShares(),
      workers: candidates.map(candidate => ({
        worker: candidate.known.report.worker,
        servingTasks: candidate.servingTasks,
        freeProcessors: candidate.freeResources.processors - candidate.filledProcessors,
        filledProcessors: candidate.filledProcessors,
        isSlow: candidate.speed < slowSpeedThreshold
      }))
    }
  }

  /** Releases runs that have certainly ended and assigns tasks that can start. */
  plan (moment: Moment): void {
    this.releaseExpired(moment.now)
    this.trials.resolve()
    const candidates = this.candidates(moment.now)
    this.isolation.begin(candidates, moment.now)
    const groups = this.order(candidates, moment)
    this.waits.begin(groups, moment.now)
    for (const group of groups) {
      const allowed = this.filterByRegion(group, candidates)
      const isPlaced = this.place(group, allowed, moment.now)
      if (group.step.isLongRunning) this.reportWaiting(group, allowed, moment.now)
      if (!isPlaced && group.step.isLongRunning) this.makeRoom(group, allowed, moment)
      if (!isPlaced && group.step.isFilling) this.startIfIdle(group, allowed, moment)
    }
    this.preemptor.forgetUnblocked()
    this.forgetIdle()
  }

  /** Reports a long-running step whose tasks have waited for long, with what each worker of its pool lacks and the room of the usable ones. */
  private reportWaiting (group: StepTasks, candidates: readonly Candidate[], now: number): void {
    const { job: { jobId, queue }, occurrence, stepNumber, tasks } = group
    const step = `${jobId}.${occurrence}.${stepNumber}`
    const waitingMs = this.waits.takeReport(step, tasks, now)
    if (waitingMs === undefined) return
    const usable = new Map(candidates.map(candidate => [candidate.known.report.worker, candidate]))
    const liveOfStep = countLive(group)
    const lacks = new Map<string, WorkerLack>()
    const rooms = new Map<string, WorkerRoom>()
    for (const known of this.parts.roster.all()) {
      const { worker, pool } = known.report
      const candidate = usable.get(worker)
      if (pool !== queue.pool) continue
      if (candidate !== undefined) rooms.set(worker, { free: candidate.freeResources, reclaimable: candidate.reclaimableResources })
      lacks.set(worker, candidate === undefined ? this.exclusionOf(known, now) ?? 'proof' : lackOf(candidate, group, liveOfStep.get(worker) ?? 0))
    }
    this.decisions.addFinding({ type: 'waiting', step, tasks: tasks.filter(task => task.state === 'waiting').length, waitingMs, needed: reservationOf(group.step), lacks, rooms })
  }

  private order (candidates: readonly Candidate[], { wallClock }: Moment): readonly StepTasks[] {
    const capacities = new Map<string, Resources>()
    return this.parts.policy.order(this.book, wallClock, pool => {
      const capacity = capacities.get(pool) ?? poolCapacity(candidates, pool)
      capacities.set(pool, capacity)
      return capacity
    })
  }

  /** Frees resources for long-running tasks that fit on no worker, and tries workers that are not trusted once one of them is overdue. */
  private makeRoom (group: StepTasks, candidates: readonly Candidate[], { now }: Moment): void {
    this.preemptor.makeRoom(group, candidates, countLive(group), now)
    if (group.tasks.some(task => this.waits.isOverdue(task, now))) this.placeOnTrial(group, now)
  }

  /**
   * Places a long-running task as a trial on a worker in quarantine, or on probation with another trial. The worker may have
   * recovered, or may fail only some runs, and a task that can't run anywhere else loses nothing.
   */
  private placeOnTrial (group: StepTasks, now: number): void {
    const untrusted = this.filterByRegion(group, this.candidates(now, 'untrusted'))
    if (untrusted.length > 0) this.place(group, untrusted, now)
  }

  /**
   * Starts one filling task of a job that has had no live task for too long, even without spare processors. Filling tasks
   * reserve no processors, so a pool of which less than half is reserved can run it, and the job must make progress.
   */
  private startIfIdle (group: StepTasks, candidates: readonly Candidate[], { now }: Moment): void {
    const { job } = group
    if (job.tasks.some(task => task.state === 'live')) return
    const idleSince = this.idleSince.get(job.jobId) ?? now
    this.idleSince.set(job.jobId, idleSince)
    if (now - idleSince < maximumIdleJobMs || !isLightlyReserved(candidates, job.queue.pool)) return
    const waiting = group.tasks.filter(found => found.state === 'waiting')
    const isApart = ({ suspicion }: JobTask): boolean => suspicion !== undefined && isSuspect(suspicion)
    const task = waiting.find(found => !isApart(found)) ?? waiting[0]
    if (task === undefined) return
    const context = { liveOfStep: countLive(group), pressure: this.parts.pressure, allowsOvercommit: true }
    const candidate = isApart(task) ? this.isolate(task, group, candidates, context, now) : this.rank(candidates, group, context).best()
    if (candidate !== undefined) this.assign(task, group, candidate, now)
  }

  /** Drops jobs that have a live task or have ended. */
  private forgetIdle (): void {
    for (const jobId of [...this.idleSince.keys()]) {
      const job = this.book.job(jobId)
      if (job === undefined || job.endedAt !== undefined || job.tasks.some(task => task.state === 'live')) this.idleSince.delete(jobId)
    }
  }

  private releaseExpired (now: number): void {
    const { roster } = this.parts
    for (const worker of [...this.book.workersWithRuns()]) {
      const cause = roster.hasEnded(worker) ? 'bootEnded' : this.parts.leases.isExpired(worker, now) ? 'leaseLapsed' : undefined
      if (cause === undefined) continue
      const basis = { cause, reportAgeMs: this.parts.leases.ageMs(worker, now) } as const
      this.decisions.releaseAll(worker, basis, task => ({ checkpoint: roster.find(worker)?.running.get(task)?.checkpoint ?? '' }))
    }
  }

  /** The workers that may be assigned runs, also if they ramp up and take none in this plan, or those that may only be tried with long-running tasks. */
  private candidates (now: number, kind: 'usable' | 'untrusted' = 'usable'): readonly Candidate[] {
    const found: Candidate[] = []
    for (const known of this.parts.roster.all()) {
      if (this.exclusionOf(known, now) !== undefined) continue
      const { worker } = known.report
      const mayTake = kind === 'usable' ? this.mayTake(worker, now) : this.mayTry(worker, now)
      if (mayTake <= 0) continue
      const candidate = this.list.candidateOf(known, mayTake, this.parts.speeds.speedOf(worker, now))
      candidate.mayTake = Math.min(mayTake, this.warmUp.mayTake(candidate, this.parts.roster.reportedAt(worker), now))
      found.push(candidate)
    }
    const isKnown = (worker: string): boolean => this.parts.roster.find(worker) !== undefined
    this.list.retain(isKnown)
    this.warmUp.retain(isKnown)
    this.isolation.retain(isKnown)
    return found
  }

  /** Why a worker takes no runs whatever its health; undefined if it may take some. */
  private exclusionOf ({ isConnected, report: { worker, zone, isDraining } }: KnownWorker, now: number): WorkerLack | undefined {
    if (!isConnected || !this.parts.leases.hasRecentReport(worker, now)) return 'connection'
    return isDraining || this.book.evacuatedZones.has(zone) ? 'leaving' : undefined
  }

  /** The workers in regions where the tasks of a step may start. */
  private filterByRegion ({ job: { queue } }: StepTasks, candidates: readonly Candidate[]): readonly Candidate[] {
    if ((queue.allowedRegions ?? []).length === 0) return candidates
    return candidates.filter(({ known }) => mayStartIn(known.report.zone, queue, this.parts.regionOf))
  }

  private mayTake (worker: string, now: number): number {
    switch (this.parts.health.standing(worker, now)) {
      case 'healthy': return Number.POSITIVE_INFINITY
      case 'unproven': return maximumUnprovenRuns
      case 'probation': return this.trials.isOnTrial(worker) ? 0 : 1
      case 'quarantined': return 0
    }
  }

  private mayTry (worker: string, now: number): number {
    return this.mayTake(worker, now) === 0 && this.trials.mayBegin(worker, now) ? 1 : 0
  }

  /** Assigns the waiting tasks of a step; false if one found no worker. */
  private place (group: StepTasks, candidates: readonly Candidate[], now: number): boolean {
    const liveOfStep = countLive(group)
    const context = { liveOfStep, pressure: this.parts.pressure, packedTasksPerWorker: this.packedTasksPerWorker(group), separatesImages: this.separatesImages(group, candidates) }
    const ranking = this.rank(candidates, group, context)
    let waitingSuspects = 0
    let hasRoom = true
    for (const task of group.tasks) {
      const isIsolated = task.suspicion !== undefined && isSuspect(task.suspicion)
      const isOverdue = this.waits.isOverdue(task, now)
      if (task.state !== 'waiting' || (!hasRoom && !isIsolated && !isOverdue)) continue
      const apart = isIsolated ? this.isolate(task, group, candidates, context, now) : ranking.best()
      const candidate = apart ?? (isOverdue ? this.chooseForOverdue(task, group, candidates, context, now) : undefined)
      if (candidate === undefined) {
        if (isIsolated) waitingSuspects += 1
        else hasRoom = false
        continue
      }
      this.assign(task, group, candidate, now)
      const { worker } = candidate.known.report
      liveOfStep.set(worker, (liveOfStep.get(worker) ?? 0) + 1)
      ranking.update(candidate)
    }
    // Suspects that only wait for their turn need no room.
    return hasRoom && (waitingSuspects === 0 || waitingSuspects <= this.countPlaces(group, candidates, context))
  }

  /** How many tasks of a step could start now if no worker were held because of suspects. */
  private countPlaces (group: StepTasks, candidates: readonly Candidate[], context: PlacementContext): number {
    let places = 0
    for (const found of candidates) {
      const { job: { queue }, step } = group
      const { isHeld, assignedRuns, mayTake, known } = this.isolation.withoutSuspects(found)
      if (isHeld || !mayRun(found, queue.pool, step)) continue
      places += Math.max(0, Math.min(countRunnableTasks(found, step), mayTake - assignedRuns, tasksLeftBelowMaximum(step, context.liveOfStep.get(known.report.worker) ?? 0)))
    }
    return places
  }

  /** Chooses a worker with room for a long-running task that can't wait, also one that is held for other tasks or still ramps up; undefined if there is none. */
  private chooseForOverdue (task: JobTask, group: StepTasks, candidates: readonly Candidate[], context: PlacementContext, now: number): Candidate | undefined {
    const { suspicion } = task
    const takesHeld = this.waits.hasOutlastedHolds(task, now)
    const candidate = new WorkerRanking(candidates, found => {
      const { isHeld } = this.isolation.withoutSuspects(found)
      const score = this.parts.policy.suitability({ ...found, isHeld: isHeld && !takesHeld, mayTake: Math.max(1, found.mayTake) }, group, context)
      return score === undefined ? undefined : score - this.isolation.crowding(found, now) - (isHeld ? heldPenalty : 0)
    }).best()
    if (candidate !== undefined && suspicion !== undefined && isSuspect(suspicion)) this.isolation.occupy(candidate, blameOf(suspicion))
    return candidate
  }

  /** Chooses the worker on which a suspect of crashes starts apart from others; undefined if there is none now. */
  private isolate (task: JobTask, group: StepTasks, candidates: readonly Candidate[], context: PlacementContext, now: number): Candidate | undefined {
    const { suspicion } = task
    if (!group.step.isLongRunning && this.isolation.isPaused(task, now)) return undefined
    const blame = suspicion === undefined ? 0 : blameOf(suspicion)
    const needsCalm = !group.step.isLongRunning && suspicion !== undefined && isLimited(suspicion) && !needsPause(suspicion)
    const candidate = new WorkerRanking(candidates, found => {
      if (needsCalm && !this.parts.isCalm(nameTask(task), found.known.report.worker, now)) return undefined
      const score = this.isolation.score(found, blame, now)
      if (score === undefined) return undefined
      const usable = this.isolation.isReserved(found) ? { ...found, isHeld: false } : found
      return this.parts.policy.suitability(usable, group, context) === undefined ? undefined : score
    }).best()
    return candidate !== undefined && this.isolation.take(candidate, blame, now) ? candidate : undefined
  }

  /** How many tasks of a step are packed on one worker before another one is used. */
  private packedTasksPerWorker ({ job, step }: StepTasks): number {
    const { packing } = this.parts
    return packing === undefined ? 1 : packedTasksPerWorker(step, packing.rateOf(job, step) !== undefined)
  }

  private separatesImages ({ job, step }: StepTasks, candidates: readonly Candidate[]): boolean {
    return this.parts.groupsImages && step.targetMs > 0 && separatesImages(candidates, job.queue.pool)
  }

  private rank (candidates: readonly Candidate[], group: StepTasks, context: PlacementContext): WorkerRanking {
    return new WorkerRanking(candidates, candidate => this.parts.policy.suitability(candidate, group, context))
  }

  private assign (task: JobTask, group: StepTasks, candidate: Candidate, now: number): void {
    const { worker } = candidate.known.report
    const [name, run] = [nameTask(task), task.run + 1]
    this.decisions.record({ type: 'assignRun', task: name, run, worker })
    reserveResources(candidate, group.step)
    this.list.changed(worker)
    this.isolation.assigned(worker, now)
    const standing = this.parts.health.standing(worker, now)
    if (standing === 'probation' || standing === 'quarantined') this.trials.begin(worker, { task: name, run }, now)
  }
}

function countLive (group: StepTasks): Map<string, number> {
  const counts = new Map<string, number>()
  for (const task of group.tasks) if (task.state === 'live') counts.set(task.worker, (counts.get(task.worker) ?? 0) + 1)
  return counts
}
