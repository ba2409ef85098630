import { expect } from 'chai'
import fc from 'fast-check'
import { LeaseTable } from '..'
import { FakeWorkerModel } from '../../../fakes'
import type { WorkerReport } from '../../../workers'
import type { CatalogueEntry } from '../../catalogue'
import { Ledger } from '../../ledger'

const options = { durationMs: 100, maximumDrift: 0.1, formerLeaderMs: 20 }
const capacity = { processors: 2, memoryMb: 2, accelerators: 0 }
const reservation = { processors: 1, memoryMb: 1, accelerators: 0 }
const entry: CatalogueEntry = {
  name: 'pairings', organisation: 'cartago', workClass: 'batch', urgent: false, cell: 'main', limits: { ...reservation, concurrency: 1, queue: 0, deadlineMs: 1, instances: 0 }
}
const workerNames = ['w1', 'w2', 'w3']
const visitEveryMs = 10
const workerIndex = fc.nat({ max: workerNames.length - 1 })
const delay = fc.oneof({ weight: 5, arbitrary: fc.integer({ min: 0, max: 5 }) }, { weight: 1, arbitrary: fc.integer({ min: 0, max: 250 }) })

const step = fc.oneof(
  { weight: 10, arbitrary: fc.record({ type: fc.constant('advance' as const), ms: fc.integer({ min: 5, max: 30 }) }) },
  { weight: 2, arbitrary: fc.record({ type: fc.constant('renew' as const), worker: workerIndex, there: delay, back: delay }) },
  { weight: 8, arbitrary: fc.record({ type: fc.constant('start' as const), worker: workerIndex, task: fc.nat({ max: 2 }), there: delay }) },
  { weight: 6, arbitrary: fc.record({ type: fc.constant('release' as const) }) },
  { weight: 3, arbitrary: fc.record({ type: fc.constant('silence' as const), worker: workerIndex, isSilent: fc.boolean() }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('elect' as const) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('restart' as const), worker: workerIndex }) }
)
type Step = typeof step extends fc.Arbitrary<infer Value> ? Value : never

/** A leader and workers whose clocks are skewed and drift, with messages that are delayed or lost. */
class LeaseModel {
  readonly ledger = new Ledger()
  readonly leases = new LeaseTable(options)
  readonly workers: readonly FakeWorkerModel[]
  private inFlight: Array<{ readonly at: number, readonly run: () => void }> = []
  /** Whether the answers of a worker are lost; delayed messages still reach it. */
  private readonly silent = [false, false, false]
  private now = 0
  private term = 1
  /** The scheduler has one visit to a worker at a time and ignores the answer to a visit that it has given up. */
  private readonly newestVisit = new Map<string, number>()

  constructor (skews: readonly number[], rates: readonly number[]) {
    this.workers = workerNames.map((name, index) => new FakeWorkerModel({
      name, rack: name, zone: 'a', capacity, clock: () => (skews[index] ?? 0) + this.now * (rates[index] ?? 1), taskMs: () => undefined, reportLagMs: 0
    }))
    this.leases.begin(0)
    this.ledger.apply({ type: 'changeEntry', changeId: 'c', by: 't', at: 0, name: entry.name, expectedVersion: 0, entry })
  }

  perform (action: Step): void {
    switch (action.type) {
      case 'advance': return this.advance(action.ms)
      case 'renew': return this.renew(action.worker, action.there, action.back)
      case 'start': return this.start(action.worker, `t${action.task}`, action.there)
      case 'release': return this.release()
      case 'silence':
        this.silent[action.worker] = action.isSilent
        return
      case 'elect':
        this.term += 1
        return this.leases.begin(this.now)
      case 'restart': return this.workers[action.worker]?.restart()
    }
  }

  check (): void {
    for (const worker of this.workers) worker.advance()
    for (const task of this.ledger.allTasks()) {
      const places = this.workers.filter(worker => worker.runs.some(run => run.taskId === task.taskId && run.endedAt === undefined))
      expect(places.length, `${task.taskId} runs on ${places.map(place => place.name).join(' and ')}`).to.be.at.most(1)
    }
  }

  private advance (ms: number): void {
    for (let count = 0; count < ms; count += 1) {
      this.now += 1
      if (this.now % visitEveryMs === 0) workerNames.forEach((_, index) => { if (this.silent[index] !== true) this.renew(index, 1, 1) })
      const due = this.inFlight.filter(message => message.at <= this.now)
      this.inFlight = this.inFlight.filter(message => message.at > this.now)
      for (const message of due) message.run()
    }
  }

  private schedule (delayMs: number, run: () => void): void {
    this.inFlight.push({ at: this.now + delayMs, run })
  }

