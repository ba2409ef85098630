import { addResources, hasRoomFor } from '../ledger/resources'
import { WorkerHealth, type WorkerHealthOptions } from '../health'
import { LeaseTable, type LeaseTableOptions } from '../leases'
import { countOccurrences, longestChainMs, nameTask, reservationOf, type Job, type JobTask, type Submission } from './job'
import { JobBook, type StepTasks } from './jobBook'
import type { JobOperation } from './jobOperation'
import type { Manifest, Queue } from './manifest'
import { chooseHeld, chooseWorker, couldRun, createCandidate, isLightlyReserved, takeRoom, type Candidate } from './runPlacement'
import { RunProgress } from './runProgress'
import { isStalled, isStraggler, relativeSpeed, type StopReason } from './stragglers'
import { isSuperseded, parseBoot } from './workerBoot'
import { WorkerSpeeds } from './workerSpeeds'
import type { AbsenceReason, RunOrder, WorkerLook, WorkerReport } from './workerReport'
import { WorkerRoster, type KnownWorker } from './workerRoster'

/** Options of the scheduler. Times are in milliseconds. */
export interface JobSchedulerOptions {
  readonly leases: LeaseTableOptions
  readonly health: WorkerHealthOptions
}

/** One moment, as the leader's clocks show it, in milliseconds. */
export interface Moment {
  /** Steady time. */
  readonly now: number
  /** Wall-clock time. */
  readonly wallClock: number
}

/** The load of the workers which may take runs. */
export interface LoadSummary {
  /** Jobs which have not ended. */
  readonly jobs: number
  /** Tasks whose turn has come. */
  readonly waitingTasks: number
  readonly workers: ReadonlyArray<{ readonly worker: string, readonly servingTasks: number, readonly freeProcessors: number, readonly filledProcessors: number }>
}

/** A run which its worker is to take down. */
export interface RunStop {
  readonly worker: string
  readonly task: string
  readonly run: number
  readonly reason: StopReason
}

/** How long a job of filling tasks may have nothing running while its pool is lightly reserved, in milliseconds; half the time after which the platform takes it for lost. */
const idleJobMs = 1500
/** How long a long-running task waits for room to come by itself before others are taken down, in milliseconds; a stop and a start must follow within the time in which it has to be back. */
const preemptAfterMs = 1500
/** Time that is kept for stopping what does not end before its worker leaves, in milliseconds; a stop takes up to a second. */
const evacuationReserveMs = 1200

/** Runs which an unproven worker may be given in one plan. */
const unprovenBurst = 8

/**
 * Decides where and when runs start. It works on its own copy of the job book, which is ahead of the
 * committed one: each decision is applied here at once and proposed as an operation, and whatever tells
 * others of it waits until the operation is committed.
 */
export class JobScheduler {
  private readonly book = new JobBook()
  readonly roster = new WorkerRoster()
  private readonly leases: LeaseTable
  private readonly health: WorkerHealth
  private readonly progress = new RunProgress()
  private readonly speeds = new WorkerSpeeds()
  private operations: JobOperation[] = []
  /** Runs which are to be taken down, by the names of their tasks. */
  private readonly stopping = new Map<string, number>()
  private stops: RunStop[] = []
  /** Since when jobs of filling tasks have nothing running, in milliseconds of the steady clock. */
  private readonly idleSince = new Map<string, number>()
  /** Since when long-running steps have found no room, in milliseconds of the steady clock. */
  private readonly blockedSince = new Map<string, number>()

  constructor (options: JobSchedulerOptions) {
    this.leases = new LeaseTable(options.leases)
    this.health = new WorkerHealth(options.health)
  }

  /** Starts a leadership from the committed book. */
  begin (committed: JobBook, now: number): void {
    this.book.load(structuredClone(committed.save()))
    this.roster.clear()
    this.leases.begin(now)
    this.progress.clear()
    this.stopping.clear()
    this.blockedSince.clear()
    this.idleSince.clear()
    this.stops = []
    this.operations = []
  }

