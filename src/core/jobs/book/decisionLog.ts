import type { RunStop, StopReason } from '../review'
import { nameTask, type JobTask } from './job'
import { JobBook } from './jobBook'
import type { JobOperation } from './jobOperation'
import type { ReleaseCause, RunFinding } from './runFinding'

/** On what ground runs of a worker are released. */
export interface ReleaseGround {
  readonly cause: ReleaseCause
  /** How old the newest word of the worker is, in milliseconds; undefined if there was none. */
  readonly reportAgeMs: number | undefined
}

/** A run which counts as over though its end was not listed. */
export interface ReleasedRun extends ReleaseGround {
  readonly task: string
  readonly run: number
  readonly worker: string
  /** The newest checkpoint that is known; empty for none. */
  readonly checkpoint: string
}

/**
 * The leader's own copy of the job book, which is ahead of the committed one, with what was decided on it: operations to
 * be proposed and runs to be taken down.
 */
export class DecisionLog {
  readonly book = new JobBook()
  private operations: JobOperation[] = []
  private stops: RunStop[] = []
  private findings: RunFinding[] = []
  /** Runs which are to be taken down, by the names of their tasks. */
  private readonly stopping = new Map<string, number>()

  /** `onRunOver` is told of each task whose run has ended or was released, and `onRecorded` of each operation that changed the book. */
  constructor (private readonly onRunOver: (task: string) => void, private readonly onRecorded: (operation: JobOperation) => void = () => {}) {}

  /** Begins anew from the committed book. */
  begin (committed: JobBook): void {
    this.book.load(structuredClone(committed.save()))
    this.stopping.clear()
    this.stops = []
    this.operations = []
    this.findings = []
  }

  /** Applies an operation and keeps it to be proposed. False if it changed nothing. */
  record (operation: JobOperation): boolean {
    if (!this.book.apply(operation)) return false
    this.operations.push(operation)
    this.onRecorded(operation)
    if (operation.type === 'endRun' || operation.type === 'releaseRun') {
      this.stopping.delete(operation.task)
      this.onRunOver(operation.task)
    }
    return true
  }

  /** Releases a run with the newest checkpoint that is known. False if the book does not have it at this worker. */
  release (released: ReleasedRun): boolean {
    const { task, run, worker, checkpoint, cause, reportAgeMs } = released
    if (!this.record({ type: 'releaseRun', task, run, worker, checkpoint })) return false
    this.findings.push({ type: 'released', task, run, worker, cause, reportAgeMs })
    return true
  }

  /** Releases everything that a boot of a worker holds, with the newest checkpoints that it listed. */
  releaseAll (worker: string, ground: ReleaseGround, checkpointOf: (task: string) => string): void {
    for (const [task, { run }] of [...this.book.liveOn(worker)]) this.release({ ...ground, task, run, worker, checkpoint: checkpointOf(task) })
  }

  /** Keeps a finding for logs and metrics. */
  note (finding: RunFinding): void { this.findings.push(finding) }

  /** Has a run taken down, once. */
  stop (task: JobTask, reason: StopReason): void {
    const name = nameTask(task)
    if (this.isStopping(name, task.run)) return
    this.stopping.set(name, task.run)
    this.stops.push({ worker: task.worker, task: name, run: task.run, reason })
  }

  isStopping (task: string, run: number): boolean { return this.stopping.get(task) === run }

  /** What is to be proposed since the last call, in order. */
  takeOperations (): readonly JobOperation[] {
    const { operations } = this
    this.operations = []
    return operations
  }

  /** What was concluded about runs since the last call. */
  takeFindings (): readonly RunFinding[] {
    const { findings } = this
    this.findings = []
    return findings
  }

  /** Runs which workers are to take down since the last call. */
  takeStops (): readonly RunStop[] {
    const { stops } = this
    this.stops = []
    return stops
  }
}
