import { expect } from 'chai'
import type { CatalogueEntry } from '../../../core/catalogue'
import { Failure } from '../../../core/failures'
import { Ledger, type LedgerCommand, type LedgerReply } from '../../../core/ledger'
import { SpreadingPlacement } from '../../../core/placement'
import { Err, Ok, type Result } from '../../../core/results'
import { FakeWorkerModel } from '../../../fakes'
import { createLogger, DisabledMetrics } from '../../../observability'
import { waitFor } from '../../../wiring/__tests__/siteFixture'
import { WorkerPlatform, type AttemptId, type LeaseRenewal, type TaskOrder, type WorkerReport } from '../../../workers'
import { SchedulerTask } from '../schedulerTask'

const capacity = { processors: 4, memoryMb: 4, accelerators: 0 }
const reservation = { processors: 4, memoryMb: 4, accelerators: 0 }
const entry: CatalogueEntry = {
  name: 'pairings', organisation: 'cartago', workClass: 'batch', urgent: false, cell: 'main', limits: { ...reservation, concurrency: 1, queue: 0, deadlineMs: 1, instances: 0 }
}
const names = ['a', 'b'] as const
type Name = typeof names[number]

/** In-process workers. Requests and answers of visits can be held back, and starts can be delayed. */
class LocalPlatform extends WorkerPlatform {
  readonly orders: string[] = []
  readonly visits: Record<Name, number> = { a: 0, b: 0 }
  /** Promises that delay the requests or answers of a worker's visits until they resolve, by worker. */
  readonly heldRequests = new Map<string, Promise<void>>()
  readonly heldAnswers = new Map<string, Promise<void>>()
  /** Starts that were reported as failed but are still in transit; undefined while starts arrive immediately. */
  lateStarts: Array<() => void> | undefined

  constructor (readonly workers: Readonly<Record<Name, FakeWorkerModel>>) {
    super()
  }

  override async renew (worker: string, renewal: LeaseRenewal): Promise<Result<WorkerReport, Failure>> {
    this.visits[worker as Name] += 1
    await this.heldRequests.get(worker)
    const answer = this.workers[worker as Name].renew(renewal)
    await this.heldAnswers.get(worker)
    return answer
  }

  override async start (worker: string, term: number, order: TaskOrder): Promise<Result<void, Failure>> {
    this.orders.push(`start ${order.taskId}/${order.attempt} at ${worker}`)
    const arrive = (): Result<void, Failure> => this.workers[worker as Name].start(term, order)
    if (this.lateStarts === undefined) return arrive()
    this.lateStarts.push(arrive)
    return Err(new Failure('transport/broken'))
  }

  override async evict (worker: string, term: number, name: AttemptId): Promise<Result<void, Failure>> {
    this.orders.push(`evict ${name.taskId}/${name.attempt} at ${worker}`)
    return this.workers[worker as Name].evict(term, name)
  }

  override async stop (worker: string, term: number, name: AttemptId): Promise<Result<void, Failure>> {
    this.orders.push(`stop ${name.taskId}/${name.attempt} at ${worker}`)
    return this.workers[worker as Name].stop(term, name)
  }

  override async throttle (): Promise<Result<void, Failure>> {
    return Ok(undefined)
  }
}

