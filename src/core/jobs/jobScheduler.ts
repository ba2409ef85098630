import { WorkerHealth, type WorkerHealthOptions } from '../health'
import { LeaseTable, type LeaseTableOptions } from '../leases'
import { DecisionLog, type Job, type JobBook, type JobOperation, type Manifest, type Queue, type ReleaseCause, type RunFinding, type Submission } from './book'
import { couldRun, LearningPolicy, type LoadSummary, type Moment, type PlacementPolicy, RunPlanner } from './placement'
import { PressureModel, type ServingSample } from './filling'
import { createOrder, type OrderName } from './order'
import { RunProgress, RunReview, type RunStop } from './review'
import { type AbsenceReason, type EndedRun, type FormerBoot, isSuperseded, parseBoot, type RunningTask, type RunOrder, type WorkerLook, type WorkerReport, WorkerRoster, WorkerSpeeds } from './workers'

/** Options of the scheduler. Times are in milliseconds. */
export interface JobSchedulerOptions {
  readonly leases: LeaseTableOptions
  readonly health: WorkerHealthOptions
  /** What decides between waiting jobs of one priority; `due` if absent. */
  readonly order?: OrderName | undefined
  /** Whether callers' zones get fair shares under contention; false if absent. */
  readonly sharesFairly?: boolean | undefined
  /** How waiting tasks are placed; by `order` and what was learned, if absent. */
  readonly policy?: PlacementPolicy | undefined
}

/**
 * Decides where and when runs start. It works on its own copy of the job book: each decision is applied there at once
 * and proposed as an operation, and whatever tells others of it waits until the operation is committed.
 */
export class JobScheduler {
  readonly roster = new WorkerRoster()
  private readonly leases: LeaseTable
  private readonly health: WorkerHealth
  private readonly progress = new RunProgress()
  private readonly decisions = new DecisionLog(task => this.progress.forget(task))
  private readonly pressure = new PressureModel()
  private readonly planner: RunPlanner
  private readonly runReview: RunReview

  constructor (options: JobSchedulerOptions) {
    this.leases = new LeaseTable(options.leases)
    this.health = new WorkerHealth(options.health)
    const { decisions, roster, leases, health, progress, pressure } = this
    const speeds = new WorkerSpeeds()
    this.planner = new RunPlanner({ decisions, roster, leases, health, speeds, pressure, policy: options.policy ?? new LearningPolicy(createOrder(options.order ?? 'due', options.sharesFairly)) })
    this.runReview = new RunReview({ decisions, roster, health, progress, speeds })
  }

  /** Starts a leadership from the committed book. */
  begin (committed: JobBook, now: number): void {
    this.decisions.begin(committed)
    this.roster.clear()
    this.leases.begin(now)
    this.progress.clear()
    this.pressure.begin(committed.pressures)
    this.planner.clear()
  }

  /** The manifest, also if it isn't committed yet. */
  get manifest (): Manifest | undefined { return this.decisions.book.manifest }

  /** A job, also if its acceptance isn't committed yet. */
  job (jobId: string): Job | undefined { return this.decisions.book.job(jobId) }

  /** What is to be proposed since the last call, in order. */
  takeOperations (): readonly JobOperation[] { return this.decisions.takeOperations() }

  /** Runs which workers are to take down since the last call. */
  takeStops (): readonly RunStop[] { return this.decisions.takeStops() }

  /** What was concluded about runs since the last call. */
  takeFindings (): readonly RunFinding[] { return this.decisions.takeFindings() }

  /** Releases what certainly ended and assigns what can start. */
  plan (moment: Moment): void { this.planner.plan(moment) }

  /** Takes runs down which don't get on where they are, or whose worker is about to leave. */
  review (moment: Moment): void { this.runReview.review(moment) }

  /** Records what was learned of pairs of images since the last call. */
  recordPressures (): void {
    const pressures = this.pressure.takeChanges()
    if (pressures.length > 0) this.decisions.record({ type: 'learnPressures', pressures })
  }

  /** How loaded the workers are, for logs. */
  describeLoad (moment: Moment): LoadSummary { return this.planner.describeLoad(moment) }

  putManifest (manifest: Manifest): void { this.decisions.record({ type: 'putManifest', manifest }) }

  /** Whether the pool has workers, and none of them could ever run some step of these, were it empty. */
  isHopeless (submission: Submission, queue: Queue): boolean {
    const workers = [...this.roster.all()].filter(known => known.report.pool === queue.pool)
    return workers.length > 0 && submission.steps.some(step => !workers.some(known => couldRun(known, queue.pool, step)))
  }

  accept (submission: Submission, queue: Queue, at: number): void { this.decisions.record({ type: 'acceptJob', submission, queue, at }) }

  cancel (jobId: string, at: number): void { this.decisions.record({ type: 'cancelJob', jobId, at }) }

  /** Takes a worker's description. False if it is older than what is known. */
  reportWorker (agent: string, report: WorkerReport, now: number): boolean {
    if (!this.roster.report(agent, report, now)) return false
    this.leases.reported(report.worker, report.clockMs, now, report.heldUntilMs)
    this.releaseSuperseded(report, now)
    return true
  }

