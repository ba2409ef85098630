import { expect } from 'chai'
import { JobBook, JobScheduler } from '../../core/jobs'
import { jobIdOf, queueOf, reportOf, submissionOf, workersOf } from '../../core/jobs/__tests__/fixtures'
import { leaseOptionsOf } from '../nodeLeases'
import { settingsOf } from './leaseFixture'

const leaseMs = 10_000
const drift = 0.02
const task = `${jobIdOf(1)}.0.0.0`

function at (now: number): { readonly now: number, readonly wallClock: number } {
  return { now, wallClock: now }
}

function createScheduler (committed = new JobBook()): JobScheduler {
  const scheduler = new JobScheduler({
    leases: leaseOptionsOf(settingsOf(leaseMs, true), 1000),
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(committed, 0)
  return scheduler
}

/** The first job runs at w1, whose agent is disconnected at 20,000 ms, long after the election. */
function createSchedulerWithLostWorker (): JobScheduler {
  const scheduler = createScheduler()
  scheduler.reportWorker('agent', reportOf('w1', { clockMs: 19_900 }), 19_900)
  scheduler.accept(submissionOf(1), queueOf(), 19_900)
  scheduler.plan(at(19_900))
  scheduler.look({ worker: 'w1', clockMs: 20_000, running: [{ task, run: 1, checkpoint: '', percent: 10 }], ends: [] }, at(20_000))
  scheduler.grantLease('w1')
  scheduler.workerLost('w1', true)
  return scheduler
}

/** Reviews and plans after a report of w2, which stays connected. */
function planWithSecondWorker (scheduler: JobScheduler, now: number): void {
  scheduler.reportWorker('other', reportOf('w2', { clockMs: now }), now)
  scheduler.review(at(now))
  scheduler.plan(at(now))
}

describe('the job scheduler with leases as long as workers allow, 10 s', () => {
  it('does not move the runs of a worker that is disconnected for 8 s, and counts those that ended meanwhile', () => {
    const scheduler = createSchedulerWithLostWorker()
    for (let now = 20_100; now < 28_000; now += 500) planWithSecondWorker(scheduler, now)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
    scheduler.reportWorker('agent', reportOf('w1', { clockMs: 28_000 }), 28_000)
    scheduler.look({ worker: 'w1', clockMs: 28_000, running: [], ends: [{ sequence: 1, task, run: 1, end: 'done', checkpoint: '' }] }, at(28_000))
    expect([scheduler.job(jobIdOf(1))?.state, scheduler.takeStops()]).to.deep.equal(['complete', []])
  })

  it('starts no further runs at a worker that has been silent for 2.5 s, even if its stream is open', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1', { clockMs: 20_000 }), 20_000)
    scheduler.grantLease('w1')
    scheduler.accept(submissionOf(1), queueOf(), 22_500)
    scheduler.plan(at(22_500))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal([])
  })

  it('starts the runs of a lost worker elsewhere as soon as its next boot reports', () => {
    const scheduler = createSchedulerWithLostWorker()
    planWithSecondWorker(scheduler, 21_000)
    scheduler.reportWorker('agent', reportOf('w1-2', { bornMs: 2, isDraining: true, clockMs: 100 }), 21_100)
    planWithSecondWorker(scheduler, 21_100)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w2'])
  })

  it('starts the runs of a lost worker elsewhere as soon as its agent reports that the boot has ended', () => {
    const scheduler = createSchedulerWithLostWorker()
    planWithSecondWorker(scheduler, 21_000)
    scheduler.workerEnded('w1', 21_100)
    planWithSecondWorker(scheduler, 21_100)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w2'])
  })

  it('starts the runs of a lost worker without any report elsewhere only when its lease has certainly expired', () => {
    const scheduler = createSchedulerWithLostWorker()
    const leaseExpiresAt = 20_000 + leaseMs / (1 - drift)
    planWithSecondWorker(scheduler, leaseExpiresAt - 1)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
    planWithSecondWorker(scheduler, leaseExpiresAt + 1)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w2'])
  })

  it('waits, as a new leader, until leases of 10 s that a former leader may have granted have expired', () => {
    const book = new JobBook()
    book.apply({ type: 'acceptJob', submission: submissionOf(1), queue: queueOf(), at: 0 })
    book.apply({ type: 'assignRun', task, run: 1, worker: 'w1' })
    const scheduler = createScheduler(book)
    const leaseExpiresAt = 1000 + leaseMs / (1 - drift)
    planWithSecondWorker(scheduler, leaseExpiresAt - 1)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
    planWithSecondWorker(scheduler, leaseExpiresAt + 1)
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w2'])
  })
})
