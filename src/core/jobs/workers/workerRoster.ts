import type { RunningTask, WorkerLook, WorkerReport } from './workerReport'

/** What the leader knows of one boot of a worker. */
export interface KnownWorker {
  readonly report: WorkerReport
  readonly agent: string
  /** Whether its agent is connected now. */
  readonly isConnected: boolean
  /** What it listed last, by the names of tasks. */
  readonly running: ReadonlyMap<string, RunningTask>
}

interface Mutable {
  reportedAt: number
  /** The highest sequence number of the ends that it listed. */
  highestEnd: number
  report: WorkerReport
  agent: string
  isConnected: boolean
  running: ReadonlyMap<string, RunningTask>
}

/** The workers which agents have reported to this leader; soft state. */
export class WorkerRoster {
  private readonly workers = new Map<string, Mutable>()
  private readonly bootOfAgent = new Map<string, string>()
  private readonly gone = new Set<string>()

  /** Forgets everything, for a new leadership. */
  clear (): void {
    this.workers.clear()
    this.bootOfAgent.clear()
    this.gone.clear()
  }

  find (worker: string): KnownWorker | undefined { return this.workers.get(worker) }

  all (): Iterable<KnownWorker> { return this.workers.values() }

  /** Whether this boot has certainly ended. */
  isGone (worker: string): boolean { return this.gone.has(worker) }

  /** Takes a report. False if a later boot of the same VM is known already. */
  report (agent: string, report: WorkerReport, now: number): boolean {
    if (this.gone.has(report.worker)) return false
    const former = this.bootOfAgent.get(agent)
    const known = former === undefined ? undefined : this.workers.get(former)
    if (known !== undefined && known.report.bornMs > report.bornMs) return false
    if (known !== undefined && former !== undefined && former !== report.worker) this.end(former)
    const { running = new Map(), highestEnd = 0 } = this.workers.get(report.worker) ?? {}
    this.workers.set(report.worker, { report, agent, isConnected: true, running, highestEnd, reportedAt: now })
    this.bootOfAgent.set(agent, report.worker)
    return true
  }

  /** When a worker last described itself, in milliseconds of the leader's steady clock. */
  reportedAt (worker: string): number { return this.workers.get(worker)?.reportedAt ?? Number.NEGATIVE_INFINITY }

  /** The highest sequence number of the ends that a worker has listed to this leader; 0 for none. */
  highestEnd (worker: string): number { return this.workers.get(worker)?.highestEnd ?? 0 }

  look (look: WorkerLook): void {
    const known = this.workers.get(look.worker)
    if (known === undefined) return
    known.running = new Map(look.running.map(running => [running.task, running]))
    known.highestEnd = Math.max(known.highestEnd, ...look.ends.map(ended => ended.sequence))
  }

  disconnected (worker: string): void {
    const known = this.workers.get(worker)
    if (known !== undefined) known.isConnected = false
  }

  /** Records that a boot has ended. */
  end (worker: string): void {
    this.gone.add(worker)
    const agent = this.workers.get(worker)?.agent
    this.workers.delete(worker)
    if (agent !== undefined && this.bootOfAgent.get(agent) === worker) this.bootOfAgent.delete(agent)
  }
}
