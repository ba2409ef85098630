import { randomUUID } from 'node:crypto'
import type { CatalogueEntry } from '../../core/catalogue'
import type { Failure } from '../../core/failures'
import type { Ledger, LedgerCommand, LedgerReply, TaskRecord } from '../../core/ledger'
import type { Result } from '../../core/results'
import { groupBy } from './groupBy'

/** Options of the reconciliation of service instances. */
export interface ServiceInstancesOptions {
  readonly ledger: Ledger
  readonly propose: (command: LedgerCommand) => Promise<Result<LedgerReply, Failure>>
  /** Wall clock in milliseconds, used for timestamps in the ledger. */
  readonly wallClock: () => number
}

const instancePrefix = 'instance.'

/** Reconciles the tasks that are service instances with the catalogue. */
export class ServiceInstances {
  constructor (private readonly options: ServiceInstancesOptions) {}

  /** Submits or cancels tasks until each service has as many queued or running instances as its entry demands; cancels instances without an entry. */
  async keep (): Promise<void> {
    const { ledger } = this.options
    const open = [...ledger.queuedTasks(), ...ledger.liveTasks()].filter(task => isInstance(task) && task.state !== 'cancelling')
    const instances = groupBy(open, task => task.entry)
    const services = ledger.entryVersionsSince(0).flatMap(version => version.entry?.workClass === 'service' ? [version.entry] : [])
    await Promise.all(services.map(async entry => await this.adjustInstances(entry, instances.get(entry.name) ?? [])))
    const orphans = open.filter(task => ledger.entry(task.entry) === undefined)
    await this.cancelAll(orphans)
  }

  private async adjustInstances (entry: CatalogueEntry, current: readonly TaskRecord[]): Promise<void> {
    const missing = entry.limits.instances - current.length
    for (let count = 0; count < missing; count += 1) {
      await this.options.propose({ type: 'submitTask', taskId: `${instancePrefix}${entry.name}.${randomUUID()}`, entry: entry.name, input: '', at: this.options.wallClock() })
    }
    if (missing < 0) await this.cancelAll(current.slice(missing))
  }

  private async cancelAll (tasks: readonly TaskRecord[]): Promise<void> {
    await Promise.all(tasks.map(async task => await this.options.propose({ type: 'cancelTask', taskId: task.taskId, at: this.options.wallClock() })))
  }
}

function isInstance (task: TaskRecord): boolean {
  return task.taskId.startsWith(instancePrefix)
}
