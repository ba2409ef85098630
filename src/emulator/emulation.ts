import { type AdmissionPolicy, drainDecisionDelayMs, FillPacing, JobBook, JobScheduler, type JobSchedulerOptions, nameBoot, pairOf, priorPressure, usedShare, type FillingImage, type Job, type JobOperation, type PlacementPolicy, type WeightEstimate, type WorkerCrash, type WorkerReport } from '../core/jobs'
import { EmulatedCallers, type RefusalOutcome } from './emulatedCallers'
import { EmulatedWorker, type PressureTruth, type TaskTruth } from './emulatedWorker'
import type { Scenario, Trouble } from './scenario'
import { servingSampleMs, Valuation, type EmulationResult } from './valuation'
import { addCrashingTasks, createWorkload, type Arrival } from './workload'

/** Options of one run of a scenario. */
export interface EmulationOptions {
  readonly scenario: Scenario
  /** A baseline to play instead of the scheduler's own policy. */
  readonly policy?: (() => PlacementPolicy) | undefined
  /** How the scheduler orders waiting tasks and places them; as settings select it, and their defaults if absent. */
  readonly scheduling?: Pick<JobSchedulerOptions, 'order' | 'sharesFairly' | 'groupsImages'> | undefined
  /** Decides which jobs are accepted; all are if absent. */
  readonly admission?: AdmissionPolicy | undefined
  /** A source of numbers from 0 to 1; the same sequence gives the same run. */
  readonly random: () => number
  /** Creates a random source for one purpose, so that two variants of a run get the same troubles and image pairs; if absent, all are drawn from `random`. */
  readonly randomOf?: ((purpose: string) => () => number) | undefined
  /** Whether the tasks of a job are placed on few workers. */
  readonly packsJobs?: boolean | undefined
  /** The length of a lease, in milliseconds; 5,000 if absent. */
  readonly leaseMs?: number | undefined
}

const stepMs = 50
/** The interval of looks at a worker: that of agents while serving and filling tasks share a worker. */
const lookIntervalMs = 500
/** The delay from a decision to its effect at a worker: one commit and two messages. */
const orderDelayMs = 50
/** The time after the last arrivals in which jobs may still complete, as the platform grants. */
const finishMs = 14_000
/** The delay until the scheduler learns that a crashed worker has ended. */
const crashDetectionMs = 600
/** The delay until another worker replaces one that left. */
const replacementMs = 4000
const defaultLeaseMs = 5000
const leases = { maximumDrift: 0.02, formerLeaderMs: 1000, heardWithinMs: 2500 } as const
const health = { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 } as const
const reviewMs = 250
/** The delay until a worker reports a change of its capacity: one interval of its heartbeats. */
const reportDelayMs = 1500
/** The time in which orders may still exceed a capacity that shrank. */
const shrinkGraceMs = 4500
/** The delay until a worker that crashed under a task is back. */
const crashDownMs = 3000
/** The crashes under one task after which the platform limits its further starts, and that limit. */
const countedCrashes = 3
const maximumFurtherStarts = 2

/** What became of tasks that crash their workers and of the others. */
export interface CrashOutcome {
  /** Tasks under which workers crashed, and those of them that were given up. */
  readonly culprits: number
  readonly found: number
  /** The crashes under each culprit. */
  readonly crashes: readonly number[]
  /** The starts of each culprit after the crashes from which on the platform limits them. */
  readonly furtherStarts: readonly number[]
  /** Jobs that failed without cause. */
  readonly innocentsFailed: number
}

interface Place {
  worker: EmulatedWorker
  readonly agent: string
  readonly processors: number
  readonly rack: string
  pacing: FillPacing
  boot: number
  nextLookAt: number
  acknowledged: number
  /** Whether a network partition stops its looks and orders. */
  isCut: boolean
  /** Its present capacity as a fraction of the usual one, and when that last changed. */
  capacityFactor: number
  resizedAt: number
  /** The boot before this one, which each report tells, so that a new leader learns of its crash. */
  former: { readonly worker: string, readonly endedAt: number, readonly crash: WorkerCrash | undefined } | undefined
  /** Processors reserved on it at the last check. */
  lastReserved: number
  lastLookAt: number
}

