import { CatalogueReplica, type CatalogueUpdate } from '../../core/catalogue'
import type { Announcement } from '../../core/routing'
import type { Logger } from '../../observability'
import type { ControlClient, NodeReport } from '../control'
import { longestWatchMs } from '../control/controlClient'
import { settled, startTask, type TaskBody, type TaskStep } from '../mailbox'

/** Options of the task which follows the catalogue. */
export interface CatalogueTaskOptions {
  readonly name: string
  readonly control: ControlClient
  readonly leaseMs: number
  /** The agents which announced themselves here, with the revisions that they enforce. */
  readonly agents: () => readonly Announcement[]
  readonly now: () => number
  readonly logger: Logger
}

const retryMs = 100

/** Follows the catalogue of the control group and reports which revisions are enforced. */
export class CatalogueTask {
  private readonly replica: CatalogueReplica
  private isReachable = true
  private isStopped = false

  constructor (private readonly options: CatalogueTaskOptions) {
    this.replica = new CatalogueReplica({ leaseMs: options.leaseMs })
    startTask(() => this.run())
  }

  /** This process's copy of the catalogue. */
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
    // While some node lags, the reports must flow faster than an unchanged catalogue is confirmed.
    const waitMs = this.isAnyLagging() ? lagReportMs : longestWatchMs
    const sentAt = now()
    const outcome = yield * settled(control.watch({ since, waitMs, reports: this.reports() }))
    if (outcome.ok) this.take(outcome.val, sentAt, waitMs, since)
    else yield * settled(new Promise(resolve => setTimeout(resolve, retryMs)))
    this.noteReachable(outcome.ok, outcome.ok ? '' : outcome.val.message)
  }

  /** An answer after the whole wait was current at its end; any other is as old as the call at worst. */
  private take (update: CatalogueUpdate, sentAt: number, waitMs: number, since: number): void {
    const now = this.options.now()
    const waited = update.revision > since ? 0 : waitMs
    this.replica.apply({ ...update, ageMs: Math.max(0, now - sentAt - waited) }, now)
  }

  private isAnyLagging (): boolean {
    return this.options.agents().some(agent => agent.revision < this.replica.revision)
  }

  private reports (): readonly NodeReport[] {
    const agents = this.options.agents().map(agent => ({ node: agent.agent, role: 'agent' as const, revision: agent.revision }))
    return [{ node: this.options.name, role: 'entry', revision: this.replica.revision }, ...agents]
  }

  private noteReachable (isReachable: boolean, error: string): void {
    if (isReachable === this.isReachable || this.isStopped) return
    this.isReachable = isReachable
    if (isReachable) this.options.logger.info('control_reached')
    else this.options.logger.warn('control_lost', { error })
  }
}

const lagReportMs = 200
