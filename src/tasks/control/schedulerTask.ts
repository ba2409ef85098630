import { WorkerHealth, type WorkerHealthOptions } from '../../core/health'
import { LeaseTable, type LeaseTableOptions } from '../../core/leases'
import { subtractResources, type Ledger, type LedgerCommand, type LedgerReply, type TaskRecord, type WorkerRecord } from '../../core/ledger'
import { InterferencePlacement, Planner, type PlacementPolicy, type PlacementTask, type PlacementWorker, type PlannerOptions } from '../../core/placement'
import type { Failure } from '../../core/failures'
import type { Result } from '../../core/results'
import type { Logger, Metrics } from '../../observability'
import type { AttemptId, AttemptReport, TaskOrder, WorkerPlatform, WorkerReport } from '../../workers'
import { Colocation, type ColocationOptions } from './colocation'
import { groupBy } from './groupBy'
import { ContentionController } from './contentionController'
import { ServiceInstances } from './serviceInstances'
import { Mailbox, awaitPromise, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'

/** Options of the scheduler. Times are in milliseconds. */
export interface SchedulerOptions {
  readonly ledger: Ledger
  readonly platform: WorkerPlatform
  readonly workerNames: readonly string[]
  readonly propose: (command: LedgerCommand) => Promise<Result<LedgerReply, Failure>>
  readonly planner: Omit<PlannerOptions, 'policy' | 'random'>
  readonly placement: PlacementPolicy
  /** Placement cost of an expected slowdown of 100%. */
  readonly interferenceWeight: number
  readonly colocation: ColocationOptions
  /** Maximum number of evictions in a burst. */
  readonly evictionBurst: number
  readonly evictionsPerMinute: number
  readonly leases: LeaseTableOptions
  readonly health: WorkerHealthOptions
  /** Interval at which each worker's lease is renewed. */
  readonly renewMs: number
  /** Returns a random number from 0 to 1. */
  readonly random: () => number
  readonly now: () => number
  /** Wall clock, used for timestamps in the ledger. */
  readonly wallClock: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}

type SchedulerMessage =
  | { readonly type: 'lead', readonly term: number }
  | { readonly type: 'follow' }
  | { readonly type: 'round' }
  | { readonly type: 'visit' }
  | { readonly type: 'stop' }

/** Maximum number of new tasks between two visits for a worker that has finished none yet. It bounds the failures at a worker that fails every task. */
const unprovenOpenings = 4
/** Time that a task must run before it no longer occupies an opening of an unproven worker, in milliseconds; long enough for one visit. */
const trialMs = 1000
/** Number of racks on which a task must fail before the failure is attributed to the task rather than to the workers. */
const parkAfterFailedRacks = 2

/**
 * The task that places work while this replica leads. It only proposes commands; the ledger decides. A round places
 * queued tasks; a visit renews the lease of one worker and acts on its report.
 */
export class SchedulerTask {
  private readonly mailbox = new Mailbox<SchedulerMessage>('scheduler')
  private readonly ticker: Timer
  private isRoundDue = false
  /** Number of tasks that an unproven worker may still be given before its next visit. */
  private readonly openings = new Map<string, number>()
  private readonly visiting = new Set<string>()
  private readonly leases: LeaseTable
  private readonly planner: Planner
  private readonly colocation: Colocation
  private readonly contention: ContentionController
  private readonly instances: ServiceInstances
  private health: WorkerHealth
  private readonly recorded = new Map<string, AttemptId[]>()
  /** Keys of attempts whose release is proposed and whose outcome is not known yet. */
  private readonly releasing = new Set<string>()
  /** The term in which this replica was elected; undefined while it does not lead. */
  private electedTerm: number | undefined
  /** The term in which this replica schedules; set once the ledger contains all entries of former leaders. */
  private term: number | undefined
  private isCatchingUp = false

  constructor (private readonly options: SchedulerOptions) {
    this.leases = new LeaseTable(options.leases)
    this.colocation = new Colocation(options.colocation)
    const policy = new InterferencePlacement(options.placement, this.colocation.model, options.interferenceWeight)
    this.planner = new Planner({ ...options.planner, policy, random: options.random })
    this.contention = new ContentionController(options, this.colocation)
    this.instances = new ServiceInstances(options)
    this.health = new WorkerHealth(options.health)
    this.ticker = startTicker(this.mailbox, options.renewMs, () => ({ type: 'visit' }))
    startTask(() => this.run())
  }

  /** Starts scheduling in a term. */
  lead (term: number): void {
    this.endLeadership()
    this.mailbox.post({ type: 'lead', term })
  }

  /** Stops scheduling because another replica leads. */
  follow (): void {
    this.endLeadership()
    this.mailbox.post({ type: 'follow' })
  }

  /** Requests a round after a change of the ledger. */
  wake (): void {
    // Concurrent changes are coalesced into one round.
    if (this.isRoundDue) return
    this.isRoundDue = this.mailbox.offer({ type: 'round' })
  }

  stop (): void {
    this.ticker.stop()
    this.mailbox.post({ type: 'stop' })
  }

  private * run (): TaskBody {
    for (;;) {
      const message = yield * this.mailbox.take()
      if (message === undefined || message.type === 'stop') return
      if (message.type === 'lead') this.begin(message.term)
      if (message.type === 'follow') this.endLeadership()
      if (message.type === 'round') this.isRoundDue = false
      if (message.type === 'visit') this.catchUp()
      if (this.term === undefined) continue
      if (message.type === 'visit') this.visitAll(this.term)
      if (message.type === 'round') yield * awaitPromise(this.round(this.term))
    }
  }

  /** Called synchronously as well as from the mailbox, because a round of the former leadership may still be waiting for answers. */
  private endLeadership (): void {
    this.electedTerm = undefined
    this.term = undefined
  }

  private begin (term: number): void {
    this.endLeadership()
    this.electedTerm = term
    this.leases.begin(this.options.now())
    this.health = new WorkerHealth(this.options.health)
    this.recorded.clear()
    this.releasing.clear()
    this.openings.clear()
    this.catchUp()
  }

  /**
   * Starts scheduling only once an entry of the current term is committed. Until then the ledger may lack assignments,
   * ends and releases of former leaders, and the scheduler would act on reports with outdated state.
   */
  private async catchUp (): Promise<void> {
    const term = this.electedTerm
    if (term === undefined || term === this.term || this.isCatchingUp) return
    this.isCatchingUp = true
    const outcome = await this.propose({ type: 'noOperation' })
    this.isCatchingUp = false
    if (!outcome.ok || this.electedTerm !== term) return
    this.term = term
    this.wake()
  }

  private async round (term: number): Promise<void> {
    await this.releaseExpired()
    await this.instances.keep()
    await this.placeTasks(term)
  }

  /** Visits every worker whose previous visit has ended, so that an unresponsive worker does not delay the others. */
  private visitAll (term: number): void {
    for (const worker of this.options.workerNames) {
      if (this.visiting.has(worker)) continue
      this.visiting.add(worker)
      this.visit(worker, term).finally(() => this.visiting.delete(worker))
    }
    this.wake()
  }

  /** Renews the lease of a worker and acts on its report. */
  private async visit (worker: string, term: number): Promise<void> {
    const { platform, now, logger } = this.options
    const leaseUntilMs = this.leases.grant(worker)
    const recorded = this.recorded.get(worker) ?? []
    const renewed = await platform.renew(worker, { term, recorded, ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }) })
    // Another leader may have acted since the request was sent, and the report does not reflect its commands.
    if (term !== this.term) return
    if (!renewed.ok) {
      logger.debug('worker_unreachable', { worker, error: renewed.val.message })
      return
    }
    this.leases.recordReport(worker, renewed.val.clockMs, now())
    this.recorded.delete(worker)
    await this.register(worker, renewed.val)
    if (term !== this.term) return
    await this.recordEndedAttempts(worker, renewed.val.attempts)
    if (term !== this.term) return
    this.openings.set(worker, unprovenOpenings)
    await this.resendCommands(worker, term, renewed.val.attempts)
    if (term !== this.term) return
    await this.contention.mitigate(worker, term, renewed.val)
  }

  private async register (worker: string, report: WorkerReport): Promise<void> {
    const known = this.options.ledger.worker(worker)
    if (known !== undefined && isSameWorker(known, report)) return
    await this.propose({ type: 'registerWorker', name: worker, capacity: report.capacity, rack: report.rack, zone: report.zone, incarnation: report.incarnation, at: this.options.wallClock() })
  }

  private async recordEndedAttempts (worker: string, reports: readonly AttemptReport[]): Promise<void> {
    await Promise.all(reports.filter(report => report.state !== 'running').map(async report => await this.recordEndedAttempt(worker, report)))
  }

  /** Records an ended attempt in the ledger; the worker may then drop it. */
  private async recordEndedAttempt (worker: string, report: AttemptReport): Promise<void> {
    const task = this.options.ledger.task(report.taskId)
    const isCurrent = task?.attempt === report.attempt && task.assignment?.worker === worker
    if (isCurrent) {
      // Health is updated first: the release triggers a round, which must not assign new tasks to a failing worker.
      this.recordHealth(worker, report)
      const outcome = await this.propose(this.endCommand(report))
      if (!outcome.ok && outcome.val.code.startsWith('control/')) return
      this.colocation.forget(report.taskId)
    }
    const { taskId, attempt } = report
    this.recorded.set(worker, [...this.recorded.get(worker) ?? [], { taskId, attempt }])
  }

  private endCommand (report: AttemptReport): LedgerCommand {
    const { taskId, attempt } = report
    const at = this.options.wallClock()
    if (report.state === 'finished') return { type: 'finishTask', taskId, attempt, result: report.result ?? '', at }
    const reason = report.state === 'failed' ? 'failed' : 'evicted'
    return { type: 'releaseTask', taskId, attempt, reason, at, ...(report.checkpoint === undefined ? {} : { checkpoint: report.checkpoint }) }
  }

  private recordHealth (worker: string, report: AttemptReport): void {
    if (report.state === 'finished') this.health.succeeded(worker)
    if (report.state !== 'failed') return
    const isQuarantined = this.health.failed(worker, report.taskId, this.options.now())
    if (isQuarantined) this.options.logger.warn('worker_quarantined', { worker })
  }

  /** Resends commands whose effect the report does not show, because a start, an eviction or a stop may have been lost. */
  private async resendCommands (worker: string, term: number, reports: readonly AttemptReport[]): Promise<void> {
    const reported = new Map(reports.map(report => [createAttemptKey(report.taskId, report.attempt), report]))
    for (const task of this.options.ledger.liveTasks()) {
      if (task.assignment?.worker !== worker) continue
      const report = reported.get(createAttemptKey(task.taskId, task.attempt))
      await this.resendCommand(worker, term, task, report)
    }
    await this.stopUnknownAttempts(worker, term, reports)
  }

  private async resendCommand (worker: string, term: number, task: TaskRecord, report: AttemptReport | undefined): Promise<void> {
    const { platform } = this.options
    if (report === undefined && task.state === 'running') {
      await this.start(worker, term, task.taskId, task.attempt)
      return
    }
    if (report !== undefined && report.state !== 'running') return
    // The report may be older than the start, or the start was lost; in both cases the worker must end the attempt.
    const name = { taskId: task.taskId, attempt: task.attempt }
    if (task.state === 'evicting') await platform.evict(worker, term, name)
    if (task.state === 'cancelling') await platform.stop(worker, term, name)
  }

  private async stopUnknownAttempts (worker: string, term: number, reports: readonly AttemptReport[]): Promise<void> {
    for (const report of reports) {
      const task = this.options.ledger.task(report.taskId)
      const isCurrent = task?.attempt === report.attempt && task.assignment?.worker === worker
      if (report.state !== 'running' || isCurrent) continue
      await this.options.platform.stop(worker, term, { taskId: report.taskId, attempt: report.attempt })
    }
  }

  /** Releases tasks whose worker can no longer hold a lease. */
  private async releaseExpired (): Promise<void> {
    const { ledger, now, wallClock, logger } = this.options
    const expired = ledger.liveTasks().filter(task => task.assignment !== undefined && this.leases.isExpired(task.assignment.worker, now()))
    await Promise.all(expired.map(async ({ taskId, attempt, assignment }) => {
      const name = createAttemptKey(taskId, attempt)
      logger.warn('lease_expired', { task: taskId, attempt, worker: assignment?.worker })
      this.releasing.add(name)
      const outcome = await this.propose({ type: 'releaseTask', taskId, attempt, reason: 'leaseExpired', at: wallClock() })
      // After a loss of leadership the release may still be committed; the next leadership clears the set once that is known.
      if (outcome.ok || outcome.val.code !== 'control/not-leader') this.releasing.delete(name)
    }))
  }

  private async placeTasks (term: number): Promise<void> {
    const { ledger, wallClock } = this.options
    const workers = this.listEligibleWorkers()
    const plan = this.planner.plan({
      tasks: ledger.queuedTasks().flatMap(task => this.toPlacementTask(task)),
      workers,
      allCapacities: ledger.workers(),
      remainingQuota: organisation => {
        const quota = ledger.quota(organisation)
        return quota === undefined ? undefined : subtractResources(quota, ledger.reservedBy(organisation))
      },
      now: wallClock()
    })
    if (ledger.workers().length === this.options.workerNames.length) await this.park(plan.unschedulable.map(task => task.taskId), 'no worker is large enough')
    await this.park(this.hopeless().map(task => task.taskId), 'it failed on workers of different racks')
    await this.contention.preempt(plan.blocked, workers)
    await Promise.all(plan.assignments.map(async ({ task, worker }) => {
      const attempt = (ledger.task(task.taskId)?.attempt ?? 0) + 1
      const outcome = await this.propose({ type: 'assignTask', taskId: task.taskId, attempt, worker, reservation: task.reservation, at: wallClock() })
      if (!outcome.ok || outcome.val.type !== 'task') return
      this.options.metrics.count('control.task_started')
      this.openings.set(worker, (this.openings.get(worker) ?? unprovenOpenings) - 1)
      await this.start(worker, term, task.taskId, attempt)
    }))
  }

  /** Sends a start that is valid only until the worker's lease ends, so that a delayed start has no effect. */
  private async start (worker: string, term: number, taskId: string, attempt: number): Promise<void> {
    // Read together with the incarnation, because a restart of the worker may have ended the attempt since it was assigned.
    const task = this.options.ledger.task(taskId)
    if (task?.state !== 'running' || task.attempt !== attempt || task.assignment?.worker !== worker) return
    // The worker may report again before the release is committed; a start sent then would outlive the attempt.
    if (this.releasing.has(createAttemptKey(taskId, attempt))) return
    const validUntilMs = this.leases.grant(worker)
    const incarnation = this.options.ledger.worker(worker)?.incarnation
    if (validUntilMs === undefined || incarnation === undefined) return
    const started = await this.options.platform.start(worker, term, { ...toOrder(task), validUntilMs, incarnation })
    if (!started.ok) this.options.logger.debug('start_unanswered', { task: task.taskId, worker, error: started.val.message })
  }

  private toPlacementTask (task: TaskRecord): readonly PlacementTask[] {
    const entry = this.options.ledger.entry(task.entry)
    if (entry === undefined) return []
    const { processors, memoryMb, accelerators } = entry.limits
    return [{
      taskId: task.taskId,
      entry: task.entry,
      organisation: task.organisation,
      isService: entry.workClass === 'service',
      isUrgent: entry.urgent,
      waitingSince: task.submittedAt,
      reservation: { processors, memoryMb, accelerators },
      avoided: task.failedOn
    }]
  }

  private listEligibleWorkers (): readonly PlacementWorker[] {
    const { ledger, now } = this.options
    const running = groupBy(ledger.liveTasks(), task => task.assignment?.worker ?? '')
    const neighborsOf = (worker: string): readonly string[] => (running.get(worker) ?? []).map(task => task.entry)
    return ledger.workers()
      .filter(worker => !worker.cordoned && this.leases.hasRecentReport(worker.name, now()))
      .map(worker => ({
        ...worker,
        room: subtractResources(worker.capacity, ledger.reservedOn(worker.name)),
        neighbors: neighborsOf(worker.name),
        openings: this.countOpenings(worker.name, running.get(worker.name) ?? [])
      }))
  }

  /** Maximum number of new tasks for a worker in one round. */
  private countOpenings (worker: string, live: readonly TaskRecord[]): number {
    switch (this.health.standing(worker, this.options.now())) {
      case 'quarantined': return 0
      case 'probation': return live.length === 0 ? 1 : 0
      case 'unproven': return this.countUnprovenOpenings(worker, live)
      case 'healthy': return Number.POSITIVE_INFINITY
    }
  }

  /** Limits new tasks between two visits; after a failure, to the number of failures still needed for a quarantine. */
  private countUnprovenOpenings (worker: string, live: readonly TaskRecord[]): number {
    const failures = this.health.failures(worker)
    if (failures > 0) return Math.max(0, this.options.health.quarantineAfter - failures - live.length)
    // A visit may occur between a start and its failure, so tasks that have just started are no evidence of a healthy worker.
    const trialStart = this.options.wallClock() - trialMs
    const onTrial = live.filter(task => (task.assignment?.at ?? 0) > trialStart).length
    return Math.max(0, Math.min(this.openings.get(worker) ?? unprovenOpenings, unprovenOpenings - onTrial))
  }

  /** Queued tasks that failed on workers of different racks, which attributes the failure to the task. */
  private hopeless (): readonly TaskRecord[] {
    const { ledger } = this.options
    return ledger.queuedTasks().filter(task => {
      const racks = new Set(task.failedOn.map(name => ledger.worker(name)?.rack))
      return racks.size >= parkAfterFailedRacks
    })
  }

  private async park (taskIds: readonly string[], reason: string): Promise<void> {
    await Promise.all(taskIds.map(async taskId => {
      this.options.logger.warn('task_parked', { task: taskId, reason })
      await this.propose({ type: 'parkTask', taskId, reason, at: this.options.wallClock() })
    }))
  }

  private async propose (command: LedgerCommand): Promise<Result<LedgerReply, Failure>> {
    return await this.options.propose(command)
  }
}

function createAttemptKey (taskId: string, attempt: number): string {
  return `${taskId} ${attempt}`
}

function toOrder (task: TaskRecord): Omit<TaskOrder, 'validUntilMs' | 'incarnation'> {
  return {
    taskId: task.taskId,
    attempt: task.attempt,
    entry: task.entry,
    reservation: task.assignment?.reservation ?? { processors: 0, memoryMb: 0, accelerators: 0 },
    input: task.input,
    ...(task.checkpoint === undefined ? {} : { checkpoint: task.checkpoint })
  }
}

function isSameWorker (known: WorkerRecord, report: WorkerReport): boolean {
  const { capacity } = report
  return known.incarnation === report.incarnation && known.rack === report.rack && known.zone === report.zone &&
    known.capacity.processors === capacity.processors &&
    known.capacity.memoryMb === capacity.memoryMb &&
    known.capacity.accelerators === capacity.accelerators
}
