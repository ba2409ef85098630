import type { Resources } from '../catalogue'
import { Failure } from '../failures'
import { Err, Ok, type Result } from '../results'
import type { AssignTask, CancelTask, CordonWorker, EvictTask, FinishTask, ParkTask, RegisterWorker, ReleaseTask, SetQuota, SubmitTask } from './ledgerCommand'
import type { TaskRecord, TaskState, TaskEvent, WorkerRecord } from './ledgerRecords'
import { addResources, hasRoomFor, noResources, subtractResources } from './resources'

/** The tasks' part of a snapshot. */
export interface TaskSnapshot {
  readonly workers: readonly WorkerRecord[]
  readonly tasks: readonly TaskRecord[]
  readonly quotas: ReadonlyArray<readonly [organisation: string, quota: Resources]>
}

/** The changed fields of a task; its history event is passed separately. */
type TaskChange = Partial<Omit<TaskRecord, 'taskId' | 'history'>>

const liveStates: ReadonlySet<TaskState> = new Set<TaskState>(['running', 'evicting', 'cancelling'])
const endedStates: ReadonlySet<TaskState> = new Set<TaskState>(['finished', 'parked', 'cancelled'])

/** Maximum number of events kept in the history of one task. */
const maximumHistoryEvents = 64

/** Workers, quotas and tasks. Refuses commands that would exceed a capacity or quota, or run a task twice. */
export class TaskBook {
  private readonly workers = new Map<string, WorkerRecord>()
  private readonly quotas = new Map<string, Resources>()
  private readonly tasks = new Map<string, TaskRecord>()
  private readonly queuedIds = new Set<string>()
  private readonly liveIds = new Set<string>()
  private readonly endedIds = new Set<string>()
  private readonly reservedByWorker = new Map<string, Resources>()
  private readonly reservedByOrganisation = new Map<string, Resources>()

  constructor (private readonly keptEndedTasks: number) {}

  registerWorker (command: RegisterWorker): Result<WorkerRecord, Failure> {
    const known = this.workers.get(command.name)
    if (known !== undefined && known.incarnation !== command.incarnation) this.releaseAllOn(command.name, command.at)
    const used = this.reservedOn(command.name)
    if (!hasRoomFor(command.capacity, used)) {
      return Err(new Failure('worker/over-capacity', {
        subject: command.name,
        expected: `at least the reserved ${describeResources(used)}`,
        got: describeResources(command.capacity)
      }))
    }
    const worker: WorkerRecord = {
      name: command.name,
      incarnation: command.incarnation,
      capacity: command.capacity,
      rack: command.rack,
      zone: command.zone,
      cordoned: known?.cordoned ?? false
    }
    this.workers.set(worker.name, worker)
    return Ok(worker)
  }

  cordonWorker (command: CordonWorker): Result<WorkerRecord, Failure> {
    const worker = this.workers.get(command.name)
    if (worker === undefined) return Err(new Failure('worker/unknown', { subject: command.name }))
    const changed = { ...worker, cordoned: command.cordoned }
    this.workers.set(worker.name, changed)
    return Ok(changed)
  }

  setQuota (command: SetQuota): void {
    this.quotas.set(command.organisation, command.quota)
  }

  /** Adds a task to the queue; for a known task id, returns the existing task. */
  submit (command: SubmitTask, organisation: string): Result<TaskRecord, Failure> {
    const known = this.tasks.get(command.taskId)
    if (known !== undefined) return Ok(known)
    const task: TaskRecord = {
      taskId: command.taskId,
      entry: command.entry,
      organisation,
      submittedAt: command.at,
      input: command.input,
      state: 'queued',
      attempt: 0,
      failedOn: [],
      history: [{ at: command.at, step: 'submitted', attempt: 0 }]
    }
    this.tasks.set(task.taskId, task)
    this.queuedIds.add(task.taskId)
    return Ok(task)
  }

  assign (command: AssignTask): Result<TaskRecord, Failure> {
    const found = this.require(command.taskId, ['queued'])
    if (!found.ok) return found
    const task = found.val
    if (command.attempt !== task.attempt + 1) return Err(createStaleAttemptFailure(task, command.attempt))
    const refusal = this.checkReservation(task, command)
    if (refusal !== undefined) return Err(refusal)
    const assignment = { worker: command.worker, reservation: command.reservation, at: command.at }
    this.addReservation(task.organisation, command.worker, command.reservation)
    return Ok(this.update(task, { state: 'running', attempt: command.attempt, assignment }, 'assigned', command.at))
  }

