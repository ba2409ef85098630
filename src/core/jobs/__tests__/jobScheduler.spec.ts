import { expect } from 'chai'
import { JobBook, JobScheduler, standingOf, type JobOperation, type RunningTask } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from './fixtures'

const leaseMs = 5000
const drift = 0.02
const formerLeaderMs = 1000

function createScheduler (committed = new JobBook()): JobScheduler {
  const scheduler = new JobScheduler({
    leases: { durationMs: leaseMs, maximumDrift: drift, formerLeaderMs },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(committed, 0)
  return scheduler
}

function at (now: number): { readonly now: number, readonly wallClock: number } {
  return { now, wallClock: now }
}

const task = `${jobIdOf(1)}.0.0.0`

/** A book of a former leader in which the first job runs on a worker. */
function bookOfFormerLeader (worker: string): JobBook {
  const book = new JobBook()
  const operations: readonly JobOperation[] = [
    { type: 'acceptJob', submission: submissionOf(1), queue: queueOf(), at: 0 },
    { type: 'assignRun', task, run: 1, worker }
  ]
  for (const operation of operations) book.apply(operation)
  return book
}

describe('the job scheduler', () => {
  it('never assigns more to a worker than its capacity, including runs that are being stopped', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 6 })]), queueOf(), 0)
    scheduler.plan(at(10))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.have.length(4)
    scheduler.cancel(jobIdOf(1), 20)
    scheduler.accept(submissionOf(2), queueOf(), 20)
    scheduler.plan(at(20))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.deep.equal([])
  })

  it('adds nothing to a worker whose capacity has shrunk below its reservations, and uses capacity that has grown again at once', () => {
    const scheduler = createScheduler()
    const usual = reportOf('w1').capacity
    const live = (): number => [1, 2].reduce((sum, job) => sum + workersOf(scheduler.job(jobIdOf(job))).length, 0)
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 3 })]), queueOf(), 0)
    scheduler.plan(at(10))
    scheduler.accept(submissionOf(2, [stepOf({ count: 4 })]), queueOf(), 20)
    scheduler.reportWorker('agent', reportOf('w1', { capacity: { ...usual, processors: 2 }, clockMs: 5020 }), 20)
    scheduler.plan(at(20))
    expect(live()).to.equal(3)
    scheduler.look({ worker: 'w1', clockMs: 5030, running: [], ends: [{ sequence: 1, task, run: 1, end: 'done', checkpoint: '' }] }, at(30))
    scheduler.plan(at(30))
    expect(live()).to.equal(2)
    scheduler.reportWorker('agent', reportOf('w1', { capacity: usual, clockMs: 5040 }), 40)
    scheduler.plan(at(40))
    expect(live()).to.equal(4)
  })

  it('restarts a task only after the lease of its silent worker has certainly expired', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('silent', reportOf('w1'), 0)
    scheduler.grantLease('w1')
    scheduler.accept(submissionOf(1), queueOf(), 0)
    scheduler.plan(at(10))
    scheduler.workerLost('w1', true)
    const surelyEnded = formerLeaderMs + leaseMs / (1 - drift)
    scheduler.reportWorker('other', reportOf('w2'), surelyEnded - 50)
    scheduler.plan(at(surelyEnded - 1))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
    scheduler.plan(at(surelyEnded + 1))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w2'])
  })

  it('waits, as a new leader, for the expiry of leases that former leaders may have granted', () => {
    const scheduler = createScheduler(bookOfFormerLeader('w1'))
    scheduler.reportWorker('other', reportOf('w2'), 4000)
    scheduler.plan(at(4000))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
  })

  it('restarts the tasks of a restarted worker at once, and rejects further reports of its former boot', () => {
    const scheduler = createScheduler(bookOfFormerLeader('w1@1'))
    scheduler.reportWorker('agent', reportOf('w1@1', { bornMs: 1 }), 0)
    scheduler.reportWorker('agent', reportOf('w1@2', { bornMs: 2 }), 10)
    scheduler.plan(at(20))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1@2'])
    expect(scheduler.reportWorker('agent', reportOf('w1@1', { bornMs: 1 }), 30)).to.equal(false)
  })

  it('restarts tasks that a former leader assigned at once when their VM has a later boot, whatever its worker id', () => {
    const scheduler = createScheduler(bookOfFormerLeader('agent/w1@1'))
    scheduler.reportWorker('agent', reportOf('agent/w7@2', { bornMs: 2 }), 0)
    scheduler.plan(at(10))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['agent/w7@2'])
  })

  it('restarts the tasks of a worker at once when the next boot of its VM was born earlier by a clock that was set back', () => {
    for (const knownBoots of [['agent/w1@9'], []]) {
      const scheduler = createScheduler(bookOfFormerLeader('agent/w1@9'))
      for (const worker of knownBoots) scheduler.reportWorker('agent', reportOf(worker, { bornMs: 9 }), 0)
      expect(scheduler.reportWorker('agent', reportOf('agent/w2@5', { bornMs: 5 }), 10)).to.equal(true)
      scheduler.plan(at(20))
      expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['agent/w2@5'])
    }
  })

  it('records that a job has begun once a worker lists a run of it, not when the run is assigned', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1), queueOf(), 0)
    scheduler.plan(at(10))
    scheduler.recordBeginnings()
    expect(scheduler.takeOperations().map(({ type }) => type)).to.deep.equal(['acceptJob', 'assignRun'])
    const running = { task, run: 1, checkpoint: '', percent: 0 }
    scheduler.look({ worker: 'w1', clockMs: 5020, running: [running, { ...running, task: `${jobIdOf(9)}.0.0.0` }], ends: [] }, at(20))
    scheduler.recordBeginnings()
    scheduler.look({ worker: 'w1', clockMs: 5030, running: [running], ends: [] }, at(30))
    scheduler.recordBeginnings()
    expect(scheduler.takeOperations()).to.deep.equal([{ type: 'beginJobs', jobIds: [jobIdOf(1)] }])
  })

  it('assigns nothing to a draining worker', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1', { isDraining: true, remainingMs: 3000 }), 0)
    scheduler.accept(submissionOf(1), queueOf(), 0)
    scheduler.plan(at(10))
    expect(scheduler.job(jobIdOf(1))?.state).to.equal('queued')
  })

  it('quarantines a worker on which every run fails, so that a single faulty worker does not fail a job', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('bad', reportOf('bad', { capacity: { processors: 64, memoryMb: 100_000, accelerators: 0 } }), 0)
    for (let number = 1; number <= 3; number += 1) scheduler.accept(submissionOf(number), queueOf(), 0)
    scheduler.plan(at(10))
    const ends = [1, 2, 3].map(number => ({ sequence: number, task: `${jobIdOf(number)}.0.0.0`, run: 1, end: 'failed' as const, checkpoint: '' }))
    scheduler.look({ worker: 'bad', clockMs: 5100, running: [], ends }, at(100))
    scheduler.plan(at(110))
    for (const number of [1, 2, 3]) expect(workersOf(scheduler.job(jobIdOf(number)))).to.deep.equal([])
  })

  describe('with a worker that was quarantined while a long-running task was working there', () => {
    const lasting = `${jobIdOf(1)}.0.0.0`
    const runningAtFullSpeed = (task: string) => ({ task, run: 1, checkpoint: '', percent: 100, tailLatencyMs: 0, usedProcessors: 0 })

    /**
     * The long-running task of job 1 keeps working, and the tasks of jobs 2 to 4 fail at 100 ms, which quarantines the worker.
     * Job 5 has two long-running tasks that wait until the end of the quarantine.
     */
    function createSchedulerWithProbe (): JobScheduler {
      const scheduler = createScheduler()
      scheduler.reportWorker('agent', reportOf('w1', { capacity: { processors: 64, memoryMb: 100_000, accelerators: 0 } }), 0)
      scheduler.accept(submissionOf(1, [stepOf({ isLongRunning: true })]), queueOf(), 0)
      for (const number of [2, 3, 4]) scheduler.accept(submissionOf(number), queueOf({ maximumAttempts: 1 }), 0)
      scheduler.plan(at(10))
      const ends = [2, 3, 4].map(number => ({ sequence: number, task: `${jobIdOf(number)}.0.0.0`, run: 1, end: 'failed' as const, checkpoint: '' }))
      scheduler.look({ worker: 'w1', clockMs: 5100, running: [runningAtFullSpeed(lasting)], ends }, at(100))
      scheduler.accept(submissionOf(5, [stepOf({ isLongRunning: true, count: 2 })]), queueOf(), 200)
      scheduler.look({ worker: 'w1', clockMs: 8000, running: [runningAtFullSpeed(lasting)], ends: [] }, at(3000))
      scheduler.plan(at(3000))
      expect(workersOf(scheduler.job(jobIdOf(5))), 'during the quarantine').to.deep.equal([])
      scheduler.look({ worker: 'w1', clockMs: 8200, running: [runningAtFullSpeed(lasting)], ends: [] }, at(3200))
      scheduler.plan(at(3200))
      return scheduler
    }

    it('probes the worker with one run after its quarantine, whatever else is working there', () => {
      const scheduler = createSchedulerWithProbe()
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal(['w1'])
      scheduler.plan(at(3300))
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal(['w1'])
    })

    it('uses the worker fully again once the probing run is working, if it is long-running', () => {
      const scheduler = createSchedulerWithProbe()
      scheduler.look({ worker: 'w1', clockMs: 8700, running: [runningAtFullSpeed(lasting), { ...runningAtFullSpeed(`${jobIdOf(5)}.0.0.0`), percent: 50 }], ends: [] }, at(3700))
      scheduler.plan(at(3700))
      expect(workersOf(scheduler.job(jobIdOf(5))), 'before the probing run is working').to.deep.equal(['w1'])
      scheduler.look({ worker: 'w1', clockMs: 8900, running: [runningAtFullSpeed(lasting), runningAtFullSpeed(`${jobIdOf(5)}.0.0.0`)], ends: [] }, at(3900))
      scheduler.plan(at(3900))
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal(['w1', 'w1'])
    })

    it('quarantines the worker again when the probing run fails', () => {
      const scheduler = createSchedulerWithProbe()
      expect(workersOf(scheduler.job(jobIdOf(5))), 'with the probing run').to.deep.equal(['w1'])
      const ends = [{ sequence: 5, task: `${jobIdOf(5)}.0.0.0`, run: 1, end: 'failed' as const, checkpoint: '' }]
      scheduler.look({ worker: 'w1', clockMs: 8700, running: [runningAtFullSpeed(lasting)], ends }, at(3700))
      scheduler.plan(at(3700))
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal([])
    })
  })

  it('places no filling tasks on workers with serving tasks while other workers have spare processors', () => {
    const scheduler = createScheduler()
    for (const worker of ['w1', 'w2']) scheduler.reportWorker(worker, reportOf(worker), 0)
    scheduler.accept(submissionOf(1, [stepOf({ isLongRunning: true, targetMs: 100 })]), queueOf(), 0)
    scheduler.plan(at(10))
    scheduler.accept(submissionOf(2, [stepOf({ count: 4, isFilling: true })]), queueOf(), 0)
    scheduler.plan(at(20))
    const [serving] = workersOf(scheduler.job(jobIdOf(1)))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.have.length(4).and.not.to.include(serving)
  })

  it('learns which images press on others from tail latencies and used processors, even if each task lists only one of them', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('w1', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ isLongRunning: true, targetMs: 150, image: 's' }), stepOf({ isFilling: true, image: 'f' })]), queueOf(), 0)
    scheduler.plan(at(10))
    const [serving, filling] = [`${jobIdOf(1)}.0.0.0`, `${jobIdOf(1)}.0.1.0`].map(name => ({ task: name, run: 1, checkpoint: '', percent: 100 })) as [RunningTask, RunningTask]
    for (let now = 500; now < 10_000; now += 500) {
      // Every other second, the filling task uses a fifth of the worker, which adds 1.5 times that share to the load.
      const usedProcessors = Math.floor(now / 1000) % 2 === 0 ? 0.8 : 0
      const tailLatencyMs = 25 / (1 - 0.4 - 1.5 * usedProcessors / 4)
      scheduler.look({ worker: 'w1', clockMs: 5000 + now, running: [{ ...serving, tailLatencyMs }, { ...filling, usedProcessors }], ends: [] }, at(now))
    }
    scheduler.recordPressures()
    const learned = scheduler.takeOperations().flatMap(operation => operation.type === 'learnPressures' ? operation.pressures : [])
    expect(learned.map(standingOf)).to.deep.equal(['pressing'])
  })

  it('reserves a worker for a long-running task that fits nowhere, and stops checkpointed filling tasks for it', () => {
    const scheduler = createScheduler()
    const memoryMb = 9000
    scheduler.reportWorker('w1', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ isFilling: true, isCheckpointed: true, memoryMb })]), queueOf(), 0)
    scheduler.plan(at(10))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
    scheduler.accept(submissionOf(2, [stepOf({ isLongRunning: true, memoryMb })]), queueOf(), 20)
    scheduler.accept(submissionOf(3, [stepOf()]), queueOf(), 20)
    scheduler.plan(at(20))
    expect(workersOf(scheduler.job(jobIdOf(3)))).to.deep.equal([])
    scheduler.reportWorker('w1', reportOf('w1', { clockMs: 6600 }), 1600)
    scheduler.plan(at(1600))
    expect(scheduler.takeStops().map(({ task, reason }) => [task, reason])).to.deep.equal([[`${jobIdOf(1)}.0.0.0`, 'preempted']])
    scheduler.look({ worker: 'w1', clockMs: 6700, running: [], ends: [{ sequence: 1, task: `${jobIdOf(1)}.0.0.0`, run: 1, end: 'stopped', checkpoint: 'c' }] }, at(1700))
    scheduler.plan(at(1700))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.deep.equal(['w1'])
    expect(scheduler.job(jobIdOf(1))?.tasks[0]?.checkpoint).to.equal('c')
  })

  it('reserves no worker for a long-running task that cannot start there because of other long-running tasks', () => {
    const scheduler = createScheduler()
    const memoryMb = 7000
    scheduler.reportWorker('full', reportOf('full', { capacity: { processors: 8, memoryMb: 10_000, accelerators: 0 } }), 0)
    scheduler.accept(submissionOf(1, [stepOf({ isLongRunning: true, memoryMb })]), queueOf(), 0)
    scheduler.plan(at(10))
    scheduler.reportWorker('w2', reportOf('w2'), 20)
    scheduler.accept(submissionOf(2, [stepOf({ processors: 4, memoryMb })]), queueOf(), 20)
    scheduler.plan(at(20))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.deep.equal(['w2'])
    scheduler.accept(submissionOf(3, [stepOf({ isLongRunning: true, memoryMb })]), queueOf(), 30)
    scheduler.accept(submissionOf(4), queueOf(), 30)
    scheduler.plan(at(30))
    expect(workersOf(scheduler.job(jobIdOf(3)))).to.deep.equal([])
    expect(workersOf(scheduler.job(jobIdOf(4)))).to.deep.equal(['full'])
  })

  it('reserves no worker on which no more tasks of the step may run, and stops nothing there', () => {
    const scheduler = createScheduler()
    const step = stepOf({ isLongRunning: true, maximumPerWorker: 1, memoryMb: 3000 })
    scheduler.reportWorker('w1', reportOf('w1', { capacity: { processors: 8, memoryMb: 12_000, accelerators: 0 } }), 0)
    scheduler.accept(submissionOf(1, [{ ...step, count: 2 }]), queueOf(), 0)
    scheduler.accept(submissionOf(2, [stepOf({ isFilling: true, isCheckpointed: true, memoryMb: 8000 })]), queueOf(), 0)
    scheduler.plan(at(10))
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w1'])
    expect(workersOf(scheduler.job(jobIdOf(2))), 'while no worker may run another task of the step').to.deep.equal(['w1'])
    scheduler.reportWorker('w1', reportOf('w1', { capacity: { processors: 8, memoryMb: 12_000, accelerators: 0 }, clockMs: 6600 }), 1600)
    scheduler.plan(at(1600))
    expect(scheduler.takeStops()).to.deep.equal([])
  })

  it('brings the long-running tasks of a lost worker back within seconds though all others are full', () => {
    const scheduler = createScheduler()
    const serving = stepOf({ isLongRunning: true, count: 4 })
    scheduler.reportWorker('lost', reportOf('lost'), 0)
    scheduler.accept(submissionOf(1, [serving]), queueOf(), 0)
    scheduler.plan(at(10))
    const others = ['w1', 'w2', 'w3', 'w4']
    for (const worker of others) scheduler.reportWorker(worker, reportOf(worker), 20)
    scheduler.accept(submissionOf(2, [stepOf({ count: 16 })]), queueOf(), 20)
    scheduler.plan(at(30))
    scheduler.workerEnded('lost', 1000)
    // Tasks without checkpoints use all processors and do not end in time; more of them wait.
    scheduler.accept(submissionOf(3, [stepOf({ count: 16 })]), queueOf(), 1000)
    const sequences = new Map<string, number>()
    for (let now = 1000; now < 6000; now += 100) {
      const stops = scheduler.takeStops()
      for (const worker of others) {
        const stopped = stops.filter(stop => stop.worker === worker)
        const ends = stopped.map(({ task, run }) => {
          sequences.set(worker, (sequences.get(worker) ?? 0) + 1)
          return { sequence: sequences.get(worker) ?? 0, task, run, end: 'stopped' as const, checkpoint: '' }
        })
        scheduler.look({ worker, clockMs: 5000 + now, running: [], ends }, at(now))
        scheduler.grantLease(worker)
      }
      scheduler.review(at(now))
      scheduler.plan(at(now))
    }
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.have.length(4)
  })

  describe('with a long-running task for which only a quarantined worker has room', () => {
    const lasting = `${jobIdOf(5)}.0.0.0`

    function createSchedulerWithQuarantine (): JobScheduler {
      const scheduler = createScheduler()
      scheduler.reportWorker('bad', reportOf('bad'), 0)
      for (const number of [2, 3, 4]) scheduler.accept(submissionOf(number), queueOf({ maximumAttempts: 1 }), 0)
      scheduler.plan(at(10))
      const ends = [2, 3, 4].map(number => ({ sequence: number, task: `${jobIdOf(number)}.0.0.0`, run: 1, end: 'failed' as const, checkpoint: '' }))
      scheduler.look({ worker: 'bad', clockMs: 5100, running: [], ends }, at(100))
      scheduler.accept(submissionOf(5, [stepOf({ isLongRunning: true, count: 2 })]), queueOf(), 100)
      scheduler.accept(submissionOf(6), queueOf(), 100)
      scheduler.plan(at(100))
      expect(workersOf(scheduler.job(jobIdOf(5))), 'at once').to.deep.equal([])
      scheduler.look({ worker: 'bad', clockMs: 6600, running: [], ends: [] }, at(1600))
      scheduler.plan(at(1600))
      return scheduler
    }

    it('probes the worker with only one such task after a while, and with no other task', () => {
      const scheduler = createSchedulerWithQuarantine()
      expect([5, 6].map(number => workersOf(scheduler.job(jobIdOf(number))))).to.deep.equal([['bad'], []])
      scheduler.look({ worker: 'bad', clockMs: 6700, running: [{ task: lasting, run: 1, checkpoint: '', percent: 50, tailLatencyMs: 0, usedProcessors: 0 }], ends: [] }, at(1700))
      scheduler.plan(at(1700))
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal(['bad'])
    })

    it('uses the worker fully again once the task is working there', () => {
      const scheduler = createSchedulerWithQuarantine()
      scheduler.look({ worker: 'bad', clockMs: 7000, running: [{ task: lasting, run: 1, checkpoint: '', percent: 100, tailLatencyMs: 0, usedProcessors: 0 }], ends: [] }, at(2000))
      scheduler.plan(at(2000))
      expect([5, 6].map(number => workersOf(scheduler.job(jobIdOf(number))))).to.deep.equal([['bad', 'bad'], ['bad']])
    })

    it('does not probe the worker again at once when the task fails there', () => {
      const scheduler = createSchedulerWithQuarantine()
      const ends = [{ sequence: 5, task: lasting, run: 1, end: 'failed' as const, checkpoint: '' }]
      scheduler.look({ worker: 'bad', clockMs: 6700, running: [], ends }, at(1700))
      scheduler.plan(at(1700))
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal([])
      scheduler.look({ worker: 'bad', clockMs: 9700, running: [], ends: [] }, at(4700))
      scheduler.plan(at(4700))
      expect(workersOf(scheduler.job(jobIdOf(5)))).to.deep.equal(['bad'])
    })
  })

  it('starts one task of a filling job that had nothing running for too long, even if other filling tasks use all processors', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('w1', reportOf('w1'), 0)
    const filling = stepOf({ count: 4, isFilling: true })
    scheduler.accept(submissionOf(1, [filling]), queueOf(), 0)
    scheduler.accept(submissionOf(2, [filling]), queueOf(), 0)
    scheduler.plan(at(10))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.deep.equal([])
    scheduler.reportWorker('w1', reportOf('w1', { clockMs: 6600 }), 1600)
    scheduler.plan(at(1600))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.deep.equal(['w1'])
    scheduler.plan(at(1700))
    expect(workersOf(scheduler.job(jobIdOf(2)))).to.have.length(1)
  })

  it('detects a hopeless job, which no worker of its pool could ever run', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('w1', reportOf('w1'), 0)
    expect(scheduler.isHopeless(submissionOf(1, [stepOf({ processors: 4.5 })]), queueOf())).to.equal(true)
    expect(scheduler.isHopeless(submissionOf(1, [stepOf({ requiredLabel: 'b' })]), queueOf())).to.equal(true)
    expect(scheduler.isHopeless(submissionOf(1, [stepOf({ processors: 4 })]), queueOf())).to.equal(false)
  })

  it('respects the maximum number of tasks of a step per worker', () => {
    const scheduler = createScheduler()
    for (const worker of ['w1', 'w2']) scheduler.reportWorker(worker, reportOf(worker), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 3, maximumPerWorker: 1 })]), queueOf(), 0)
    scheduler.plan(at(10))
    expect([...workersOf(scheduler.job(jobIdOf(1)))].sort()).to.deep.equal(['w1', 'w2'])
  })

  it('does not start an occurrence before it is due', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('agent', reportOf('w1'), 0)
    scheduler.accept(submissionOf(1, [stepOf()], { schedule: { count: 2, startAtMs: 1000, intervalMs: 500 } }), queueOf(), 0)
    const live = (now: number): number => {
      scheduler.reportWorker('agent', reportOf('w1'), now)
      scheduler.plan(at(now))
      return workersOf(scheduler.job(jobIdOf(1))).length
    }
    expect([live(999), live(1000), live(1499), live(1500)]).to.deep.equal([0, 1, 1, 2])
  })
})
