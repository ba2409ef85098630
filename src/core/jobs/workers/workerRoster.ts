import type { RunningTask, WorkerLook, WorkerReport } from './workerReport'

/** The leader's view of one boot of a worker. */
export interface KnownWorker {
  readonly report: WorkerReport
  readonly agent: string
  /** Whether its agent is connected. */
  readonly isConnected: boolean
  /** The runs that it listed last, by the names of their tasks. */
  readonly running: ReadonlyMap<string, RunningTask>
}

interface MutableWorker {
  reportedAt: number
  /** The highest sequence number of the ends that it has listed; 0 for none. */
  highestEnd: number
  report: WorkerReport
  agent: string
  isConnected: boolean
  running: ReadonlyMap<string, RunningTask>
}

/** The workers that agents have reported to this leader; soft state, which is not replicated. */
export class WorkerRoster {
  private readonly workers = new Map<string, MutableWorker>()
  private readonly bootOfAgent = new Map<string, string>()
  private readonly endedBoots = new Set<string>()

  /** Drops all workers at the beginning of a leadership. */
  clear (): void {
    this.workers.clear()
    this.bootOfAgent.clear()
    this.endedBoots.clear()
  }

  find (worker: string): KnownWorker | undefined { return this.workers.get(worker) }

  /** The known boots that have not ended. */
  all (): Iterable<KnownWorker> { return this.workers.values() }

  /** Whether a boot has certainly ended. */
  hasEnded (worker: string): boolean { return this.endedBoots.has(worker) }

  /** Records a report, which ends the former boot of the VM: an agent reports in order, and only boots that the worker confirmed. Returns false if the boot has ended. */
  report (agent: string, report: WorkerReport, now: number): boolean {
    if (this.endedBoots.has(report.worker)) return false
    const former = this.bootOfAgent.get(agent)
    if (former !== undefined && former !== report.worker) this.end(former)
    const { running = new Map(), highestEnd = 0 } = this.workers.get(report.worker) ?? {}
    this.workers.set(report.worker, { report, agent, isConnected: true, running, highestEnd, reportedAt: now })
    this.bootOfAgent.set(agent, report.worker)
    return true
  }

  /** Time of the newest report of a worker, in milliseconds of the leader's steady clock; negative infinity if there was none. */
  reportedAt (worker: string): number { return this.workers.get(worker)?.reportedAt ?? Number.NEGATIVE_INFINITY }

  /** The highest sequence number of the ends that a worker has listed to this leader; 0 for none. */
  highestEnd (worker: string): number { return this.workers.get(worker)?.highestEnd ?? 0 }

  /** Records the newest list of a worker; ignored if the worker is unknown. */
  look (look: WorkerLook): void {
    const known = this.workers.get(look.worker)
    if (known === undefined) return
    known.running = new Map(look.running.map(running => [running.task, running]))
    known.highestEnd = Math.max(known.highestEnd, ...look.ends.map(ended => ended.sequence))
  }

  markDisconnected (worker: string): void {
    const known = this.workers.get(worker)
    if (known !== undefined) known.isConnected = false
  }

  /** Records that a boot has ended; later reports of it are rejected. */
  end (worker: string): void {
    this.endedBoots.add(worker)
    const agent = this.workers.get(worker)?.agent
    this.workers.delete(worker)
    if (agent !== undefined && this.bootOfAgent.get(agent) === worker) this.bootOfAgent.delete(agent)
  }
}