/** Runs a scenario in virtual time against the production scheduler. */
export class Emulation {
  private now = 0
  private committed = new JobBook()
  private scheduler: JobScheduler
  private readonly places: Place[] = []
  private readonly arrivals: readonly Arrival[]
  private readonly byId: ReadonlyMap<string, Arrival>
  private readonly pressures = new Map<string, WeightEstimate>()
  private readonly due: Array<{ readonly at: number, readonly act: () => void }> = []
  private readonly broken: string[] = []
  private readonly endedAt = new Map<string, number>()
  private readonly cancelled = new Set<string>()
  private readonly pressure: PressureTruth
  private readonly valuation: Valuation
  private readonly callers: EmulatedCallers
  private leaderSince = 0
  private readonly leaseMs: number
  /** How often workers crashed under a task, and how often it was started after that reached the limit. */
  private readonly crashesByTask = new Map<string, { crashes: number, furtherStarts: number }>()
  private readonly failedWithoutCause = new Set<string>()
  private readonly placesByGroup = new Map<string, readonly Place[]>()

  constructor (private readonly options: EmulationOptions) {
    const { scenario, random } = options
    this.arrivals = scenario.troubles.filter(({ kind }) => kind === 'crashing')
      .reduce((arrivals, trouble) => addCrashingTasks(arrivals, trouble, options.randomOf?.('crashing tasks') ?? random), createWorkload(scenario, random))
    this.byId = new Map(this.arrivals.map(arrival => [arrival.submission.jobId, arrival]))
    this.pressure = createPressure(scenario, options)
    this.valuation = new Valuation({ scenario, arrivals: this.arrivals, finishMs })
    this.callers = new EmulatedCallers({ scheduler: () => this.scheduler, now: () => this.now, leaderSince: () => this.leaderSince, runAfter: (delayMs, act) => this.runAfter(delayMs, act) })
    this.leaseMs = options.leaseMs ?? defaultLeaseMs
    this.scheduler = this.createScheduler()
    for (let number = 0; number < scenario.workers.count; number += 1) this.addPlace(number)
    scenario.troubles.forEach((trouble, number) => this.schedule(trouble, options.randomOf?.(`trouble ${number}`) ?? random))
  }

  /** Runs the complete scenario; to be called once. */
  run (): EmulationResult {
    const endAt = this.options.scenario.seconds * 1000
    let next = 0
    for (; this.now < endAt + finishMs; this.now += stepMs) {
      for (let arrival = this.arrivals[next]; arrival !== undefined && arrival.at <= this.now; next += 1, arrival = this.arrivals[next]) {
        this.callers.submit(arrival)
      }
      this.act()
      for (const place of this.places) this.advancePlace(place)
      if (this.now % reviewMs === 0) {
        this.scheduler.review(this.moment())
        this.scheduler.recordPressures()
        this.scheduler.recordBeginnings()
      }
      this.scheduler.plan(this.moment())
      this.applyOperations()
      this.check()
      if (this.now < endAt && this.now % servingSampleMs === 0 && this.now > 0) this.valuation.sample(this.places.map(place => place.worker))
    }
    for (const { crashesWorkers, submission } of this.arrivals) if (crashesWorkers === true) this.cancelled.add(submission.jobId)
    const crashes = [...this.crashesByTask.values()].reduce((sum, found) => sum + found.crashes, 0)
    return this.valuation.result({ endedAt: this.endedAt, cancelled: this.cancelled, processors: this.places.map(place => place.processors), crashes, broken: this.broken })
  }

  /** Returns counts of refused jobs and prediction errors, after the run. */
  refusals (): RefusalOutcome { return this.callers.outcome(this.endedAt) }

