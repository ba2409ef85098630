import type { Failure } from '../../core/failures'
import type { Ledger, LedgerCommand, LedgerReply } from '../../core/ledger'
import { EvictionBudget, planEvictions, type PlacementTask, type PlacementWorker } from '../../core/placement'
import type { Result } from '../../core/results'
import type { Logger, Metrics } from '../../observability'
import type { WorkerPlatform, WorkerReport } from '../../workers'
import type { Colocation, TaskKind } from './colocation'

/** Options of throttling and eviction. Times are in milliseconds. */
export interface ContentionOptions {
  readonly ledger: Ledger
  readonly platform: WorkerPlatform
  readonly propose: (command: LedgerCommand) => Promise<Result<LedgerReply, Failure>>
  /** Maximum number of evictions in a burst. */
  readonly evictionBurst: number
  readonly evictionsPerMinute: number
  readonly now: () => number
  /** Wall clock in milliseconds, used for timestamps in the ledger. */
  readonly wallClock: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Throttles and evicts batch tasks in favour of services and urgent tasks. */
export class ContentionController {
  private readonly budget: EvictionBudget

  constructor (private readonly options: ContentionOptions, private readonly colocation: Colocation) {
    this.budget = new EvictionBudget(options.evictionBurst, options.evictionsPerMinute)
  }

  /** Applies the mildest sufficient measure for the interference that a report shows: changes the throttle of the batch tasks of the worker, or evicts one of them. */
  async mitigate (worker: string, term: number, report: WorkerReport): Promise<void> {
    const decision = this.colocation.observe(worker, report, taskId => this.kindOf(taskId), this.options.now())
    if (decision.type === 'keep') return
    const batch = this.options.ledger.liveTasks().filter(task => task.assignment?.worker === worker && this.kindOf(task.taskId)?.isService === false)
    this.options.logger.info('worker_relieved', { worker, measure: decision.type, tasks: batch.length })
    if (decision.type === 'evict') return await this.evictAll(batch.slice(-1))
    await Promise.all(batch.map(async ({ taskId, attempt }) => await this.options.platform.throttle(worker, term, { taskId, attempt }, decision.share)))
  }

  private kindOf (taskId: string): TaskKind | undefined {
    const task = this.options.ledger.task(taskId)
    const entry = task === undefined ? undefined : this.options.ledger.entry(task.entry)
    return entry === undefined ? undefined : { entry: entry.name, isService: entry.workClass === 'service' }
  }

  /** Proposes evictions within the budget. The worker is told on its next visit. */
  private async evictAll (tasks: ReadonlyArray<{ readonly taskId: string, readonly attempt: number }>): Promise<void> {
    const allowed = tasks.slice(0, this.budget.available(this.options.now()))
    this.budget.spend(allowed.length)
    await Promise.all(allowed.map(async ({ taskId, attempt }) => {
      this.options.metrics.count('control.eviction')
      await this.options.propose({ type: 'evictTask', taskId, attempt, at: this.options.wallClock() })
    }))
  }

  /** Evicts batch tasks to make room for blocked services and urgent tasks. Does nothing while an earlier eviction is in progress. */
  async preempt (blocked: readonly PlacementTask[], workers: readonly PlacementWorker[]): Promise<void> {
    const { ledger, now } = this.options
    const isBusy = ledger.liveTasks().some(task => task.state === 'evicting')
    if (blocked.length === 0 || isBusy) return
    const evictable = ledger.liveTasks().flatMap(task => {
      const entry = ledger.entry(task.entry)
      if (task.state !== 'running' || task.assignment === undefined || entry === undefined) return []
      if (entry.workClass === 'service' || entry.urgent) return []
      const { worker, reservation, at } = task.assignment
      return [{ taskId: task.taskId, attempt: task.attempt, worker, reservation, startedAt: at }]
    })
    await this.evictAll(planEvictions({ blocked, workers, evictable, budget: this.budget.available(now()) }))
  }
}
