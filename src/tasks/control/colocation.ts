import { InterferenceModel, NeighborHistory, ThrottleController, type InterferenceModelOptions, type ThrottleDecision, type ThrottleOptions } from '../../core/interference'
import type { AttemptReport, WorkerReport } from '../../workers'

/** Options of what is learned from workers' reports. */
export interface ColocationOptions {
  readonly model: InterferenceModelOptions
  readonly throttle: ThrottleOptions
  /** How long it is remembered what ran on a worker, in milliseconds. */
  readonly historyMs: number
}

/** An entry and its class, by task. */
export interface TaskKind {
  readonly entry: string
  readonly isService: boolean
}

/** Learns interference from lagged reports and says what to do about it. */
export class Colocation {
  readonly model: InterferenceModel
  private readonly throttle: ThrottleController
  private readonly histories = new Map<string, NeighborHistory>()
  /** The newest sample of each task which has been learned from. */
  private readonly learned = new Map<string, number>()

  constructor (private readonly options: ColocationOptions) {
    this.model = new InterferenceModel(options.model)
    this.throttle = new ThrottleController(options.throttle)
  }

  /** Takes a report of a worker. */
  observe (worker: string, report: WorkerReport, kindOf: (taskId: string) => TaskKind | undefined, now: number): ThrottleDecision {
    const running = report.attempts.filter(attempt => attempt.state === 'running')
    const history = this.historyOf(worker)
    history.record(running.flatMap(attempt => kindOf(attempt.taskId)?.entry ?? []), now)
    let worst: number | undefined
    for (const attempt of running) {
      const kind = kindOf(attempt.taskId)
      if (kind === undefined) continue
      const slowdown = this.learn(attempt, kind, history, report.clockMs, now)
      if (slowdown !== undefined && kind.isService) worst = Math.max(worst ?? 0, slowdown)
    }
    return worst === undefined ? { type: 'keep' } : this.throttle.report(worker, worst)
  }

  /** Learns from one sample; returns its slowdown, or undefined if it is not new. */
  private learn (attempt: AttemptReport, kind: TaskKind, history: NeighborHistory, clockMs: number, now: number): number | undefined {
    const { taskId, sampledAtMs, speed } = attempt
    if (sampledAtMs === undefined || speed === undefined || speed <= 0 || this.learned.get(taskId) === sampledAtMs) return undefined
    this.learned.set(taskId, sampledAtMs)
    const neighbors = withoutOne(history.at(now - (clockMs - sampledAtMs)), kind.entry)
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

  /** Forgets tasks which have ended. */
  forget (taskId: string): void {
    this.learned.delete(taskId)
  }
}

/** The neighbors of one task of an entry; undefined if it did not run then. */
function withoutOne (entries: readonly string[] | undefined, entry: string): readonly string[] | undefined {
  const position = entries?.indexOf(entry) ?? -1
  return position === -1 ? undefined : entries?.filter((_, index) => index !== position)
}