  /** Returns what became of tasks that crash their workers, after the run. */
  crashOutcome (): CrashOutcome {
    const tasks = [...this.crashesByTask]
    return {
      culprits: tasks.length,
      found: tasks.filter(([task]) => this.committed.job(task.split('.')[0] ?? '')?.state === 'failed').length,
      crashes: tasks.map(([, { crashes }]) => crashes),
      furtherStarts: tasks.map(([, { furtherStarts }]) => furtherStarts),
      innocentsFailed: this.failedWithoutCause.size
    }
  }

  private createScheduler (): JobScheduler {
    const { policy, scheduling, admission, packsJobs } = this.options
    const scheduler = new JobScheduler({ leases: { ...leases, durationMs: this.leaseMs }, health, policy: policy?.(), admission, packsJobs, ...scheduling })
    this.leaderSince = this.now
    scheduler.begin(this.committed, this.now)
    return scheduler
  }

  private addPlace (number: number): void {
    const { processors, racks } = this.options.scenario.workers
    const size = processors[number % processors.length] ?? 1
    const place: Place = {
      worker: new EmulatedWorker(nameOf(`agent-${number}`, 1), size, this.pressure),
      agent: `agent-${number}`,
      processors: size,
      rack: `r${number % Math.max(1, racks)}`,
      pacing: new FillPacing(),
      boot: 1,
      // The looks of a large fleet are spread over one interval only, as a worker whose first look comes later loses its lease.
      nextLookAt: (number * stepMs) % lookIntervalMs,
      acknowledged: 0,
      isCut: false,
      capacityFactor: 1,
      resizedAt: 0,
      lastReserved: 0,
      former: undefined,
      lastLookAt: 0
    }
    this.places.push(place)
    this.report(place)
  }

  private report (place: Place, drain?: Pick<WorkerReport, 'remainingMs' | 'isDrainUnconfirmed'>): void {
    const { former } = place
    if (former !== undefined) {
      const crash = former.crash === undefined ? undefined : { ...former.crash, sinceMs: this.now - former.endedAt }
      this.scheduler.takeFormerBoots([{ worker: former.worker, ends: [], crash }], this.moment())
    }
    this.scheduler.reportWorker(place.agent, {
      worker: place.worker.name,
      bornMs: place.boot,
      pool: 'workers',
      zone: 'a',
      rack: place.rack,
      labels: [],
      capacity: { processors: place.processors * place.capacityFactor, memoryMb: this.options.scenario.workers.memory_mb * place.capacityFactor, accelerators: 0 },
      isDraining: drain !== undefined,
      ...drain,
      clockMs: this.now
    }, this.now)
    this.scheduler.grantLease(place.worker.name)
  }

  private moment (): { readonly now: number, readonly wallClock: number } {
    return { now: this.now, wallClock: this.now }
  }

  private runAfter (delayMs: number, act: () => void): void {
    this.due.push({ at: this.now + delayMs, act })
  }

  private act (): void {
    const ready = this.due.filter(({ at }) => at <= this.now)
    this.due.splice(0, this.due.length, ...this.due.filter(({ at }) => at > this.now))
    for (const { act } of ready) act()
  }

  private advancePlace (place: Place): void {
    const { worker } = place
    const crashing = worker.findCrashingTask()
    if (crashing !== undefined) return this.crashUnder(crashing, place)
    worker.step(this.now, stepMs)
    if (this.now - place.lastLookAt >= this.leaseMs) worker.endAll()
    if (place.isCut) return
    const { running, ends } = worker.list()
    const isDue = this.now >= place.nextLookAt
    if (!isDue && ends.every(end => end.sequence <= place.acknowledged)) return
    if (isDue) {
      place.nextLookAt = this.now + lookIntervalMs
      this.pace(place, running)
    }
    place.lastLookAt = this.now
    this.scheduler.look({ worker: worker.name, clockMs: this.now, running, ends: ends.filter(end => end.sequence > place.acknowledged) }, this.moment())
    this.scheduler.grantLease(worker.name)
    place.acknowledged = Math.max(place.acknowledged, ...ends.map(end => end.sequence))
    worker.acknowledge(place.acknowledged)
  }

