import { WorkerHealth, type WorkerHealthOptions } from '../health'
import { LeaseTable, type LeaseTableOptions } from '../leases'
import { Admission, type AdmissionPolicy, type AdmissionRefusal, type AdmissionSummary, type Prediction } from './admission'
import { DecisionLog, type Job, type JobBook, type JobOperation, type Manifest, type Queue, type ReleaseCause, type ReleaseDetails, type RunFinding, type RunStop, type Submission } from './book'
import { canEverRun, LearningPolicy, type LoadSummary, LongRunningAbsences, mayStartIn, type Moment, type PlacementPolicy, type RegionOf, RunPlanner } from './placement'
import { isSuspect, trialMs, type Suspicion } from './crashes'
import { PressureModel, type ServingSample } from './filling'
import { LearnedDurations } from './durations'
import { createOrder, type OrderName } from './order'
import { CrashReview, RunProgress, RunReview, UsualRates } from './review'
import { type AbsenceReason, type EndedRun, type FormerBoot, isSuperseded, type KnownWorker, parseBoot, RecentSpeeds, type RunningTask, type RunOrder, WeightedSpeeds, type WorkerCrash, type WorkerLook, type WorkerReport, WorkerRoster } from './workers'

/** Options of `JobScheduler`. Times are in milliseconds. */
export interface JobSchedulerOptions {
  readonly leases: LeaseTableOptions
  readonly health: WorkerHealthOptions
  /** The order of waiting jobs of the same priority; `due` if absent. */
  readonly order?: OrderName | undefined
  /** Whether contended pools are shared fairly between callers' zones; false if absent. */
  readonly sharesFairly?: boolean | undefined
  /** The placement of waiting tasks; `LearningPolicy` with `order` and `sharesFairly` if absent. */
  readonly policy?: PlacementPolicy | undefined
  /** Looks up the region of an availability zone; if absent, no region is known. */
  readonly regionOf?: RegionOf | undefined
  /** Decides which jobs are accepted under load; all jobs if absent. */
  readonly admission?: AdmissionPolicy | undefined
  /** Whether the tasks of a job are placed on few workers, and slow workers are detected by the usual rates of tasks; false if absent. */
  readonly packsJobs?: boolean | undefined
  /** Whether serving tasks of one image are placed on separate workers when they occupy most of a pool; false if absent. */
  readonly groupsImages?: boolean | undefined
}

/**
 * Decides where and when runs start. It works on its own copy of the job book: each decision is applied to the copy at once
 * and proposed as an operation. No decision is made known to others before its operation is committed.
 */
export class JobScheduler {
  readonly roster = new WorkerRoster()
  private readonly leases: LeaseTable
  private readonly health: WorkerHealth
  private readonly progress = new RunProgress()
  private readonly admission: Admission
  private readonly decisions = new DecisionLog(task => this.handleRunEnded(task), operation => this.admission.observe(operation, this.decisions.book))
  private readonly pressure = new PressureModel()
  private readonly durations = new LearnedDurations()
  private readonly planner: RunPlanner
  private readonly absences = new LongRunningAbsences(this.decisions, this.roster)
  private readonly crashReview = new CrashReview(this.decisions)
  private readonly runReview: RunReview
  private readonly regionOf: RegionOf
  /** Jobs of which a worker has listed a run, to be recorded. */
  private readonly begunJobs = new Set<string>()
  private readonly usualRates: UsualRates | undefined

  constructor (options: JobSchedulerOptions) {
    this.leases = new LeaseTable(options.leases)
    this.health = new WorkerHealth(options.health)
    this.regionOf = options.regionOf ?? (() => undefined)
    this.admission = new Admission(options.admission)
    const { decisions, roster, leases, health, progress, pressure, crashReview } = this
    const speeds = options.packsJobs === true ? new WeightedSpeeds() : new RecentSpeeds()
    this.usualRates = options.packsJobs === true ? new UsualRates() : undefined
    const policy = options.policy ?? new LearningPolicy(createOrder(options.order ?? 'due', options.sharesFairly, this.durations))
    this.planner = new RunPlanner({ decisions, roster, leases, health, speeds, pressure, policy, regionOf: this.regionOf, groupsImages: options.groupsImages === true, packing: this.usualRates, countCrashes: (worker, now) => crashReview.countCrashes(worker, now), isCalm: (task, worker, now) => crashReview.isCalm(task, worker, this.countVms(), now) })
    this.runReview = new RunReview({ decisions, roster, health, progress, speeds, usualRates: this.usualRates })
  }

