import { randomUUID } from 'node:crypto'
import type { Resources } from '../core/catalogue'
import { Failure } from '../core/failures'
import { addResources, hasRoomFor, noResources, subtractResources } from '../core/ledger'
import { Err, Ok, type Result } from '../core/results'
import type { AttemptId, AttemptReport, LeaseRenewal, TaskOrder, WorkerReport } from '../workers'

/** Options of {@link FakeWorkerModel}. */
export interface FakeWorkerOptions {
  readonly name: string
  readonly rack: string
  readonly zone: string
  readonly capacity: Resources
  /** The worker's clock in milliseconds, which tests can skew. */
  readonly clock: () => number
  /** How long a batch task runs, in milliseconds; undefined to run until it is stopped. */
  readonly taskMs: (order: TaskOrder) => number | undefined
  /** Whether an attempt fails instead of finishing; none does if absent. */
  readonly fails?: (order: TaskOrder) => boolean
  /** Age of the usage samples in a report, in milliseconds. */
  readonly reportLagMs: number
}

interface FakeAttempt {
  readonly order: TaskOrder
  readonly startedAt: number
  /** Run time restored from a checkpoint, in milliseconds. */
  readonly resumedMs: number
  state: AttemptReport['state']
  checkpoint: string | undefined
  share: number
}

/** One started attempt, recorded for the assertions of tests. */
export interface FakeRun {
  readonly taskId: string
  readonly attempt: number
  readonly startedAt: number
  /** Run time restored from its checkpoint, in milliseconds. */
  readonly resumedMs: number
  endedAt: number | undefined
}

/** The behaviour of a worker: leases on its own clock, and fencing by term, incarnation and attempt. */
export class FakeWorkerModel {
  readonly runs: FakeRun[] = []
  private incarnation = randomUUID()
  private attempts = new Map<string, FakeAttempt>()
  private newestAttempt = new Map<string, number>()
  private leaseUntilMs = Number.NEGATIVE_INFINITY
  private term = 0

  constructor (private readonly options: FakeWorkerOptions) {}

  get name (): string { return this.options.name }

  /** Resources reserved by running attempts. */
  get used (): Resources {
    let used = noResources
    for (const attempt of this.running()) used = addResources(used, attempt.order.reservation)
    return used
  }

  renew (renewal: LeaseRenewal): Result<WorkerReport, Failure> {
    if (!this.acceptTerm(renewal.term)) return Err(this.createStaleTermFailure(renewal.term))
    this.advance()
    if (renewal.leaseUntilMs !== undefined) this.leaseUntilMs = Math.max(this.leaseUntilMs, renewal.leaseUntilMs)
    for (const { taskId, attempt } of renewal.recorded) {
      const known = this.attempts.get(taskId)
      if (known?.order.attempt === attempt && known.state !== 'running') this.attempts.delete(taskId)
    }
    return Ok({
      clockMs: this.options.clock(),
      incarnation: this.incarnation,
      capacity: this.options.capacity,
      rack: this.options.rack,
      zone: this.options.zone,
      attempts: [...this.attempts.values()].map(attempt => this.report(attempt))
    })
  }

  start (term: number, order: TaskOrder): Result<void, Failure> {
    if (!this.acceptTerm(term)) return Err(this.createStaleTermFailure(term))
    this.advance()
    const now = this.options.clock()
    if (order.incarnation !== this.incarnation) return this.refuse(order, 'another incarnation')
    if (now > order.validUntilMs || now > this.leaseUntilMs) return this.refuse(order, 'an expired order or lease')
    if (order.attempt <= (this.newestAttempt.get(order.taskId) ?? 0)) return Ok(undefined)
    const room = subtractResources(this.options.capacity, this.used)
    if (!hasRoomFor(room, order.reservation)) return this.refuse(order, 'a reservation above the free capacity')
    this.newestAttempt.set(order.taskId, order.attempt)
    this.runs.push({ taskId: order.taskId, attempt: order.attempt, startedAt: now, resumedMs: Number(order.checkpoint ?? 0), endedAt: undefined })
    this.attempts.set(order.taskId, {
      order,
      startedAt: now,
      resumedMs: Number(order.checkpoint ?? 0),
      state: 'running',
      checkpoint: undefined,
      share: 1
    })
    return Ok(undefined)
  }

  evict (term: number, name: AttemptId): Result<void, Failure> {
    return this.end(term, name, true)
  }

  stop (term: number, name: AttemptId): Result<void, Failure> {
    return this.end(term, name, false)
  }