  /** Paces filling tasks by the latencies of serving tasks, as the agent of a worker does. */
  private pace (place: Place, running: ReturnType<EmulatedWorker['list']>['running']): void {
    const steps = running.map(row => ({ row, step: this.committed.stepOf(row.task) }))
    const serving = steps.flatMap(({ row, step }) => step !== undefined && step.targetMs > 0 ? [{ image: step.image, tailLatencyMs: row.tailLatencyMs ?? 0, targetMs: step.targetMs }] : [])
    const filling = steps.filter(({ step }) => step?.isFilling === true)
    const images = new Map<string, FillingImage>()
    for (const { row, step } of filling) {
      const { image = '', processors = 0 } = step ?? {}
      const { usedShare: used = 0, fullShare = 0 } = images.get(image) ?? {}
      images.set(image, { image, usedShare: used + (row.usedProcessors ?? 0) / place.processors, fullShare: fullShare + processors * usedShare / place.processors })
    }
    place.pacing.observe(serving, [...images.values()], (servingImage, fillingImage) => this.pressures.get(pairOf({ servingImage, fillingImage })) ?? priorPressure)
    for (const { row, step } of filling) place.worker.pace(row.task, place.pacing.percentOf(step?.image ?? ''))
  }

  private applyOperations (): void {
    for (const operation of this.scheduler.takeOperations()) {
      this.committed.apply(operation)
      this.applyOperation(operation)
    }
    for (const { worker, task, run } of this.scheduler.takeStops()) this.order(worker, found => found.stop(task, run))
  }

  private applyOperation (operation: JobOperation): void {
    if (operation.type === 'assignRun') {
      const { task, run, worker } = operation
      const checkpoint = this.committed.task(task)?.checkpoint ?? ''
      this.order(worker, found => this.start(found, task, run, checkpoint))
    } else if (operation.type === 'learnPressures') {
      for (const pressure of operation.pressures) this.pressures.set(pairOf(pressure), pressure)
    } else if (operation.type === 'cancelJob') {
      if (operation.failedTask === undefined) this.cancelled.add(operation.jobId)
      this.recordEnd(operation.jobId)
    } else if (operation.type === 'endRun') {
      this.recordEnd(operation.task.split('.')[0] ?? '')
    }
  }

  private start (worker: EmulatedWorker, task: string, run: number, checkpoint: string): void {
    const known = this.crashesByTask.get(task)
    if (known !== undefined && known.crashes >= countedCrashes) {
      known.furtherStarts += 1
      if (known.furtherStarts > maximumFurtherStarts) this.broken.push(`${task} is started again after ${known.crashes} workers crashed under it`)
    }
    worker.start(task, run, this.truthOf(task), checkpoint)
  }

  private crashUnder (task: string, place: Place): void {
    const known = this.crashesByTask.get(task) ?? { crashes: 0, furtherStarts: 0 }
    this.crashesByTask.set(task, { ...known, crashes: known.crashes + 1 })
    this.crash(place, crashDownMs)
  }

  private recordEnd (jobId: string): void {
    const job = this.committed.job(jobId)
    if (job?.endedAt === undefined || this.endedAt.has(jobId)) return
    if (job.state === 'complete') this.endedAt.set(jobId, this.now)
    else this.stopAll(jobId)
    if (job.state === 'failed') this.checkFailure(job)
  }

  /** Records a violation if a job failed although its tasks neither failed too often nor crash their workers. */
  private checkFailure ({ jobId, tasks, queue }: Job): void {
    const isJustified = this.byId.get(jobId)?.crashesWorkers === true || tasks.some(({ failures }) => failures >= queue.maximumAttempts)
    if (isJustified) return
    this.failedWithoutCause.add(jobId)
    this.broken.push(`job ${jobId} failed without cause`)
  }