  /** The manifest, also if it isn't committed yet. */
  get manifest (): Manifest | undefined { return this.book.manifest }

  /** A job, also if its acceptance isn't committed yet. */
  job (jobId: string): Job | undefined { return this.book.job(jobId) }

  /** What is to be proposed since the last call, in order. */
  takeOperations (): readonly JobOperation[] {
    const { operations } = this
    this.operations = []
    return operations
  }

  /** Runs which workers are to take down since the last call. */
  takeStops (): readonly RunStop[] {
    const { stops } = this
    this.stops = []
    return stops
  }

  putManifest (manifest: Manifest): void { this.record({ type: 'putManifest', manifest }) }

  /** Whether the pool has workers, and none of them could ever run some step of these, were it empty. */
  isHopeless (submission: Submission, queue: Queue): boolean {
    const workers = [...this.roster.all()].filter(known => known.report.pool === queue.pool)
    return workers.length > 0 && submission.steps.some(step => !workers.some(known => couldRun(known, queue.pool, step)))
  }

  accept (submission: Submission, queue: Queue, at: number): void { this.record({ type: 'acceptJob', submission, queue, at }) }

  cancel (jobId: string, at: number): void { this.record({ type: 'cancelJob', jobId, at }) }

  /** Takes a worker's description. False if it is older than what is known. */
  reportWorker (agent: string, report: WorkerReport, now: number): boolean {
    if (!this.roster.report(agent, report, now)) return false
    this.leases.reported(report.worker, report.clockMs, now)
    this.releaseSuperseded(report)
    return true
  }

  /** Also releases runs of boots which only a former leader knew. */
  private releaseSuperseded (report: WorkerReport): void {
    const boot = parseBoot(report.worker)
    for (const worker of [...this.book.workersWithRuns()]) {
      if (isSuperseded(parseBoot(worker), boot)) this.releaseAll(worker)
    }
  }

  /** Takes what a worker lists. */
  look (look: WorkerLook, moment: Moment): void {
    if (this.roster.find(look.worker) === undefined) return
    this.leases.reported(look.worker, look.clockMs, moment.now)
    this.roster.look(look)
    this.progress.observe(look.running, moment.now)
    for (const ended of look.ends) {
      const isCounted = this.record({ type: 'endRun', ...pick(ended), worker: look.worker, at: moment.wallClock })
      if (!isCounted) continue
      if (ended.end === 'done') this.health.succeeded(look.worker)
      if (ended.end === 'failed') this.health.failed(look.worker, ended.task, moment.now)
    }
  }

  /** Records that a boot of a worker has ended, so that nothing runs there. */
  workerEnded (worker: string): void {
    this.roster.end(worker)
    this.releaseAll(worker)
  }

  /** Records that a run is certainly not at its worker. */
  runAbsent (worker: string, task: string, run: number, reason: AbsenceReason, now: number): void {
    const checkpoint = this.roster.find(worker)?.running.get(task)?.checkpoint ?? ''
    const isCounted = this.record({ type: 'releaseRun', task, run, worker, checkpoint })
    if (isCounted && (reason === 'unhealthy' || reason === 'refused')) this.health.failed(worker, task, now)
  }

  agentLost (agent: string): void { this.roster.disconnected(agent) }

  /** The end of the next lease of a worker in its own clock, in milliseconds; undefined if it isn't known. */
  grantLease (worker: string): number | undefined {
    return this.roster.find(worker) === undefined ? undefined : this.leases.grant(worker)
  }

  /** The orders which stand for a boot of a worker, from the committed book. */
  ordersFor (committed: JobBook, worker: string): readonly RunOrder[] {
    return [...committed.liveOn(worker)].flatMap(([name, task]) => {
      const job = committed.job(task.jobId)
      if (job === undefined) return []
      const order = makeOrder(job, name, task.run, task.checkpoint)
      return [this.stopping.get(name) === task.run ? { ...order, isUnwanted: true } : order]
    })
  }

  /** Takes runs down which don't get on where they are, or whose worker is about to leave. */
  review (moment: Moment): void {
    for (const job of this.book.openJobs()) this.reviewJob(job, moment)
    for (const known of this.roster.all()) if (known.report.isDraining) this.evacuate(known, moment)
  }

