import { expect } from 'chai'
import { JobBook, JobScheduler } from '../..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from '../../__tests__/fixtures'

const capacity = { processors: 32, memoryMb: 100_000, accelerators: 0 }
const coldMs = 4000
const planMs = 50
const tasks = 600

function createScheduler (): JobScheduler {
  const scheduler = new JobScheduler({
    leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(new JobBook(), 0)
  return scheduler
}

describe('the warm-up of workers', () => {
  /** Zone `a` returns at 0 with cold workers while the only warm worker is full and hundreds of tasks wait; `each` gets the number of runs of each cold worker after every plan. */
  function replayReturn (each: (runs: ReadonlyMap<string, number>, now: number) => void, cold: readonly string[], reportAgainAt = -1): void {
    const scheduler = createScheduler()
    scheduler.startEvacuation('a', 0)
    scheduler.reportWorker('warm', reportOf('warm', { capacity, zone: 'b' }), 0)
    for (const worker of cold) scheduler.reportWorker(worker, reportOf(worker, { capacity, coldMs }), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: capacity.processors })]), queueOf(), 0)
    for (let now = 0; now < planMs * capacity.processors; now += planMs) scheduler.plan({ now: 0, wallClock: 0 })
    scheduler.accept(submissionOf(2, [stepOf({ count: tasks })]), queueOf(), 0)
    scheduler.endEvacuation('a', { now: 0, wallClock: 0 })
    for (let now = 0; now <= coldMs; now += planMs) {
      for (const worker of cold) {
        if (now === reportAgainAt) scheduler.reportWorker(worker, reportOf(worker, { capacity, coldMs: coldMs - now, clockMs: 5000 + now }), now)
        scheduler.look({ worker, clockMs: 5000 + now, running: [], ends: [] }, { now, wallClock: now })
      }
      scheduler.plan({ now, wallClock: now })
      const runs = new Map(cold.map(worker => [worker, 0]))
      for (const worker of workersOf(scheduler.job(jobIdOf(2)))) runs.set(worker, (runs.get(worker) ?? 0) + 1)
      each(runs, now)
    }
  }

  it('increases the runs of a returned cold zone with the share of its cold time that has passed, even if its agents report again', () => {
    replayReturn((runs, now) => {
      const most = 1 + capacity.processors * now / coldMs
      for (const count of runs.values()) expect(count, `at ${now} ms`).to.be.within(1, most)
      if (now >= coldMs / 2 && now < coldMs) for (const count of runs.values()) expect(count, `at ${now} ms`).to.be.at.least(most - 3)
    }, ['c1', 'c2', 'c3', 'c4'], coldMs / 4)
  })

  it('assigns one run per plan to a cold worker outside a ramp, and as many as fit once it is warm', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1', { coldMs: 1000 }), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 4 })]), queueOf(), 0)
    const live = [10, 20, 1001].map(now => {
      scheduler.plan({ now, wallClock: now })
      return workersOf(scheduler.job(jobIdOf(1))).length
    })
    expect(live).to.deep.equal([1, 2, 4])
  })

  it('does not limit a warm worker of a returned zone', () => {
    const scheduler = createScheduler()
    scheduler.startEvacuation('a', 0)
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 4 })]), queueOf(), 0)
    scheduler.endEvacuation('a', { now: 0, wallClock: 0 })
    scheduler.plan({ now: 0, wallClock: 0 })
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.have.length(4)
  })
})