  throttle (term: number, name: AttemptId, share: number): Result<void, Failure> {
    if (!this.acceptTerm(term)) return Err(this.createStaleTermFailure(term))
    const attempt = this.attempts.get(name.taskId)
    if (attempt?.order.attempt === name.attempt) attempt.share = share
    return Ok(undefined)
  }

  /** Loses all attempts and the lease and draws a new incarnation, as after a restart of the VM. */
  restart (): void {
    this.advance()
    for (const attempt of this.running()) this.closeRun(attempt)
    this.incarnation = randomUUID()
    this.attempts = new Map()
    this.newestAttempt = new Map()
    this.leaseUntilMs = Number.NEGATIVE_INFINITY
  }

  /** Finishes tasks whose run time has elapsed, and stops all others once the lease has ended. */
  advance (): void {
    const now = this.options.clock()
    for (const attempt of this.running()) {
      const taskMs = this.options.taskMs(attempt.order)
      const finishesAt = taskMs === undefined ? Number.POSITIVE_INFINITY : attempt.startedAt + Math.max(0, taskMs - attempt.resumedMs)
      if (finishesAt <= Math.min(now, this.leaseUntilMs)) this.finish(attempt)
      else if (now > this.leaseUntilMs) {
        this.closeRun(attempt)
        // Reported like any other stop: the leader may renew the lease before it ends on the leader's clock, and would otherwise wait for the attempt forever.
        attempt.state = 'stopped'
      }
    }
  }

  private finish (attempt: FakeAttempt): void {
    attempt.state = this.options.fails?.(attempt.order) === true ? 'failed' : 'finished'
    this.closeRun(attempt)
  }

  private end (term: number, name: AttemptId, withCheckpoint: boolean): Result<void, Failure> {
    if (!this.acceptTerm(term)) return Err(this.createStaleTermFailure(term))
    this.advance()
    const attempt = this.attempts.get(name.taskId)
    if (attempt === undefined) {
      this.recordStopBeforeStart(name)
      return Ok(undefined)
    }
    if (attempt.order.attempt !== name.attempt || attempt.state !== 'running') return Ok(undefined)
    attempt.state = 'stopped'
    if (withCheckpoint) attempt.checkpoint = String(attempt.resumedMs + this.options.clock() - attempt.startedAt)
    this.closeRun(attempt)
    return Ok(undefined)
  }

  /** Records the stop of an unknown attempt, so that a start that arrives later is ignored. */
  private recordStopBeforeStart (name: AttemptId): void {
    if (name.attempt <= (this.newestAttempt.get(name.taskId) ?? 0)) return
    this.newestAttempt.set(name.taskId, name.attempt)
    const order: TaskOrder = { ...name, entry: '', reservation: noResources, input: '', validUntilMs: 0, incarnation: this.incarnation }
    this.attempts.set(name.taskId, { order, startedAt: 0, resumedMs: 0, state: 'stopped', checkpoint: undefined, share: 1 })
  }

  private closeRun (attempt: FakeAttempt): void {
    const run = this.runs.findLast(candidate => candidate.taskId === attempt.order.taskId)
    // If the lease has ended since the last call of `advance`, the task stopped at the end of the lease.
    if (run !== undefined) run.endedAt = Math.min(this.options.clock(), this.leaseUntilMs)
  }

  private report (attempt: FakeAttempt): AttemptReport {
    const { taskId, attempt: number, reservation } = attempt.order
    return {
      taskId,
      attempt: number,
      state: attempt.state,
      ...(attempt.state === 'finished' ? { result: `${this.options.name} finished ${taskId}` } : {}),
      ...(attempt.checkpoint === undefined ? {} : { checkpoint: attempt.checkpoint }),
      usage: { ...reservation, processors: reservation.processors * attempt.share },
      sampledAtMs: this.options.clock() - this.options.reportLagMs,
      speed: attempt.share
    }
  }

  private running (): readonly FakeAttempt[] {
    return [...this.attempts.values()].filter(attempt => attempt.state === 'running')
  }

  private acceptTerm (term: number): boolean {
    if (term < this.term) return false
    this.term = term
    return true
  }

  private createStaleTermFailure (term: number): Failure {
    return new Failure('worker/refused', { subject: this.name, expected: `term ${this.term} or later`, got: `term ${term}` })
  }

  private refuse (order: TaskOrder, got: string): Result<void, Failure> {
    return Err(new Failure('worker/refused', { subject: order.taskId, expected: 'a valid order', got }))
  }
}