  /** How loaded the workers are, for logs. */
  describeLoad (moment: Moment): LoadSummary {
    const candidates = this.candidates(moment.now)
    const groups = this.startableGroups(moment.wallClock)
    return {
      jobs: [...this.book.openJobs()].length,
      waitingTasks: groups.reduce((sum, group) => sum + group.tasks.filter(task => task.state === 'waiting').length, 0),
      workers: candidates.map(candidate => ({
        worker: candidate.known.report.worker,
        servingTasks: candidate.servingTasks,
        freeProcessors: candidate.room.processors - candidate.filledProcessors,
        filledProcessors: candidate.filledProcessors
      }))
    }
  }

  /** Releases what certainly ended and assigns what can start. */
  plan (moment: Moment): void {
    this.releaseExpired(moment.now)
    const candidates = this.candidates(moment.now)
    if (candidates.length === 0) return
    for (const group of this.startableGroups(moment.wallClock)) {
      const isPlaced = this.place(group, candidates)
      if (!isPlaced && group.step.isLongRunning) this.makeRoom(group, candidates, moment)
      if (!isPlaced && group.step.isFilling) this.startIfIdle(group, candidates, moment)
    }
    this.forgetPlaced()
    this.forgetIdle()
  }

  /**
   * Keeps a worker free for a long-running task that fits nowhere: nothing else starts there, and if that is not enough
   * for too long, filling tasks with checkpoints are taken down. Such a task must be back within seconds however full
   * the pool is.
   */
  private makeRoom (group: StepTasks, candidates: readonly Candidate[], { now }: Moment): void {
    const key = `${group.job.jobId}.${group.stepNumber}`
    const blockedSince = this.blockedSince.get(key) ?? now
    this.blockedSince.set(key, blockedSince)
    const held = chooseHeld(candidates, group)
    if (held === undefined) return
    held.isHeld = true
    if (now - blockedSince >= preemptAfterMs) this.preempt(held, group)
  }

  private preempt (held: Candidate, group: StepTasks): void {
    const { worker } = held.known.report
    let { room } = held
    for (const [name, task] of this.book.liveOn(worker)) {
      if (hasRoomFor(room, reservationOf(group.step))) return
      const step = this.book.job(task.jobId)?.steps[task.step]
      if (step === undefined || step.isLongRunning || !step.isCheckpointed) continue
      if (this.stopping.get(name) !== task.run) this.stop(task, 'preempted')
      room = addResources(room, reservationOf(step))
    }
  }

  /**
   * Starts one filling task of a job that has nothing running for too long, also without spare processors: filling tasks
   * reserve none, so a pool that is reserved by less than half has room for it, and its job must get on.
   */
  private startIfIdle (group: StepTasks, candidates: readonly Candidate[], { now }: Moment): void {
    const { job } = group
    if (job.tasks.some(task => task.state === 'live')) return
    const idleSince = this.idleSince.get(job.jobId) ?? now
    this.idleSince.set(job.jobId, idleSince)
    if (now - idleSince < idleJobMs || !isLightlyReserved(candidates, job.queue.pool)) return
    const task = group.tasks.find(found => found.state === 'waiting')
    const candidate = chooseWorker(candidates, group, countLive(group), true)
    if (task !== undefined && candidate !== undefined) this.assign(task, group, candidate)
  }

  /** Jobs which have something running, or have ended, are idle no more. */
  private forgetIdle (): void {
    for (const jobId of [...this.idleSince.keys()]) {
      const job = this.book.job(jobId)
      if (job === undefined || job.endedAt !== undefined || job.tasks.some(task => task.state === 'live')) this.idleSince.delete(jobId)
    }
  }

  /** A long-running step which has no waiting task is blocked no more. */
  private forgetPlaced (): void {
    for (const key of [...this.blockedSince.keys()]) {
      const [jobId, step] = key.split('.')
      const isWaiting = this.book.job(jobId ?? '')?.tasks.some(task => task.step === Number(step) && task.state === 'waiting') === true
      if (!isWaiting) this.blockedSince.delete(key)
    }
  }

