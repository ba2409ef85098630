/** Options of the health of workers. */
export interface WorkerHealthOptions {
  /** Different tasks which fail in a row before a worker is quarantined. */
  readonly quarantineAfter: number
  /** The first quarantine, in milliseconds; each further one doubles it. */
  readonly quarantineMs: number
  readonly maximumQuarantineMs: number
}

/** Whether a worker takes tasks: as many as fit, few because it has finished none yet, one on trial, or none. */
export type WorkerStanding = 'healthy' | 'unproven' | 'probation' | 'quarantined'

interface HealthState {
  failedTasks: Set<string>
  quarantines: number
  until: number
  isOnProbation: boolean
}

/** Tells a worker which fails everything from tasks which fail everywhere. */
export class WorkerHealth {
  private readonly states = new Map<string, HealthState>()
  private readonly proven = new Set<string>()

  constructor (private readonly options: WorkerHealthOptions) {}

  /** Counts a failed attempt; returns whether the worker was quarantined by it. */
  failed (worker: string, taskId: string, now: number): boolean {
    const state = this.state(worker)
    this.proven.delete(worker)
    state.failedTasks.add(taskId)
    const limit = state.isOnProbation ? 1 : this.options.quarantineAfter
    if (state.failedTasks.size < limit) return false
    const durationMs = Math.min(this.options.maximumQuarantineMs, this.options.quarantineMs * 2 ** state.quarantines)
    state.quarantines += 1
    state.until = now + durationMs
    state.isOnProbation = true
    state.failedTasks = new Set()
    return true
  }

  /** Counts a finished attempt, which clears the worker. */
  succeeded (worker: string): void {
    this.states.delete(worker)
    this.proven.add(worker)
  }

  /** Different tasks which have failed since the worker finished one. */
  failures (worker: string): number {
    return this.states.get(worker)?.failedTasks.size ?? 0
  }

  standing (worker: string, now: number): WorkerStanding {
    const state = this.states.get(worker)
    if (state !== undefined && now < state.until) return 'quarantined'
    if (state?.isOnProbation === true) return 'probation'
    return this.proven.has(worker) ? 'healthy' : 'unproven'
  }

  private state (worker: string): HealthState {
    const known = this.states.get(worker)
    if (known !== undefined) return known
    const state: HealthState = { failedTasks: new Set(), quarantines: 0, until: 0, isOnProbation: false }
    this.states.set(worker, state)
    return state
  }
}
