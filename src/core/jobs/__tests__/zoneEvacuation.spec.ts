import { expect } from 'chai'
import { JobBook, JobScheduler, type RunEnd } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from './fixtures'

function createScheduler (...evacuated: readonly string[]): JobScheduler {
  const committed = new JobBook()
  for (const zone of evacuated) committed.apply({ type: 'startEvacuation', zone, at: 0 })
  const scheduler = new JobScheduler({
    leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(committed, 0)
  return scheduler
}

function at (now: number): { readonly now: number, readonly wallClock: number } {
  return { now, wallClock: now }
}

describe('the job scheduler with an evacuated zone', () => {
  it('starts nothing there, leaves running tasks alone, and starts tasks there again as soon as the evacuation ends', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1), queueOf(), 0)
    scheduler.plan(at(10))
    expect(scheduler.startEvacuation('a', 20)).to.equal(true)
    scheduler.accept(submissionOf(2), queueOf(), 20)
    scheduler.plan(at(20))
    scheduler.review(at(20))
    expect([1, 2].map(number => workersOf(scheduler.job(jobIdOf(number))))).to.deep.equal([['w1'], []])
    expect(scheduler.takeStops()).to.deep.equal([])
    scheduler.endEvacuation('a', at(30))
    scheduler.plan(at(30))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.deep.equal(['w1'])
  })

  it('keeps the zone evacuated, as a new leader that finds the evacuation in the committed book', () => {
    const scheduler = createScheduler('a')
    scheduler.reportWorker('agent-1', reportOf('w1'), 0)
    scheduler.reportWorker('agent-2', reportOf('w2', { zone: 'b' }), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 8 })]), queueOf(), 0)
    scheduler.plan(at(10))
    expect(new Set(workersOf(scheduler.job(jobIdOf(1))))).to.deep.equal(new Set(['w2']))
    expect(scheduler.describeLoad(at(10)).workers.map(({ worker }) => worker)).to.deep.equal(['w2'])
  })

  it('stops nothing there to make room for a long-running task', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ isFilling: true, isCheckpointed: true, memoryMb: 9000 })]), queueOf(), 0)
    scheduler.plan(at(10))
    scheduler.startEvacuation('a', 20)
    scheduler.accept(submissionOf(2, [stepOf({ isLongRunning: true, memoryMb: 9000 })]), queueOf(), 20)
    for (const now of [20, 3000]) {
      scheduler.reportWorker('agent', reportOf('w1', { clockMs: 5000 + now }), now)
      scheduler.plan(at(now))
    }
    expect(scheduler.takeStops()).to.deep.equal([])
  })

  it('probes no quarantined worker there', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('bad'), 0)
    for (const number of [2, 3, 4]) scheduler.accept(submissionOf(number), queueOf({ maximumAttempts: 1 }), 0)
    scheduler.plan(at(10))
    const ends = [2, 3, 4].map(number => ({ sequence: number, task: `${jobIdOf(number)}.0.0.0`, run: 1, end: 'failed' as RunEnd, checkpoint: '' }))
    scheduler.look({ worker: 'bad', clockMs: 5100, running: [], ends }, at(100))
    scheduler.startEvacuation('a', 100)
    scheduler.accept(submissionOf(5, [stepOf({ isLongRunning: true })]), queueOf(), 100)
    for (const now of [100, 1600]) {
      scheduler.look({ worker: 'bad', clockMs: 5000 + now, running: [], ends: [] }, at(now))
      scheduler.plan(at(now))
    }
    expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal([])
  })

  it('does not count its free processors when it determines whether a pool is lightly reserved', () => {
    const scheduler = createScheduler('a')
    scheduler.reportWorker('agent-1', reportOf('w1', { capacity: { processors: 64, memoryMb: 10_000, accelerators: 0 } }), 0)
    scheduler.reportWorker('agent-2', reportOf('w2', { zone: 'b' }), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 3, isLongRunning: true })]), queueOf(), 0)
    scheduler.plan(at(10))
    for (const number of [2, 3]) scheduler.accept(submissionOf(number, [stepOf({ processors: 4, isFilling: true })]), queueOf(), 10)
    for (const now of [20, 1600]) {
      scheduler.reportWorker('agent-2', reportOf('w2', { zone: 'b', clockMs: 5000 + now }), now)
      scheduler.plan(at(now))
    }
    expect([2, 3].map(number => workersOf(scheduler.job(jobIdOf(number))))).to.deep.equal([['w2'], []])
  })

  it('distinguishes a job that only workers in evacuated zones could run from one that no worker could run', () => {
    const scheduler = createScheduler('a')
    scheduler.reportWorker('agent-1', reportOf('w1', { capacity: { processors: 64, memoryMb: 10_000, accelerators: 0 } }), 0)
    scheduler.reportWorker('agent-2', reportOf('w2', { zone: 'b' }), 0)
    const findings = (processors: number): readonly boolean[] => {
      const submission = submissionOf(1, [stepOf(), stepOf({ processors })])
      return [scheduler.isHopeless(submission, queueOf()), scheduler.needsEvacuatedZone(submission, queueOf())]
    }
    expect([4, 64, 65].map(findings)).to.deep.equal([[false, false], [true, true], [true, false]])
    scheduler.startEvacuation('b', 10)
    expect(findings(4), 'with all zones evacuated').to.deep.equal([true, true])
    scheduler.endEvacuation('a', at(20))
    expect(findings(64)).to.deep.equal([false, false])
  })
})