  private stopAll (jobId: string): void {
    for (const task of this.committed.job(jobId)?.tasks ?? []) {
      if (task.state === 'live') this.order(task.worker, found => found.stop(`${jobId}.${task.occurrence}.${task.step}.${task.index}`, task.run))
    }
  }

  private order (worker: string, act: (worker: EmulatedWorker) => void): void {
    this.runAfter(orderDelayMs, () => {
      const place = this.places.find(found => found.worker.name === worker)
      if (place !== undefined && !place.isCut) act(place.worker)
    })
  }

  private truthOf (task: string): TaskTruth {
    const [jobId, , step, index] = task.split('.')
    const arrival = this.byId.get(jobId ?? '')
    if (arrival === undefined) throw new Error(`nobody submitted ${task}`)
    return arrival.truth(Number(step), Number(index))
  }

  /** Records a violation if a worker has more processors reserved than its capacity or a task runs twice. */
  private check (): void {
    const seen = new Set<string>()
    for (const place of this.places) {
      const { worker, processors, capacityFactor, resizedAt } = place
      const { processors: reserved } = this.committed.reservedOn(worker.name)
      // What runs when the capacity shrinks may stay, but must not be added to.
      const isShrunk = capacityFactor < 1 && this.now > resizedAt + shrinkGraceMs
      const limit = isShrunk ? Math.max(processors * capacityFactor, place.lastReserved) : processors
      if (reserved > limit + 1e-6) this.broken.push(`${worker.name} has ${reserved} processors reserved of ${limit}`)
      place.lastReserved = reserved
      for (const { task } of worker.list().running) {
        if (seen.has(task)) this.broken.push(`${task} runs twice`)
        seen.add(task)
      }
    }
  }

  private schedule (trouble: Trouble, random: () => number): void {
    const from = trouble.at_s * 1000
    const until = from + trouble.for_s * 1000
    const hit = (): readonly Place[] => this.selectHitPlaces(trouble, random)
    const during = (begin: (place: Place) => void, end: (place: Place) => void): void => {
      this.due.push({
        at: from,
        act: () => {
          const places = hit()
          places.forEach(begin)
          this.due.push({ at: until, act: () => places.forEach(end) })
        }
      })
    }
    switch (trouble.kind) {
      case 'burst':
      case 'crashing': return
      case 'capacity': return during(place => this.resize(place, trouble.strength), place => this.resize(place, 1))
      case 'slow': return during(place => { place.worker.speed = 1 / trouble.strength }, place => { place.worker.speed = 1 })
      case 'failing': return during(place => { place.worker.isFailing = true }, place => { place.worker.isFailing = false })
      case 'hanging': return during(place => { place.worker.isHanging = true }, place => { place.worker.isHanging = false })
      case 'cut': return during(place => { place.isCut = true }, place => this.rejoin(place))
      case 'notice':
        this.due.push({ at: from, act: () => hit().forEach(place => this.leave(place, trouble.strength * 1000)) })
        return
      case 'crash':
        for (let at = from; at <= until; at += trouble.every_s * 1000) {
          this.due.push({ at, act: () => hit().forEach(place => this.crash(place)) })
          if (trouble.every_s === 0) return
        }
        return
      case 'leader':
        this.due.push({ at: from, act: () => this.changeLeader() })
        return
      case 'cancel':
        this.due.push({ at: from, act: () => this.cancelSome(trouble.share) })
    }
  }

  /** Changes the capacity of a worker while it runs. */
  private resize (place: Place, factor: number): void {
    place.capacityFactor = factor
    place.resizedAt = this.now
    this.runAfter(reportDelayMs, () => { if (!place.isCut) this.report(place) })
  }

  private selectHitPlaces ({ share, group }: Trouble, random: () => number): readonly Place[] {
    const places = this.placesByGroup.get(group) ?? this.places.filter(() => random() < share)
    if (group !== '') this.placesByGroup.set(group, places)
    return places
  }