  /** Starts a leadership from the committed book. `now` is monotonic time and `wallClock` dates the backlog, both in milliseconds. */
  begin (committed: JobBook, now: number, wallClock = now): void {
    this.decisions.begin(committed)
    this.durations.clear()
    this.admission.begin(this.decisions.book, wallClock)
    this.roster.clear()
    this.leases.begin(now)
    this.progress.clear()
    this.pressure.begin(committed.pressures)
    this.planner.clear()
    this.absences.clear()
    this.begunJobs.clear()
    this.crashReview.begin(this.decisions.book.suspects(), now)
  }

  /** The latest manifest, even if it isn't committed yet. */
  get manifest (): Manifest | undefined { return this.decisions.book.manifest }

  /** Finds a job, even if its acceptance isn't committed yet. */
  job (jobId: string): Job | undefined { return this.decisions.book.job(jobId) }

  /** Returns the operations decided since the last call, in the order in which they must be proposed. */
  takeOperations (): readonly JobOperation[] { return this.decisions.takeOperations() }

  /** Returns the runs that workers must stop, decided since the last call. */
  takeStops (): readonly RunStop[] { return this.decisions.takeStops() }

  /** Returns the findings about runs since the last call. */
  takeFindings (): readonly RunFinding[] { return this.decisions.takeFindings() }

  /** Releases runs that have certainly ended, and assigns tasks that can start. */
  plan (moment: Moment): void {
    this.admission.model.advance(moment.wallClock)
    this.crashReview.judge(this.countVms(), moment)
    this.planner.plan(moment)
    this.absences.review(moment.now)
  }

  /** Stops runs that make too little progress, or whose worker is about to leave. */
  review (moment: Moment): void { this.runReview.review(moment) }

  /** Records the estimates of image pairs that have changed since the last call. */
  recordPressures (): void {
    const pressures = this.pressure.takeChanges()
    if (pressures.length > 0) this.decisions.record({ type: 'learnPressures', pressures })
  }

  /** Records the jobs of which workers have listed a first run since the last call. */
  recordBeginnings (): void {
    if (this.begunJobs.size === 0) return
    this.decisions.record({ type: 'beginJobs', jobIds: [...this.begunJobs] })
    this.begunJobs.clear()
  }

  /** Summarises the load of the workers, for logs. */
  describeLoad (moment: Moment): LoadSummary { return this.planner.describeLoad(moment) }

  putManifest (manifest: Manifest): void { this.decisions.record({ type: 'putManifest', manifest }) }

  /** Whether the pool has workers, but for some step none outside evacuated zones could ever run it, even without other tasks. */
  isHopeless (submission: Submission, queue: Queue): boolean {
    const workers = this.workersOf(queue)
    return workers.length > 0 && !this.canEverRunAll(submission, queue, workers.filter(known => !this.isEvacuated(known.report.zone)))
  }

  /** Whether a job is hopeless only because zones are evacuated. */
  needsEvacuatedZone (submission: Submission, queue: Queue): boolean {
    return this.isHopeless(submission, queue) && this.canEverRunAll(submission, queue, this.workersOf(queue))
  }

  /** Whether each step of a submission could run on some of the workers, if that had no other tasks. */
  private canEverRunAll (submission: Submission, queue: Queue, workers: readonly KnownWorker[]): boolean {
    const allowed = workers.filter(known => mayStartIn(known.report.zone, queue, this.regionOf))
    return submission.steps.every(step => allowed.some(known => canEverRun(known, queue.pool, step)))
  }