  private renew (index: number, there: number, back: number): void {
    const name = workerNames[index] as string
    const leaseUntilMs = this.leases.grant(name)
    const term = this.term
    const visit = (this.newestVisit.get(name) ?? 0) + 1
    this.newestVisit.set(name, visit)
    this.schedule(there, () => {
      const report = this.workers[index]?.renew({ term, recorded: [], ...(leaseUntilMs === undefined ? {} : { leaseUntilMs }) })
      if (report?.ok === true && this.silent[index] !== true) this.schedule(back, () => { if (this.newestVisit.get(name) === visit) this.takeReport(name, term, report.val) })
    })
  }

  private takeReport (name: string, term: number, report: WorkerReport): void {
    if (term !== this.term) return
    this.leases.recordReport(name, report.clockMs, this.now)
    const { incarnation, rack, zone } = report
    this.ledger.apply({ type: 'registerWorker', name, incarnation, capacity, rack, zone, at: 0 })
  }

  private start (index: number, taskId: string, there: number): void {
    const name = workerNames[index] as string
    const validUntilMs = this.leases.grant(name)
    const incarnation = this.ledger.worker(name)?.incarnation
    if (validUntilMs === undefined || incarnation === undefined) return
    this.ledger.apply({ type: 'submitTask', taskId, entry: entry.name, at: 0, input: '' })
    const attempt = (this.ledger.task(taskId)?.attempt ?? 0) + 1
    if (!this.ledger.apply({ type: 'assignTask', taskId, attempt, worker: name, reservation, at: 0 }).ok) return
    const { term } = this
    this.schedule(there, () => this.workers[index]?.start(term, { taskId, attempt, entry: entry.name, reservation, input: '', validUntilMs, incarnation }))
  }

  private release (): void {
    for (const task of this.ledger.liveTasks()) {
      if (task.assignment === undefined || !this.leases.isExpired(task.assignment.worker, this.now)) continue
      this.ledger.apply({ type: 'releaseTask', taskId: task.taskId, attempt: task.attempt, reason: 'leaseExpired', at: 0 })
    }
  }
}

describe('leases', () => {
  it('do not affect by their length how soon a silent worker is given no new tasks', () => {
    for (const durationMs of [100, 200]) {
      const leases = new LeaseTable({ ...options, durationMs, heardWithinMs: 50 })
      leases.begin(0)
      leases.recordReport('w1', 0, 0)
      expect([49, 50, 99].map(now => leases.hasRecentReport('w1', now)), String(durationMs)).to.deep.equal([true, false, false])
    }
  })

  it('end at the leader no sooner than at a worker whose clock is as slow as the drift bound allows', () => {
    const leases = new LeaseTable(options)
    leases.begin(-1000)
    leases.recordReport('w1', 0, 0)
    const leaseEndMs = leases.grant('w1') ?? 0
    const heldUntil = leaseEndMs / (1 - options.maximumDrift)
    expect(leases.isExpired('w1', heldUntil)).to.equal(false)
    expect(leases.isExpired('w1', heldUntil + 1)).to.equal(true)
  })

  it('end at the leader no sooner than a further lease that a worker reports to hold', () => {
    const leases = new LeaseTable(options)
    leases.begin(-1000)
    leases.recordReport('w1', 50, 0, 250)
    const heldUntil = 200 / (1 - options.maximumDrift)
    expect(leases.isExpired('w1', heldUntil)).to.equal(false)
    leases.recordReport('w1', 150, 100)
    leases.grant('w1')
    expect(leases.isExpired('w1', heldUntil)).to.equal(false)
    expect(leases.isExpired('w1', heldUntil + 1)).to.equal(true)
  })

  it('never let a task run in two places, with skewed clocks, delayed messages, elections and restarts', () => {
    const skews = fc.array(fc.integer({ min: -10_000, max: 10_000 }), { minLength: 3, maxLength: 3 })
    const rates = fc.array(fc.double({ min: 1 - options.maximumDrift, max: 1 + options.maximumDrift, noNaN: true }), { minLength: 3, maxLength: 3 })
    let started = 0
    fc.assert(fc.property(skews, rates, fc.array(step, { minLength: 150, maxLength: 300, size: 'max' }), (skew, rate, steps) => {
      const model = new LeaseModel(skew, rate)
      for (const action of steps) {
        model.perform(action)
        model.check()
      }
      started += model.workers.reduce((sum, worker) => sum + worker.runs.length, 0)
    }), { seed: 20261203, numRuns: 400, endOnFailure: true })
    // Enough tasks must actually run, or the property would hold vacuously.
    expect(started).to.be.greaterThan(1000)
  })
})
