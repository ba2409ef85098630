import { expect } from 'chai'
import { JobBook, JobScheduler, nameTask, type JobTask, type RunEnd, type Step } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from './fixtures'

/** How long a long-running task may wait with room for it, in milliseconds: the platform's 6 s less detection, election and start. */
const maximumWaitMs = 3500

/** A scheduler with workers of one VM each, whose decisions are committed at once. */
class Fleet {
  readonly committed = new JobBook()
  readonly scheduler = new JobScheduler({
    leases: { durationMs: 60_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })

  now = 0
  private sequence = 0
  /** When runs were first seen in the ledger, by their tasks and numbers. */
  private readonly liveSince = new Map<string, number>()

  constructor () { this.scheduler.begin(this.committed, 0) }

  report (worker: string, changes: Parameters<typeof reportOf>[1] = {}): void {
    this.scheduler.reportWorker(`agent-${worker}`, reportOf(worker, { clockMs: 5000 + this.now, ...changes }), this.now)
  }

  accept (job: number, step: Partial<Step>): void { this.scheduler.accept(submissionOf(job, [stepOf(step)]), queueOf({ maximumAttempts: 9 }), this.now) }

  /** Plans until the time has passed. */
  plan (forMs = 100): void {
    for (const endAt = this.now + forMs; this.now < endAt;) {
      this.now += 100
      this.scheduler.plan({ now: this.now, wallClock: this.now })
      for (const operation of this.scheduler.takeOperations()) this.committed.apply(operation)
    }
  }

  /** The workers of a job. */
  workersOf (job: number): readonly string[] { return workersOf(this.committed.job(jobIdOf(job))) }

  /** Lists the runs of a worker that were assigned 500 ms ago or earlier as at work, the others as starting. */
  listAtWork (worker: string): void {
    const running = [...this.committed.liveOn(worker)].map(([task, { run }]) => {
      const since = this.liveSince.get(`${task} ${run}`) ?? this.now
      this.liveSince.set(`${task} ${run}`, since)
      return { task, run, checkpoint: '', percent: this.now - since >= 500 ? 100 : 0 }
    })
    this.scheduler.look({ worker, clockMs: 5000 + this.now, running, ends: [] }, { now: this.now, wallClock: this.now })
  }

  /** Ends the first runs of a worker, all if no number is given. */
  end (worker: string, end: RunEnd, count = Number.POSITIVE_INFINITY): void {
    const ends = [...this.committed.liveOn(worker).values()].slice(0, count).map((task: JobTask) => ({ task: nameTask(task), run: task.run, end, checkpoint: '', sequence: ++this.sequence }))
    this.scheduler.look({ worker, clockMs: 5000 + this.now, running: [], ends }, { now: this.now, wallClock: this.now })
  }
}

describe('a long-running task that waits while caution speaks against each worker with room', () => {
  it('starts on a worker that is held for larger tasks of another step', () => {
    const fleet = new Fleet()
    for (const worker of ['w1', 'w2']) fleet.report(worker)
    // Nobody obeys the stops of these.
    fleet.accept(1, { count: 2, processors: 2, maximumPerWorker: 1 })
    fleet.plan()
    fleet.accept(2, { count: 2, processors: 4, isLongRunning: true })
    fleet.plan()
    fleet.accept(3, { isLongRunning: true })
    fleet.plan(maximumWaitMs)
    expect(fleet.workersOf(3)).to.have.length(1)
  })

  it('leaves a worker to the larger task for which running ones are being stopped there', () => {
    const fleet = new Fleet()
    fleet.report('w1')
    fleet.accept(1, { count: 1, processors: 2 })
    fleet.plan()
    fleet.accept(2, { processors: 4, isLongRunning: true })
    fleet.accept(3, { isLongRunning: true })
    // Tasks without checkpoints are stopped after 2.5 s, and a stop takes up to 0.9 s.
    fleet.plan(3400)
    fleet.end('w1', 'stopped')
    fleet.plan()
    expect(fleet.workersOf(2)).to.deep.equal(['w1'])
  })

  it('leaves a worker to the older task for which room is made there, also if its own job has begun', () => {
    const fleet = new Fleet()
    for (const worker of ['w1', 'w2']) fleet.report(worker)
    fleet.accept(1, { count: 8 })
    fleet.plan()
    fleet.accept(2, { processors: 4, isLongRunning: true })
    fleet.plan()
    fleet.accept(3, { count: 2, isLongRunning: true })
    fleet.plan(2600)
    for (let stopped = 0; stopped < 4; stopped += 1) {
      for (const worker of ['w1', 'w2']) fleet.end(worker, 'stopped', 1)
      fleet.plan()
    }
    expect(fleet.workersOf(2)).to.have.length(1)
  })

  it('starts on a worker on probation whose trial is a batch task that lasts long', () => {
    const fleet = new Fleet()
    fleet.report('w1')
    fleet.accept(1, { count: 3, estimateMs: 60_000 })
    fleet.plan()
    fleet.end('w1', 'failed')
    fleet.plan(3200)
    expect(fleet.workersOf(1)).to.deep.equal(['w1'])
    fleet.accept(2, { isLongRunning: true })
    fleet.plan(maximumWaitMs)
    expect(fleet.workersOf(2)).to.deep.equal(['w1'])
  })

  it('starts on a quarantined worker that still has a trial, which is a batch task that lasts long', () => {
    const fleet = new Fleet()
    fleet.report('w1')
    fleet.accept(1, { count: 3, estimateMs: 60_000, processors: 0 })
    fleet.accept(2, { count: 1, isLongRunning: true })
    fleet.plan()
    const [lasting] = [...fleet.committed.liveOn('w1').values()].filter(task => task.jobId === jobIdOf(2))
    const batch = [...fleet.committed.liveOn('w1').values()].filter(task => task.jobId === jobIdOf(1))
    const endOf = (task: JobTask, sequence: number) => ({ task: nameTask(task), run: task.run, end: 'failed' as RunEnd, checkpoint: '', sequence })
    fleet.scheduler.look({ worker: 'w1', clockMs: 5200, running: [], ends: batch.map((task, position) => endOf(task, position + 1)) }, { now: fleet.now, wallClock: fleet.now })
    fleet.plan(3200)
    expect(fleet.workersOf(1)).to.deep.equal(['w1'])
    if (lasting === undefined) throw new Error('the long-running task does not run')
    fleet.scheduler.look({ worker: 'w1', clockMs: 8500, running: [], ends: [endOf(lasting, 4)] }, { now: fleet.now, wallClock: fleet.now })
    fleet.plan(maximumWaitMs)
    expect(fleet.workersOf(2)).to.deep.equal(['w1'])
  })

  it('starts on a cold worker of a zone whose evacuation has ended, whatever load it has', () => {
    const fleet = new Fleet()
    fleet.scheduler.startEvacuation('a', 0)
    fleet.plan()
    fleet.scheduler.endEvacuation('a', { now: fleet.now, wallClock: fleet.now })
    fleet.report('w1', { coldMs: 20_000 })
    fleet.accept(1, { processors: 2 })
    fleet.plan()
    expect(fleet.workersOf(1)).to.deep.equal(['w1'])
    fleet.accept(2, { isLongRunning: true })
    fleet.plan(maximumWaitMs)
    expect(fleet.workersOf(2)).to.deep.equal(['w1'])
  })

  it('starts within 3 s once a quarantined worker is healthy again, beside another one and right after a failed trial', () => {
    const fleet = new Fleet()
    fleet.report('w1')
    fleet.accept(1, { count: 3, isLongRunning: true })
    fleet.plan(200)
    fleet.end('w1', 'failed')
    fleet.plan(1600)
    expect(fleet.workersOf(1)).to.deep.equal(['w1'])
    fleet.end('w1', 'failed')
    for (const endAt = fleet.now + 3000; fleet.now < endAt;) {
      fleet.plan()
      fleet.listAtWork('w1')
    }
    expect(fleet.workersOf(1)).to.deep.equal(['w1', 'w1', 'w1'])
  })
})