  private handleRunEnded (task: string): void {
    this.progress.forget(task)
    this.crashReview.runEnded(task)
  }

  private countVms (): number { return [...this.roster.all()].length }

  private workersOf ({ pool }: Queue): readonly KnownWorker[] { return [...this.roster.all()].filter(known => known.report.pool === pool) }

  /** Whether an availability zone is evacuated, so that no run may start there; true even before this is committed. */
  isEvacuated (zone: string): boolean { return this.decisions.book.evacuatedZones.has(zone) }

  /** Prevents further runs from starting in an availability zone. Returns false if it is already evacuated. */
  startEvacuation (zone: string, at: number): boolean { return this.decisions.record({ type: 'startEvacuation', zone, at }) }

  /** Allows runs to start in an availability zone again. Returns false if it is not evacuated. */
  endEvacuation (zone: string, { now, wallClock }: Moment): boolean {
    const isChanged = this.decisions.record({ type: 'endEvacuation', zone, at: wallClock })
    if (isChanged) this.planner.rampUpZone(zone, now)
    return isChanged
  }

  /** Returns why a job is refused under load; undefined if it may be accepted. No end is predicted while the workers are not known. */
  findOverload (submission: Submission, queue: Queue, wallClock: number, knowsWorkers: boolean): AdmissionRefusal | undefined {
    return this.admission.refuse(submission, queue, knowsWorkers ? this.usableProcessors(queue.pool) : undefined, wallClock)
  }

  /** Predicts the earliest end of a job that is submitted now; undefined if it can't be predicted. */
  predictEnd (submission: Submission, queue: Queue, wallClock: number): Prediction | undefined {
    return this.admission.predictEnd(submission, queue, this.usableProcessors(queue.pool), wallClock)
  }

  /** Summarises the backlog and the refused jobs, for logs and metrics. */
  describeBacklog (wallClock: number): AdmissionSummary { return this.admission.describe(wallClock) }

  /** Accepts a job. Returns true if it had been refused under load before. */
  accept (submission: Submission, queue: Queue, at: number): boolean {
    this.decisions.record({ type: 'acceptJob', submission, queue, at })
    return this.admission.accepted(submission.jobId)
  }

  /** Total processors of the workers of a pool that are connected, not draining, and not in an evacuated zone. */
  private usableProcessors (pool: string): number {
    let sum = 0
    for (const { report, isConnected } of this.roster.all()) {
      if (isConnected && !report.isDraining && report.pool === pool && !this.isEvacuated(report.zone)) sum += report.capacity.processors
    }
    return sum
  }

  /** Whether a job that is not known was cancelled before. */
  wasCancelledEarly (jobId: string, at: number): boolean { return this.decisions.book.wasCancelledEarly(jobId, at) }

  /** Cancels a job; of one that is not known, the cancel is remembered for its submission. */
  cancel (jobId: string, at: number): void { this.decisions.record({ type: 'cancelJob', jobId, at }) }

  /** Records the report of a worker. Returns false if that boot has ended. */
  reportWorker (agent: string, report: WorkerReport, now: number): boolean {
    if (!this.roster.report(agent, report, now)) return false
    this.leases.recordReport(report.worker, report.clockMs, now, report.heldUntilMs)
    this.releaseSuperseded(report, now)
    return true
  }

  /** Releases the runs of superseded boots, including boots that only a former leader knew. */
  private releaseSuperseded (report: WorkerReport, now: number): void {
    for (const worker of [...this.decisions.book.workersWithRuns()]) {
      if (isSuperseded(worker, report.worker)) this.releaseAll(worker, 'bootSuperseded', now)
    }
  }