  private reviewJob (job: Job, moment: Moment): void {
    for (const task of job.tasks) {
      if (task.state !== 'live' || !this.isListed(task)) continue
      const step = job.steps[task.step]
      if (step === undefined) continue
      const siblings = job.tasks.filter(other => other.step === task.step && other.occurrence === task.occurrence)
      const speed = step.isFilling ? undefined : relativeSpeed(task, siblings, this.progress)
      if (speed !== undefined) this.speeds.observe(task.worker, speed, moment.now)
      if (isStalled(task, step, this.progress)) this.stallFound(task, moment)
      else if (isStraggler(task, job, siblings, this.progress)) this.stop(task, 'straggler')
    }
  }

  /** Long-running tasks move at once; others stay if they end before the worker leaves. */
  private evacuate ({ report, running }: KnownWorker, moment: Moment): void {
    const leavesInMs = (report.remainingMs ?? 0) - (moment.now - this.roster.reportedAt(report.worker))
    for (const [name, task] of this.book.liveOn(report.worker)) {
      const step = this.book.job(task.jobId)?.steps[task.step]
      const listed = running.get(name)
      if (step === undefined || listed?.run !== task.run) continue
      const rate = this.progress.rate(name, task.run)
      const leftMs = rate === undefined || rate <= 0 ? step.estimateMs : (100 - listed.percent) / rate
      if (step.isLongRunning || leftMs > leavesInMs - evacuationReserveMs) this.stop(task, 'draining')
    }
  }

  /** A worker on which tasks stand still is as bad as one that fails them. */
  private stallFound (task: JobTask, { now }: Moment): void {
    if (this.stopping.get(nameTask(task)) === task.run) return
    this.health.failed(task.worker, nameTask(task), now)
    this.stop(task, 'stalled')
  }

  private isListed (task: JobTask): boolean {
    return this.roster.find(task.worker)?.running.get(nameTask(task))?.run === task.run
  }

  private stop (task: JobTask, reason: StopReason): void {
    const name = nameTask(task)
    if (this.stopping.get(name) === task.run) return
    this.stopping.set(name, task.run)
    this.stops.push({ worker: task.worker, task: name, run: task.run, reason })
  }

  private releaseExpired (now: number): void {
    for (const worker of [...this.book.workersWithRuns()]) {
      if (this.roster.isGone(worker) || this.leases.isExpired(worker, now)) this.releaseAll(worker)
    }
  }

  private releaseAll (worker: string): void {
    const running = this.roster.find(worker)?.running
    for (const [task, { run }] of [...this.book.liveOn(worker)]) {
      this.record({ type: 'releaseRun', task, run, worker, checkpoint: running?.get(task)?.checkpoint ?? '' })
    }
  }

  private candidates (now: number): readonly Candidate[] {
    const found: Candidate[] = []
    for (const known of this.roster.all()) {
      const { worker, isDraining } = known.report
      if (!known.isConnected || isDraining || !this.leases.isHeard(worker, now)) continue
      const mayTake = this.mayTake(worker, now)
      if (mayTake > 0) found.push(createCandidate(known, this.book, mayTake, this.speeds.speedOf(worker, now)))
    }
    return found
  }

  private mayTake (worker: string, now: number): number {
    switch (this.health.standing(worker, now)) {
      case 'healthy': return Number.POSITIVE_INFINITY
      case 'unproven': return unprovenBurst
      case 'probation': return this.book.liveOn(worker).size > 0 ? 0 : 1
      case 'quarantined': return 0
    }
  }

  private startableGroups (wallClock: number): readonly StepTasks[] {
    const groups: StepTasks[] = []
    for (const job of this.book.openJobs()) {
      for (const group of this.book.startableSteps(job)) if (isDue(group, wallClock)) groups.push(group)
    }
    return groups.sort((a, b) => rankOf(a, wallClock) - rankOf(b, wallClock) || dueAt(a.job) - dueAt(b.job))
  }