  evict (command: EvictTask): Result<TaskRecord, Failure> {
    const found = this.requireAttempt(command.taskId, command.attempt, ['running', 'evicting'])
    if (!found.ok || found.val.state === 'evicting') return found
    return Ok(this.update(found.val, { state: 'evicting' }, 'evicting', command.at))
  }

  /** Ends an attempt without a result; the task is queued again, or cancelled if it was being cancelled. */
  release (command: ReleaseTask): Result<TaskRecord, Failure> {
    const found = this.requireAttempt(command.taskId, command.attempt, ['running', 'evicting', 'cancelling'])
    if (!found.ok) return found
    return Ok(this.endAttempt(found.val, command.reason, command.at, command.checkpoint))
  }

  /** Records the result of the current attempt. A resend for the finished attempt returns the task unchanged; any other attempt is refused. */
  finish (command: FinishTask): Result<TaskRecord, Failure> {
    const known = this.tasks.get(command.taskId)
    if (known?.state === 'finished' && known.attempt === command.attempt) return Ok(known)
    const found = this.requireAttempt(command.taskId, command.attempt, ['running', 'evicting', 'cancelling'])
    if (!found.ok) return found
    const worker = found.val.assignment?.worker
    this.removeReservation(found.val)
    const { assignment, ...rest } = found.val
    return Ok(this.update(rest, { state: 'finished', result: command.result }, 'finished', command.at, worker))
  }

  park (command: ParkTask): Result<TaskRecord, Failure> {
    const found = this.require(command.taskId, ['queued'])
    if (!found.ok) return found
    return Ok(this.update(found.val, { state: 'parked', reason: command.reason }, 'parked', command.at))
  }

  cancel (command: CancelTask): Result<TaskRecord, Failure> {
    const task = this.tasks.get(command.taskId)
    if (task === undefined) return Err(new Failure('task/unknown', { subject: command.taskId }))
    if (endedStates.has(task.state) || task.state === 'cancelling') return Ok(task)
    if (task.state === 'queued') return Ok(this.update(task, { state: 'cancelled' }, 'cancelled', command.at))
    return Ok(this.update(task, { state: 'cancelling' }, 'cancelling', command.at))
  }

  find (taskId: string): TaskRecord | undefined {
    return this.tasks.get(taskId)
  }

  /** Tasks that wait for a worker, oldest first. */
  queued (): readonly TaskRecord[] {
    return this.findAll(this.queuedIds)
  }

  /** Tasks that have an attempt on a worker. */
  live (): readonly TaskRecord[] {
    return this.findAll(this.liveIds)
  }

  /** All tasks, including the ended ones that are still kept. */
  all (): readonly TaskRecord[] {
    return [...this.tasks.values()]
  }

  allWorkers (): readonly WorkerRecord[] {
    return [...this.workers.values()]
  }

  worker (name: string): WorkerRecord | undefined {
    return this.workers.get(name)
  }

  reservedOn (worker: string): Resources {
    return this.reservedByWorker.get(worker) ?? noResources
  }

  reservedBy (organisation: string): Resources {
    return this.reservedByOrganisation.get(organisation) ?? noResources
  }

  quotaOf (organisation: string): Resources | undefined {
    return this.quotas.get(organisation)
  }

  save (): TaskSnapshot {
    return { workers: this.allWorkers(), tasks: this.all(), quotas: [...this.quotas] }
  }

  load (snapshot: TaskSnapshot): void {
    const maps = [this.workers, this.quotas, this.tasks, this.queuedIds, this.liveIds, this.endedIds, this.reservedByWorker, this.reservedByOrganisation]
    for (const map of maps) map.clear()
    for (const worker of snapshot.workers) this.workers.set(worker.name, worker)
    for (const [organisation, quota] of snapshot.quotas) this.quotas.set(organisation, quota)
    for (const task of snapshot.tasks) {
      this.store(task)
      if (task.assignment !== undefined) this.addReservation(task.organisation, task.assignment.worker, task.assignment.reservation)
    }
  }

  private endAttempt (task: TaskRecord, reason: ReleaseTask['reason'] | 'workerRestarted', at: number, checkpoint = task.checkpoint): TaskRecord {
    const worker = task.assignment?.worker
    const failedOn = reason === 'failed' && worker !== undefined ? [...task.failedOn, worker] : task.failedOn
    this.removeReservation(task)
    const { assignment, ...rest } = task
    const released: TaskRecord = { ...rest, failedOn, ...(checkpoint === undefined ? {} : { checkpoint }) }
    const wasCancelled = task.state === 'cancelling'
    return this.update(released, { state: wasCancelled ? 'cancelled' : 'queued' }, wasCancelled ? 'cancelled' : reason, at, worker)
  }