  /** Records the runs and ends that a worker lists. */
  look (look: WorkerLook, moment: Moment): void {
    if (this.roster.find(look.worker) === undefined) return
    this.leases.recordReport(look.worker, look.clockMs, moment.now)
    const previousHighestEnd = this.roster.highestEnd(look.worker)
    const previouslyRunning = this.roster.find(look.worker)?.running
    this.roster.look(look)
    this.progress.observe(look.running, moment.now)
    this.crashReview.observe(look.running, moment.now)
    this.observePressure(look, moment.now)
    for (const running of look.running) if (previouslyRunning?.get(running.task)?.run !== running.run) this.noteListedRun(look.worker, running)
    for (const ended of look.ends) {
      if (ended.end === 'done') this.learnRate(ended, moment.now)
      const isCounted = this.decisions.record({ type: 'endRun', ...pickEnd(ended), worker: look.worker, at: moment.wallClock })
      if (!isCounted && ended.sequence > previousHighestEnd) this.noteIgnoredEnd(look.worker, ended)
      if (!isCounted) continue
      if (ended.end === 'done') this.health.succeeded(look.worker)
      if (ended.end === 'failed') this.health.failed(look.worker, ended.task, moment.now)
    }
  }

  /** Records the ends of former boots. They must be recorded before the boot that followed them is reported. */
  takeFormerBoots (boots: readonly FormerBoot[], { now, wallClock }: Moment): void {
    for (const { worker, ends, crash } of boots) {
      for (const ended of ends) this.decisions.record({ type: 'endRun', ...pickEnd(ended), worker, at: wallClock })
      this.workerEnded(worker, now, crash)
    }
  }

  /** The boots of a VM, by the agent that identifies it, that are known to run or have runs in the book, also if only a former leader knew them. */
  bootsOf (agent: string): readonly string[] {
    const known = [...this.roster.all()].map(({ report }) => report.worker)
    return [...new Set([...known, ...this.decisions.book.workersWithRuns()])].filter(worker => parseBoot(worker).agent === agent)
  }

  /** Records that a boot of a worker has ended, and releases its runs. A crash may be the fault of one of them. */
  workerEnded (worker: string, now: number, crash?: WorkerCrash): void {
    const isAssessed = crash === undefined || this.roster.hasEnded(worker)
    const crashes = isAssessed ? undefined : this.crashReview.assess(worker, crash, this.countVms(), now)
    this.roster.end(worker)
    this.pressure.forget(worker)
    const present = crash === undefined ? undefined : new Set(crash.runs.map(({ task }) => task))
    this.releaseAll(worker, 'bootEnded', now, task => ({ crash: crashes?.get(task), isUnstarted: present?.has(task) === false }))
  }

  /** Releases a run that is certainly not on its worker; the reason determines whether it counts as a failure of the worker. */
  runAbsent (worker: string, task: string, run: number, reason: AbsenceReason, now: number): void {
    const checkpoint = this.roster.find(worker)?.running.get(task)?.checkpoint ?? ''
    const isCounted = this.decisions.release({ task, run, worker, checkpoint, cause: 'absent', reportAgeMs: this.leases.ageMs(worker, now), isUnstarted: reason !== 'stopped' && reason !== 'vanished' })
    if (isCounted && (reason === 'unhealthy' || reason === 'refused')) this.health.failed(worker, task, now)
  }

  /** Records that a worker is disconnected, as its agent has no stream to the leader; `isAwake` is whether its VM was seen to run at that moment. */
  workerLost (worker: string, isAwake: boolean): void {
    this.roster.markDisconnected(worker)
    if (isAwake) this.leases.markAwake(worker)
  }

  /** Grants the next lease of a worker and returns its end by the worker's clock, in milliseconds; undefined if the worker isn't known. */
  grantLease (worker: string): number | undefined {
    return this.roster.find(worker) === undefined ? undefined : this.leases.grant(worker)
  }

  /** The valid orders of a boot of a worker: committed assignments that no later decision has replaced. */
  ordersFor (committed: JobBook, worker: string): readonly RunOrder[] {
    const decided = this.decisions.book.liveOn(worker)
    return [...committed.liveOn(worker)].flatMap(([name, task]) => {
      const job = committed.job(task.jobId)
      if (job === undefined || decided.get(name)?.run !== task.run) return []
      const order = createRunOrder(job, name, task)
      return [this.decisions.isStopping(name, task.run) ? { ...order, isUnwanted: true } : order]
    })
  }

