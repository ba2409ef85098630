/** Options of a WorkerHealth. */
export interface WorkerHealthOptions {
  /** Number of different tasks that fail on a worker, without a success in between, before it is quarantined. */
  readonly quarantineAfter: number
  /** Duration of the first quarantine, in milliseconds; it doubles with each further one. */
  readonly quarantineMs: number
  readonly maximumQuarantineMs: number
}

/** How many tasks a worker accepts: as many as fit (healthy), a few until it has finished one (unproven), one on trial after a quarantine (probation), or none (quarantined). */
export type WorkerStanding = 'healthy' | 'unproven' | 'probation' | 'quarantined'

interface HealthState {
  failedTasks: Set<string>
  quarantines: number
  quarantinedUntil: number
  isOnProbation: boolean
}

/** Distinguishes a faulty worker from a faulty task by counting different tasks that fail on the same worker. */
export class WorkerHealth {
  private readonly states = new Map<string, HealthState>()
  private readonly proven = new Set<string>()

  constructor (private readonly options: WorkerHealthOptions) {}

  /** Counts a failed attempt. Returns whether it caused a quarantine of the worker. */
  failed (worker: string, taskId: string, now: number): boolean {
    const state = this.state(worker)
    this.proven.delete(worker)
    state.failedTasks.add(taskId)
    const limit = state.isOnProbation ? 1 : this.options.quarantineAfter
    if (state.failedTasks.size < limit) return false
    const durationMs = Math.min(this.options.maximumQuarantineMs, this.options.quarantineMs * 2 ** state.quarantines)
    state.quarantines += 1
    state.quarantinedUntil = now + durationMs
    state.isOnProbation = true
    state.failedTasks = new Set()
    return true
  }

  /** Counts a successful attempt, which resets the worker's failures and quarantines. */
  succeeded (worker: string): void {
    this.states.delete(worker)
    this.proven.add(worker)
  }

  /** The number of different tasks that have failed since the worker's last success or the start of its last quarantine. */
  failures (worker: string): number {
    return this.states.get(worker)?.failedTasks.size ?? 0
  }

  standing (worker: string, now: number): WorkerStanding {
    const state = this.states.get(worker)
    if (state !== undefined && now < state.quarantinedUntil) return 'quarantined'
    if (state?.isOnProbation === true) return 'probation'
    return this.proven.has(worker) ? 'healthy' : 'unproven'
  }

  private state (worker: string): HealthState {
    const known = this.states.get(worker)
    if (known !== undefined) return known
    const state: HealthState = { failedTasks: new Set(), quarantines: 0, quarantinedUntil: 0, isOnProbation: false }
    this.states.set(worker, state)
    return state
  }
}
