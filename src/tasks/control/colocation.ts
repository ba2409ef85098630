import { InterferenceModel, NeighborHistory, ThrottleController, type InterferenceModelOptions, type ThrottleDecision, type ThrottleOptions } from '../../core/interference'
import type { AttemptReport, WorkerReport } from '../../workers'

/** Options of the interference model that is fitted to worker reports. */
export interface ColocationOptions {
  readonly model: InterferenceModelOptions
  readonly throttle: ThrottleOptions
  /** Retention of the history of what ran on a worker, in milliseconds. */
  readonly historyMs: number
}

/** The entry of a task and whether it is a service. */
export interface TaskKind {
  readonly entry: string
  readonly isService: boolean
}

/** Learns interference between colocated tasks from delayed worker reports and decides whether to throttle or evict. */
export class Colocation {
  readonly model: InterferenceModel
  private readonly throttle: ThrottleController
  private readonly histories = new Map<string, NeighborHistory>()
  /** Worker clock of the newest sample already learned from, in milliseconds, by task id. */
  private readonly lastSampledAt = new Map<string, number>()

  constructor (private readonly options: ColocationOptions) {
    this.model = new InterferenceModel(options.model)
    this.throttle = new ThrottleController(options.throttle)
  }

  /** Updates the model from a report; `now` is in milliseconds of the leader's steady clock. */
  observe (worker: string, report: WorkerReport, kindOf: (taskId: string) => TaskKind | undefined, now: number): ThrottleDecision {
    const running = report.attempts.filter(attempt => attempt.state === 'running')
    const history = this.historyOf(worker)
    history.record(running.flatMap(attempt => kindOf(attempt.taskId)?.entry ?? []), now)
    let worstSlowdown: number | undefined
    for (const attempt of running) {
      const kind = kindOf(attempt.taskId)
      if (kind === undefined) continue
      const slowdown = this.learn(attempt, kind, history, report.clockMs, now)
      if (slowdown !== undefined && kind.isService) worstSlowdown = Math.max(worstSlowdown ?? 0, slowdown)
    }
    return worstSlowdown === undefined ? { type: 'keep' } : this.throttle.report(worker, worstSlowdown)
  }

  /** Adds one sample to the model. Returns its slowdown (0 is none), or undefined if the sample is not new or its neighbors are unknown. */
  private learn (attempt: AttemptReport, kind: TaskKind, history: NeighborHistory, clockMs: number, now: number): number | undefined {
    const { taskId, sampledAtMs, speed } = attempt
    if (sampledAtMs === undefined || speed === undefined || speed <= 0 || this.lastSampledAt.get(taskId) === sampledAtMs) return undefined
    this.lastSampledAt.set(taskId, sampledAtMs)
    const neighbors = removeOne(history.at(now - (clockMs - sampledAtMs)), kind.entry)
    if (neighbors === undefined) return undefined
    this.model.record({ entry: kind.entry, neighbors, speed })
    return 1 / speed - 1
  }

  private historyOf (worker: string): NeighborHistory {
    const known = this.histories.get(worker)
    if (known !== undefined) return known
    const history = new NeighborHistory(this.options.historyMs)
    this.histories.set(worker, history)
    return history
  }

  /** Drops the state of a task that has ended. */
  forget (taskId: string): void {
    this.lastSampledAt.delete(taskId)
  }
}

/** The entries that ran beside one task of an entry; undefined if none of that entry ran at that time. */
function removeOne (entries: readonly string[] | undefined, entry: string): readonly string[] | undefined {
  const position = entries?.indexOf(entry) ?? -1
  return position === -1 ? undefined : entries?.filter((_, index) => index !== position)
}