  /** Reconciles a worker after a partition: its agent compares the complete list of assigned runs with those on the worker. */
  private rejoin (place: Place): void {
    const { worker } = place
    place.isCut = false
    for (const { task, run } of worker.list().running) {
      const wanted = this.committed.task(task)
      if (wanted?.state !== 'live' || wanted.worker !== worker.name || wanted.run !== run) worker.stop(task, run)
    }
    for (const [name, { run, checkpoint }] of this.committed.liveOn(worker.name)) {
      const isOver = worker.has(name, run) || worker.list().ends.some(end => end.task === name && end.run === run)
      if (!isOver) worker.start(name, run, this.truthOf(name), checkpoint)
    }
    this.report(place)
  }

  /** A worker announces that it leaves and ends after the notice; another worker replaces it. Its runs stay until it could have contradicted, as its agent can't tell who sent the announcement. */
  private leave (place: Place, noticeMs: number): void {
    const { name } = place.worker
    const delayMs = drainDecisionDelayMs(noticeMs)
    this.report(place, { remainingMs: noticeMs, isDrainUnconfirmed: delayMs > 0 })
    if (delayMs > 0) this.runAfter(delayMs, () => { if (place.worker.name === name && !place.isCut) this.report(place, { remainingMs: noticeMs - delayMs }) })
    this.runAfter(noticeMs, () => this.end(place, replacementMs))
  }

  private crash (place: Place, backAfterMs = crashDetectionMs): void {
    this.end(place, backAfterMs, { sinceMs: crashDetectionMs, runs: place.worker.describeRuns() })
  }

  /** Ends the boot of a worker, by a crash if there is one; the next boot is there after a delay. */
  private end (place: Place, backAfterMs: number, crash?: WorkerCrash): void {
    const former = place.worker
    this.valuation.discardWorker(former)
    place.former = { worker: former.name, endedAt: this.now, crash }
    place.boot += 1
    place.worker = new EmulatedWorker(nameOf(place.agent, place.boot), place.processors, this.pressure)
    place.pacing = new FillPacing()
    place.acknowledged = 0
    place.lastLookAt = this.now + backAfterMs
    place.nextLookAt = this.now + backAfterMs
    this.runAfter(crashDetectionMs, () => this.scheduler.workerEnded(former.name, this.now, crash))
    this.runAfter(backAfterMs, () => this.report(place))
  }

  /** Replaces the scheduler; the new leader starts from the committed state only. */
  private changeLeader (): void {
    this.scheduler = this.createScheduler()
    for (const place of this.places) this.report(place)
  }

  private cancelSome (share: number): void {
    for (const job of [...this.committed.openJobs()]) {
      if (this.byId.get(job.jobId)?.kind !== 'serving' && this.options.random() < share) this.scheduler.cancel(job.jobId, this.now)
    }
  }
}

/** Draws the pressure of each image pair before the run, so that all policies get the same pairs with the same seed. */
function createPressure ({ serving, filling }: Scenario, options: EmulationOptions): PressureTruth {
  const pairs = new Map<string, number>()
  for (let servingImage = 0; servingImage < serving.images; servingImage += 1) {
    for (let fillingImage = 0; fillingImage < filling.images; fillingImage += 1) {
      const key = pairOf({ servingImage: `serving-${servingImage}`, fillingImage: `filling-${fillingImage}` })
      const random = options.randomOf?.(`pair ${key}`) ?? options.random
      pairs.set(key, random() < filling.pressing_share ? filling.pressure * (0.5 + random()) : 0)
    }
  }
  return (servingImage, fillingImage) => pairs.get(pairOf({ servingImage, fillingImage })) ?? 0
}

/** The name of the nth boot of the worker beside an agent. */
function nameOf (agent: string, boot: number): string { return nameBoot({ agent, workerId: 'worker', bornMs: boot }) }