  /** Ends all attempts of a worker that restarted, as it no longer runs them. */
  private releaseAllOn (worker: string, at: number): void {
    for (const task of this.live()) {
      if (task.assignment?.worker === worker) this.endAttempt(task, 'workerRestarted', at)
    }
  }

  private checkReservation (task: TaskRecord, command: AssignTask): Failure | undefined {
    const worker = this.workers.get(command.worker)
    if (worker === undefined) return new Failure('worker/unknown', { subject: command.worker })
    const room = subtractResources(worker.capacity, this.reservedOn(worker.name))
    if (!hasRoomFor(room, command.reservation)) {
      return new Failure('worker/over-capacity', {
        subject: worker.name,
        expected: `at most ${describeResources(room)}`,
        got: describeResources(command.reservation)
      })
    }
    const quota = this.quotas.get(task.organisation)
    if (quota === undefined) return undefined
    const left = subtractResources(quota, this.reservedBy(task.organisation))
    if (hasRoomFor(left, command.reservation)) return undefined
    return new Failure('task/over-quota', {
      subject: task.organisation,
      expected: `at most ${describeResources(left)}`,
      got: describeResources(command.reservation)
    })
  }

  private require (taskId: string, states: readonly TaskState[]): Result<TaskRecord, Failure> {
    const task = this.tasks.get(taskId)
    if (task === undefined) return Err(new Failure('task/unknown', { subject: taskId }))
    if (states.includes(task.state)) return Ok(task)
    return Err(new Failure('task/wrong-state', { subject: taskId, expected: states.join(' or '), got: task.state }))
  }

  private requireAttempt (taskId: string, attempt: number, states: readonly TaskState[]): Result<TaskRecord, Failure> {
    const found = this.require(taskId, states)
    if (found.ok && found.val.attempt !== attempt) return Err(createStaleAttemptFailure(found.val, attempt))
    return found
  }

  private update (task: TaskRecord, change: TaskChange, step: TaskEvent['step'], at: number, releasedFrom?: string): TaskRecord {
    const worker = releasedFrom ?? change.assignment?.worker ?? task.assignment?.worker
    const attempt = change.attempt ?? task.attempt
    const history = [...task.history, { at, step, attempt, ...(worker === undefined ? {} : { worker }) }]
    const next: TaskRecord = { ...task, ...change, history: history.slice(-maximumHistoryEvents) }
    this.store(next)
    return next
  }

  private store (task: TaskRecord): void {
    this.tasks.set(task.taskId, task)
    this.queuedIds.delete(task.taskId)
    this.liveIds.delete(task.taskId)
    if (task.state === 'queued') this.queuedIds.add(task.taskId)
    if (liveStates.has(task.state)) this.liveIds.add(task.taskId)
    if (endedStates.has(task.state)) this.endedIds.add(task.taskId)
    this.dropOldestEnded()
  }

  private dropOldestEnded (): void {
    if (this.endedIds.size <= this.keptEndedTasks) return
    const oldest = this.endedIds.values().next().value
    if (oldest === undefined) return
    this.endedIds.delete(oldest)
    this.tasks.delete(oldest)
  }

  private addReservation (organisation: string, worker: string, amount: Resources): void {
    this.reservedByWorker.set(worker, addResources(this.reservedOn(worker), amount))
    this.reservedByOrganisation.set(organisation, addResources(this.reservedBy(organisation), amount))
  }

  private removeReservation (task: TaskRecord): void {
    if (task.assignment === undefined) return
    const { worker, reservation } = task.assignment
    this.reservedByWorker.set(worker, subtractResources(this.reservedOn(worker), reservation))
    this.reservedByOrganisation.set(task.organisation, subtractResources(this.reservedBy(task.organisation), reservation))
  }

  private findAll (ids: ReadonlySet<string>): readonly TaskRecord[] {
    const selected: TaskRecord[] = []
    for (const id of ids) {
      const task = this.tasks.get(id)
      if (task !== undefined) selected.push(task)
    }
    return selected
  }
}

function createStaleAttemptFailure (task: TaskRecord, attempt: number): Failure {
  return new Failure('task/stale-attempt', { subject: task.taskId, expected: `attempt after ${task.attempt}`, got: String(attempt) })
}

function describeResources (amount: Resources): string {
  return `${amount.processors} cores, ${amount.memoryMb} MiB, ${amount.accelerators} accelerators`
}