describe('SchedulerTask', () => {
  let ledger: Ledger
  let platform: LocalPlatform
  let scheduler: SchedulerTask
  let clock: number
  /** Commands that are not committed yet, in log order. */
  let log: Array<{ readonly command: LedgerCommand, readonly reply: (outcome: Result<LedgerReply, Failure>) => void }>
  let isHeld: (command: LedgerCommand) => boolean
  let proposed: LedgerCommand[]

  beforeEach(() => {
    ledger = new Ledger()
    clock = 1000
    log = []
    proposed = []
    isHeld = () => false
    const worker = (name: Name): FakeWorkerModel => new FakeWorkerModel({
      name, rack: name, zone: 'zone', capacity, clock: () => clock, taskMs: () => undefined, reportLagMs: 0
    })
    platform = new LocalPlatform({ a: worker('a'), b: worker('b') })
    ledger.apply({ type: 'changeEntry', changeId: 'c', by: 't', at: 0, name: entry.name, expectedVersion: 0, entry })
    scheduler = new SchedulerTask({
      ledger,
      platform,
      workerNames: names,
      propose: async command => await propose(command),
      planner: { maximumAssignments: 10, agingMs: 1000, sampleSize: 64 },
      placement: new SpreadingPlacement(),
      interferenceWeight: 1,
      colocation: { model: { step: 0.2, priorSamples: 3 }, throttle: { above: 10, below: 5, patience: 3, factor: 0.5, lowestShare: 0.2 }, historyMs: 1000 },
      evictionBurst: 0,
      evictionsPerMinute: 0,
      leases: { durationMs: 1000, maximumDrift: 0.05, formerLeaderMs: 100 },
      health: { quarantineAfter: 3, quarantineMs: 1000, maximumQuarantineMs: 1000 },
      renewMs: 2,
      random: () => 0.5,
      now: () => clock,
      wallClock: () => clock,
      logger: createLogger({ level: 'error', write: () => {} }),
      metrics: new DisabledMetrics()
    })
  })

  afterEach(() => scheduler.stop())

  async function propose (command: LedgerCommand): Promise<Result<LedgerReply, Failure>> {
    proposed.push(command)
    return await new Promise(resolve => {
      log.push({ command, reply: resolve })
      if (!isHeld(command)) commit()
    })
  }

  /** Applies all commands in the log as one batch and answers them afterwards, as a replica does. */
  function commit (): void {
    const batch = log
    log = []
    const outcomes = batch.map(({ command }) => ledger.apply(command))
    scheduler.wake()
    batch.forEach(({ reply }, index) => reply(outcomes[index] as Result<LedgerReply, Failure>))
  }

  function running (taskId: string): readonly string[] {
    return names.flatMap(name => platform.workers[name].runs.filter(run => run.taskId === taskId && run.endedAt === undefined).map(run => `${run.attempt} at ${name}`))
  }

  function register (name: Name, incarnation: string): LedgerCommand {
    return { type: 'registerWorker', name, incarnation, capacity, rack: name, zone: 'zone', at: 0 }
  }

  function incarnationOf (name: Name, term = 0): string {
    return platform.workers[name].renew({ term, recorded: [] }).unwrap().incarnation
  }

  /** Holds back messages of a worker's visits until the returned function is called. */
  function holdMessages (messages: Map<string, Promise<void>>, name: Name): () => void {
    let release = (): void => {}
    messages.set(name, new Promise(resolve => { release = resolve }))
    return () => {
      messages.delete(name)
      release()
    }
  }

  function submit (taskId: string): void {
    ledger.apply({ type: 'submitTask', taskId, entry: entry.name, at: 0, input: '' })
  }

  async function waitForVisits (name: Name, times: number): Promise<void> {
    const until = platform.visits[name] + times
    await waitFor(() => platform.visits[name] >= until)
  }

  it('does not stop a run whose assignment was committed by the former leader but is not applied here yet', async () => {
    const incarnation = incarnationOf('a')
    ledger.apply(register('a', incarnation))
    submit('t')
    const assignment: LedgerCommand = { type: 'assignTask', taskId: 't', attempt: 1, worker: 'a', reservation, at: 0 }
    const worker = platform.workers.a
    worker.renew({ term: 1, recorded: [], leaseUntilMs: clock + 1000 })
    worker.start(1, { taskId: 't', attempt: 1, entry: entry.name, reservation, input: '', validUntilMs: clock + 1000, incarnation })
    log.push({ command: assignment, reply: () => {} })
    isHeld = () => true
    scheduler.lead(2)
    // A faulty scheduler sends a command to the worker before it knows the log; a correct one first commits an entry of its own.
    await waitFor(() => platform.orders.length > 0 || proposed.some(command => command.type === 'noOperation'))
    isHeld = () => false
    commit()
    await waitForVisits('a', 3)
    expect(running('t')).to.deep.equal(['1 at a'])
    expect(platform.orders.filter(order => order.startsWith('stop'))).to.deep.equal([])
  })
  it('does not start an attempt whose worker restarted before the assignment was answered', async () => {
    const former = incarnationOf('a')
    platform.workers.b.renew({ term: 100, recorded: [] })
    scheduler.lead(1)
    await waitFor(() => ledger.worker('a') !== undefined)
    const releaseRequests = holdMessages(platform.heldRequests, 'a')
    await waitForVisits('a', 1)
    isHeld = command => command.type === 'assignTask' || command.type === 'registerWorker'
    submit('t')
    scheduler.wake()
    await waitFor(() => proposed.some(command => command.type === 'assignTask'))
    platform.workers.a.restart()
    releaseRequests()
    await waitFor(() => proposed.some(command => command.type === 'registerWorker' && command.incarnation !== former))
    isHeld = () => false
    // The assignment and the restart are committed together.
    commit()
    await waitFor(() => running('t').some(run => run.startsWith('2')))
    expect(platform.workers.a.runs.map(run => run.attempt)).to.not.include(1)
  })

  for (const isBusy of [false, true]) {
    it(`ignores the report of a visit that began in a former leadership${isBusy ? ' while a round of that leadership is still waiting' : ''}`, async () => {
      const former = incarnationOf('a')
      ledger.apply(register('a', former))
      ledger.apply({ type: 'cordonWorker', name: 'a', cordoned: true })
      const answer = holdMessages(platform.heldAnswers, 'a')
      scheduler.lead(1)
      await waitForVisits('a', 1)
      await waitFor(() => ledger.worker('b') !== undefined)
      if (isBusy) {
        isHeld = command => command.type === 'assignTask'
        submit('other')
        scheduler.wake()
        await waitFor(() => log.length === 1)
      }
      scheduler.follow()
      // Another leader registers the restarted worker and starts a task on it; then this replica leads again.
      platform.workers.a.restart()
      const incarnation = incarnationOf('a', 2)
      ledger.apply(register('a', incarnation))
      submit('t')
      ledger.apply({ type: 'assignTask', taskId: 't', attempt: 1, worker: 'a', reservation, at: 0 })
      platform.workers.a.renew({ term: 2, recorded: [], leaseUntilMs: clock + 1000 })
      platform.workers.a.start(2, { taskId: 't', attempt: 1, entry: entry.name, reservation, input: '', validUntilMs: clock + 1000, incarnation })
      scheduler.lead(3)
      if (!isBusy) await waitForVisits('b', 2)
      answer()
      // Lets the report be handled before the round ends.
      await new Promise(resolve => setTimeout(resolve, 20))
      isHeld = () => false
      for (const { reply } of log.splice(0)) reply(Err(new Failure('control/not-leader')))
      await waitForVisits('a', 3)
      expect(proposed.filter(command => command.type === 'registerWorker' && command.incarnation === former)).to.deep.equal([])
      expect(running('t')).to.deep.equal(['1 at a'])
    })
  }

  it('does not start an attempt whose release is proposed but not committed', async () => {
    ledger.apply(register('a', incarnationOf('a')))
    submit('t')
    ledger.apply({ type: 'assignTask', taskId: 't', attempt: 1, worker: 'a', reservation, at: 0 })
    // The next attempt goes to the other worker.
    ledger.apply({ type: 'cordonWorker', name: 'a', cordoned: true })
    const releaseRequests = holdMessages(platform.heldRequests, 'a')
    isHeld = command => command.type === 'releaseTask'
    scheduler.lead(1)
    await waitForVisits('a', 1)
    clock += 10_000
    await waitFor(() => proposed.some(command => command.type === 'releaseTask'))
    const late = platform.lateStarts = [] as Array<() => void>
    releaseRequests()
    // There is no signal for a report that was handled without a command, so the test waits for a few turns of the event loop.
    await new Promise(resolve => setTimeout(resolve, 20))
    platform.lateStarts = undefined
    isHeld = () => false
    commit()
    await waitFor(() => running('t').includes('2 at b'))
    // The worker gets a new lease before the start arrives.
    await waitForVisits('a', 3)
    for (const arrive of late) arrive()
    expect(platform.workers.a.runs.filter(run => run.taskId === 't').map(run => run.attempt)).to.not.include(1)
  })

  it('runs a task again that its worker ended at the end of the lease, although the leader does not consider the lease expired yet', async () => {
    submit('t')
    scheduler.lead(1)
    await waitFor(() => running('t').length === 1)
    const name = running('t')[0]?.slice(-1) as Name
    await waitForVisits(name, 2)
    const releaseRequests = holdMessages(platform.heldRequests, name)
    await waitForVisits(name, 1)
    // Longer than the lease, but shorter than the lease plus the margin for clock drift.
    clock += 1020
    releaseRequests()
    await waitForVisits(name, 2)
    await waitFor(() => running('t').some(run => run.startsWith('2')))
    expect(platform.orders.filter(order => order.startsWith('stop'))).to.deep.equal([])
  })
})