  /** Learns the usual rate and duration of the tasks of a step from a completed run. Must precede recording the end, which discards the progress of the run. */
  private learnRate ({ task, run }: EndedRun, now: number): void {
    const rate = this.progress.rateOfDone(task, run, now)
    const job = this.decisions.book.job(task.split('.')[0] ?? '')
    const step = this.decisions.book.stepOf(task)
    if (rate === undefined || job === undefined || step === undefined) return
    this.usualRates?.observe(job, step, rate)
    if (!step.isLongRunning) this.durations.observe(job, step, 100 / rate)
  }

  private observePressure ({ worker, running }: WorkerLook, now: number): void {
    const processors = this.roster.find(worker)?.report.capacity.processors ?? 0
    if (processors <= 0) return
    const serving: ServingSample[] = []
    const filling = new Map<string, number>()
    for (const { task, percent, tailLatencyMs, usedProcessors = 0 } of running) {
      const step = this.decisions.book.stepOf(task)
      if (step === undefined) continue
      if (step.targetMs > 0 && percent >= 100 && tailLatencyMs !== undefined) serving.push({ jobId: task.split('.')[0] ?? '', image: step.image, tailLatencyMs, targetMs: step.targetMs })
      if (step.isFilling) filling.set(step.image, (filling.get(step.image) ?? 0) + usedProcessors / processors)
    }
    this.pressure.observe(worker, { serving, filling }, now)
  }

  private releaseAll (worker: string, cause: ReleaseCause, now: number, detailsOf: (task: string) => Omit<ReleaseDetails, 'checkpoint'> = () => ({})): void {
    const running = this.roster.find(worker)?.running
    this.decisions.releaseAll(worker, { cause, reportAgeMs: this.leases.ageMs(worker, now) }, task => ({ ...detailsOf(task), checkpoint: running?.get(task)?.checkpoint ?? '' }))
  }

  /** Reports a listed run that the book does not assign to this worker, as the task may also run on another one. */
  private noteListedRun (worker: string, { task, run }: RunningTask): void {
    const job = this.decisions.book.job(task.split('.')[0] ?? '')
    if (job !== undefined && job.hasBegun !== true) this.begunJobs.add(job.jobId)
    const current = this.decisions.book.task(task)
    if (current?.state === 'live' && current.worker === worker && current.run === run) return
    this.decisions.addFinding({ type: 'strayListed', task, run, worker, currentRun: current?.run, currentWorker: current?.worker })
  }

  private noteIgnoredEnd (worker: string, { task, run, end }: EndedRun): void {
    const current = this.decisions.book.task(task)
    this.decisions.addFinding({ type: 'endIgnored', task, run, worker, end, currentRun: current?.run, currentWorker: current?.worker })
  }
}

/** What an order tells of the task besides its job. */
interface OrderedRun {
  readonly run: number
  readonly checkpoint: string
  readonly suspicion?: Suspicion | undefined
}

/** Creates the order that is sent to the worker of a run after its assignment is committed, or after its job has ended. */
export function createRunOrder (job: Job, task: string, { run, checkpoint, suspicion }: OrderedRun): RunOrder {
  const step = job.steps[Number(task.split('.')[2])]
  return {
    task,
    run,
    spec: job.spec,
    checkpoint,
    isFilling: step?.isFilling === true,
    processors: step?.processors,
    targetMs: step?.targetMs ?? 0,
    image: step?.image ?? '',
    isUnwanted: job.endedAt !== undefined,
    ...(suspicion === undefined || !isSuspect(suspicion) ? {} : { clearedAfterMs: trialMs(suspicion) })
  }
}

function pickEnd ({ task, run, end, checkpoint }: WorkerLook['ends'][number]) {
  return { task, run, end, checkpoint }
}
