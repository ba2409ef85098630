import { CatalogueReplica, type CatalogueUpdate } from '../../core/catalogue'
import type { Announcement } from '../../core/routing'
import type { Logger } from '../../observability'
import type { ControlClient, NodeReport } from '../control'
import { maximumWatchMs } from '../control/controlClient'
import { awaitPromise, startTask, type TaskBody, type TaskStep } from '../mailbox'

/** Options of a CatalogueTask. */
export interface CatalogueTaskOptions {
  readonly name: string
  readonly control: ControlClient
  readonly leaseMs: number
  /** The agents that announced themselves here, with the revisions they enforce. */
  readonly agents: () => readonly Announcement[]
  readonly now: () => number
  readonly logger: Logger
}

const retryDelayMs = 100

/** Watches the catalogue of the control group and reports which revisions this process and its agents enforce. */
export class CatalogueTask {
  private readonly replica: CatalogueReplica
  private isReachable = true
  private isStopped = false

  constructor (private readonly options: CatalogueTaskOptions) {
    this.replica = new CatalogueReplica({ leaseMs: options.leaseMs })
    startTask(() => this.run())
  }

  /** The catalogue replica of this process; it may be stale. */
  get catalogue (): CatalogueReplica { return this.replica }

  stop (): void {
    this.isStopped = true
  }

  private * run (): TaskBody {
    while (!this.isStopped) yield * this.watchOnce()
  }

  private * watchOnce (): TaskStep<void> {
    const { control, now } = this.options
    const since = this.replica.revision
    // While an agent lags behind, its progress must be reported sooner than a long poll of an unchanged catalogue returns.
    const waitMs = this.isAnyLagging() ? laggingWatchMs : maximumWatchMs
    const sentAt = now()
    const outcome = yield * awaitPromise(control.watch({ since, waitMs, reports: this.reports() }))
    if (outcome.ok) this.applyUpdate(outcome.val, sentAt, waitMs, since)
    else yield * awaitPromise(new Promise(resolve => setTimeout(resolve, retryDelayMs)))
    this.logReachability(outcome.ok, outcome.ok ? '' : outcome.val.message)
  }

  /** An unchanged catalogue was current when the long poll timed out; a changed one can be as old as the call itself. */
  private applyUpdate (update: CatalogueUpdate, sentAt: number, waitMs: number, since: number): void {
    const now = this.options.now()
    const waitedMs = update.revision > since ? 0 : waitMs
    this.replica.apply({ ...update, ageMs: Math.max(0, now - sentAt - waitedMs) }, now)
  }

  private isAnyLagging (): boolean {
    return this.options.agents().some(agent => agent.revision < this.replica.revision)
  }

  private reports (): readonly NodeReport[] {
    const agents = this.options.agents().map(agent => ({ node: agent.agent, role: 'agent' as const, revision: agent.revision }))
    return [{ node: this.options.name, role: 'entry', revision: this.replica.revision }, ...agents]
  }

  private logReachability (isReachable: boolean, error: string): void {
    if (isReachable === this.isReachable || this.isStopped) return
    this.isReachable = isReachable
    if (isReachable) this.options.logger.info('control_reached')
    else this.options.logger.warn('control_lost', { error })
  }
}

const laggingWatchMs = 200
