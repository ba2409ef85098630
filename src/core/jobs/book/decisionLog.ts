import { nameTask, type JobTask } from './job'
import { JobBook } from './jobBook'
import type { JobOperation } from './jobOperation'
import { isExhausted, isGuilty, isSuspect, type TaskCrash } from '../crashes'
import type { ReleaseCause, RunFinding } from './runFinding'
import type { RunStop, StopReason } from './runStop'

/** Why runs of a worker are released. */
export interface ReleaseBasis {
  readonly cause: ReleaseCause
  /** Age of the newest message from the worker, in milliseconds; undefined if there was none. */
  readonly reportAgeMs: number | undefined
}

/** A run that is considered ended although its worker did not list the end. */
export interface ReleasedRun extends ReleaseBasis {
  readonly task: string
  readonly run: number
  readonly worker: string
  /** The newest known checkpoint; empty for none. */
  readonly checkpoint: string
  /** The crash of the worker, if the task may have caused it. */
  readonly crash?: TaskCrash | undefined
  /** Whether the start has certainly not reached the worker. */
  readonly isUnstarted?: boolean | undefined
}

/** What is known of a run that is released with its worker. */
export interface ReleaseDetails {
  /** The newest checkpoint that the worker listed; empty for none. */
  readonly checkpoint: string
  readonly crash?: TaskCrash | undefined
  /** Whether the start has certainly not reached the worker. */
  readonly isUnstarted?: boolean | undefined
}

/**
 * The leader's own copy of the job book, which is ahead of the committed one, with the decisions taken on it: operations
 * to be proposed and runs to be stopped.
 */
export class DecisionLog {
  readonly book = new JobBook()
  private operations: JobOperation[] = []
  private stops: RunStop[] = []
  private findings: RunFinding[] = []
  /** Numbers of the runs to be stopped, by the names of their tasks. */
  private readonly stopping = new Map<string, number>()

  /** Calls `onRunEnded` for each task whose run has ended or was released, and `onRecorded` for each operation that changed the book. */
  constructor (private readonly onRunEnded: (task: string) => void, private readonly onRecorded: (operation: JobOperation) => void = () => {}) {}

  /** Discards all pending decisions and restarts from the committed book. */
  begin (committed: JobBook): void {
    this.book.load(structuredClone(committed.save()))
    this.stopping.clear()
    this.stops = []
    this.operations = []
    this.findings = []
  }

  /** Applies an operation and queues it for proposal. Returns false if it changed nothing. */
  record (operation: JobOperation): boolean {
    if (!this.book.apply(operation)) return false
    this.operations.push(operation)
    this.onRecorded(operation)
    if (operation.type === 'endRun' || operation.type === 'releaseRun') {
      this.stopping.delete(operation.task)
      this.onRunEnded(operation.task)
    }
    return true
  }

  /** Releases a run with its newest known checkpoint. Returns false if the book does not have the run on this worker. */
  release (released: ReleasedRun): boolean {
    const { task, run, worker, checkpoint, cause, reportAgeMs, crash, isUnstarted } = released
    if (!this.record({ type: 'releaseRun', task, run, worker, checkpoint, ...(crash === undefined ? {} : { crash }), ...(isUnstarted === true ? { isUnstarted } : {}) })) return false
    const { suspicion } = this.book.task(task) ?? {}
    if (crash !== undefined && suspicion !== undefined && isSuspect(suspicion)) this.findings.push({ type: 'suspected', task, run, worker, crash, suspicion })
    this.findings.push({ type: 'released', task, run, worker, cause, reportAgeMs })
    return true
  }

  /** Releases all runs of a boot of a worker. */
  releaseAll (worker: string, basis: ReleaseBasis, detailsOf: (task: string) => ReleaseDetails): void {
    for (const [task, { run }] of [...this.book.liveOn(worker)]) this.release({ ...basis, ...detailsOf(task), task, run, worker })
  }

  /**
   * Fails the job of a task that crashes its workers, if this number of crashes proves it, or if the task waits and the platform allows it
   * no further start. Returns false if neither holds, or the job has ended.
   */
  giveUpIfDue (task: string, provingCrashes: number, at: number): boolean {
    const { suspicion, state } = this.book.task(task) ?? {}
    if (suspicion === undefined) return false
    const jobId = task.split('.')[0] ?? ''
    const isLongRunning = this.book.stepOf(task)?.isLongRunning === true
    const hasNoStart = !isLongRunning && state === 'waiting' && isExhausted(suspicion)
    if (!(hasNoStart || isGuilty(suspicion, { crashes: provingCrashes, isLongRunning })) || !this.record({ type: 'cancelJob', jobId, at, failedTask: task })) return false
    this.findings.push({ type: 'givenUp', task, suspicion })
    return true
  }

  /** Queues a finding for logs and metrics. */
  addFinding (finding: RunFinding): void { this.findings.push(finding) }

  /** Queues the stop of the current run of a task, once per run. */
  stop (task: JobTask, reason: StopReason): void {
    const name = nameTask(task)
    if (this.isStopping(name, task.run)) return
    this.stopping.set(name, task.run)
    this.stops.push({ worker: task.worker, task: name, run: task.run, reason })
  }

  /** Whether the stop of a run was requested and its end is not known yet. */
  isStopping (task: string, run: number): boolean { return this.stopping.get(task) === run }

  /** Operations to be proposed since the last call, in order. */
  takeOperations (): readonly JobOperation[] {
    const { operations } = this
    this.operations = []
    return operations
  }

  /** Findings about runs since the last call. */
  takeFindings (): readonly RunFinding[] {
    const { findings } = this
    this.findings = []
    return findings
  }

  /** Runs that workers have to stop, since the last call. */
  takeStops (): readonly RunStop[] {
    const { stops } = this
    this.stops = []
    return stops
  }
}