  /** Also releases runs of boots which only a former leader knew. */
  private releaseSuperseded (report: WorkerReport, now: number): void {
    const boot = parseBoot(report.worker)
    for (const worker of [...this.decisions.book.workersWithRuns()]) {
      if (isSuperseded(parseBoot(worker), boot)) this.releaseAll(worker, 'bootSuperseded', now)
    }
  }

  /** Takes what a worker lists. */
  look (look: WorkerLook, moment: Moment): void {
    if (this.roster.find(look.worker) === undefined) return
    this.leases.reported(look.worker, look.clockMs, moment.now)
    const formerlyEnded = this.roster.highestEnd(look.worker)
    const formerlyRunning = this.roster.find(look.worker)?.running
    this.roster.look(look)
    this.progress.observe(look.running, moment.now)
    this.observePressure(look, moment.now)
    for (const running of look.running) if (formerlyRunning?.get(running.task)?.run !== running.run) this.noteStray(look.worker, running)
    for (const ended of look.ends) {
      const isCounted = this.decisions.record({ type: 'endRun', ...pick(ended), worker: look.worker, at: moment.wallClock })
      if (!isCounted && ended.sequence > formerlyEnded) this.noteIgnored(look.worker, ended)
      if (!isCounted) continue
      if (ended.end === 'done') this.health.succeeded(look.worker)
      if (ended.end === 'failed') this.health.failed(look.worker, ended.task, moment.now)
    }
  }

  /** Takes the ends of former boots, which are to be known before the boot that followed them. */
  takeFormerBoots (boots: readonly FormerBoot[], { now, wallClock }: Moment): void {
    for (const { worker, ends } of boots) {
      for (const ended of ends) this.decisions.record({ type: 'endRun', ...pick(ended), worker, at: wallClock })
      this.workerEnded(worker, now)
    }
  }

  /** Records that a boot of a worker has ended, so that nothing runs there. */
  workerEnded (worker: string, now: number): void {
    this.roster.end(worker)
    this.pressure.forget(worker)
    this.releaseAll(worker, 'bootEnded', now)
  }

  /** Records that a run is certainly not at its worker. */
  runAbsent (worker: string, task: string, run: number, reason: AbsenceReason, now: number): void {
    const checkpoint = this.roster.find(worker)?.running.get(task)?.checkpoint ?? ''
    const isCounted = this.decisions.release({ task, run, worker, checkpoint, cause: 'absent', reportAgeMs: this.leases.ageMs(worker, now) })
    if (isCounted && (reason === 'unhealthy' || reason === 'refused')) this.health.failed(worker, task, now)
  }

  /** Records that no stream of its agent brings what a worker says. */
  workerLost (worker: string): void { this.roster.disconnected(worker) }

  /** The end of the next lease of a worker in its own clock, in milliseconds; undefined if it isn't known. */
  grantLease (worker: string): number | undefined {
    return this.roster.find(worker) === undefined ? undefined : this.leases.grant(worker)
  }

  /** The orders which stand for a boot of a worker: what is committed, and was not decided otherwise since. */
  ordersFor (committed: JobBook, worker: string): readonly RunOrder[] {
    const decided = this.decisions.book.liveOn(worker)
    return [...committed.liveOn(worker)].flatMap(([name, task]) => {
      const job = committed.job(task.jobId)
      if (job === undefined || decided.get(name)?.run !== task.run) return []
      const order = makeOrder(job, name, task.run, task.checkpoint)
      return [this.decisions.isStopping(name, task.run) ? { ...order, isUnwanted: true } : order]
    })
  }

  private observePressure ({ worker, running }: WorkerLook, now: number): void {
    const processors = this.roster.find(worker)?.report.capacity.processors ?? 0
    if (processors <= 0) return
    const serving: ServingSample[] = []
    const filling = new Map<string, number>()
    for (const { task, percent, figure } of running) {
      const step = this.decisions.book.stepOf(task)
      if (step === undefined) continue
      if (step.targetMs > 0 && percent >= 100) serving.push({ image: step.image, tailLatencyMs: figure, targetMs: step.targetMs })
      if (step.isFilling) filling.set(step.image, (filling.get(step.image) ?? 0) + figure / thousandths / processors)
    }
    this.pressure.observe(worker, { serving, filling }, now)
  }

  private releaseAll (worker: string, cause: ReleaseCause, now: number): void {
    const running = this.roster.find(worker)?.running
    this.decisions.releaseAll(worker, { cause, reportAgeMs: this.leases.ageMs(worker, now) }, task => running?.get(task)?.checkpoint ?? '')
  }

  /** A run that the book does not have at this worker may run at another one, too. */
  private noteStray (worker: string, { task, run }: RunningTask): void {
    const current = this.decisions.book.task(task)
    if (current?.state === 'live' && current.worker === worker && current.run === run) return
    this.decisions.note({ type: 'strayListed', task, run, worker, currentRun: current?.run, currentWorker: current?.worker })
  }

  private noteIgnored (worker: string, { task, run, end }: EndedRun): void {
    const current = this.decisions.book.task(task)
    this.decisions.note({ type: 'endIgnored', task, run, worker, end, currentRun: current?.run, currentWorker: current?.worker })
  }
}

/** Workers list the use of processors in thousandths of one. */
const thousandths = 1000

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
    image: step?.image ?? '',
    isUnwanted: job.endedAt !== undefined
  }
}

function pick ({ task, run, end, checkpoint }: WorkerLook['ends'][number]) {
  return { task, run, end, checkpoint }
}