  /** Assigns the waiting tasks of a step; false if one found no worker. */
  private place (group: StepTasks, candidates: readonly Candidate[]): boolean {
    const liveOfStep = countLive(group)
    for (const task of group.tasks) {
      if (task.state !== 'waiting') continue
      const candidate = chooseWorker(candidates, group, liveOfStep)
      if (candidate === undefined) return false
      this.assign(task, group, candidate)
      const { worker } = candidate.known.report
      liveOfStep.set(worker, (liveOfStep.get(worker) ?? 0) + 1)
    }
    return true
  }

  private forgetRun (task: string): void {
    this.stopping.delete(task)
    this.progress.forget(task)
  }

  private assign (task: JobTask, group: StepTasks, candidate: Candidate): void {
    this.record({ type: 'assignRun', task: nameTask(task), run: task.run + 1, worker: candidate.known.report.worker })
    takeRoom(candidate, group.step)
  }

  private record (operation: JobOperation): boolean {
    const isChanged = this.book.apply(operation)
    if (isChanged) this.operations.push(operation)
    if (isChanged && (operation.type === 'endRun' || operation.type === 'releaseRun')) this.forgetRun(operation.task)
    return isChanged
  }
}

/** The order which a committed assignment or the end of its job brings to the worker. */
export function makeOrder (job: Job, task: string, run: number, checkpoint: string): RunOrder {
  const step = job.steps[Number(task.split('.')[2])]
  return {
    task,
    run,
    spec: job.spec,
    checkpoint,
    isFilling: step?.isFilling === true,
    targetMs: step?.targetMs ?? 0,
    isUnwanted: job.endedAt !== undefined
  }
}

/** How long after its acceptance a job still earns its full worth, in milliseconds. */
export function objectiveMs (job: Pick<Job, 'steps' | 'queue'>): number {
  return job.queue.slackFactor * longestChainMs(job.steps) + job.queue.targetLatencyMs
}

function dueAt (job: Job): number {
  return job.acceptedAt + objectiveMs(job)
}

/** A job earns nothing after this many times its objective, as the users' valuation of late jobs says. */
const worthlessAfterObjectives = 3

/** Later than any priority of a queue. */
const lateRank = 1_000_000

/**
 * Long-running tasks first, then by priority; within one, jobs that can still meet their objectives before late ones,
 * as the order of due times alone makes everything late once load is above the room. What is worth nothing comes last.
 */
function rankOf (group: StepTasks, wallClock: number): number {
  const { job, step } = group
  if (step.isLongRunning) return -1
  if (wallClock > job.acceptedAt + worthlessAfterObjectives * objectiveMs(job)) return Number.MAX_SAFE_INTEGER
  return job.queue.priority + (wallClock + remainingChainMs(group) > dueAt(job) ? lateRank : 0)
}

/** The declared length of the longest chain that begins with this step, in milliseconds. */
function remainingChainMs ({ job, stepNumber }: StepTasks): number {
  const lengths = new Map<number, number>()
  for (let number = job.steps.length - 1; number >= stepNumber; number -= 1) {
    const after = Math.max(0, ...job.steps.flatMap((step, later) => step.dependsOn.includes(number) ? [lengths.get(later) ?? 0] : []))
    lengths.set(number, (job.steps[number]?.estimateMs ?? 0) + after)
  }
  return lengths.get(stepNumber) ?? 0
}

function isDue ({ job, occurrence }: StepTasks, wallClock: number): boolean {
  const { schedule } = job
  return schedule === undefined || countOccurrences(job) <= occurrence || wallClock >= schedule.startAtMs + occurrence * schedule.intervalMs
}

function countLive (group: StepTasks): Map<string, number> {
  const counts = new Map<string, number>()
  for (const task of group.tasks) if (task.state === 'live') counts.set(task.worker, (counts.get(task.worker) ?? 0) + 1)
  return counts
}

function pick ({ task, run, end, checkpoint }: WorkerLook['ends'][number]) {
  return { task, run, end, checkpoint }
}
