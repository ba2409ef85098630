import { expect } from 'chai'
import { JobBook, JobScheduler, WorkerRoster, type Job, type Step } from '../..'
import { PressureModel } from '../../filling'
import { createCandidate } from '../candidate'
import { suitability } from '../runPlacement'
import { acceptOf, jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from '../../__tests__/fixtures'

const capacity = { processors: 32, memoryMb: 100_000, accelerators: 0 }
const workerCount = 12

function at (now: number): { readonly now: number, readonly wallClock: number } {
  return { now, wallClock: now }
}

function createScheduler (packsJobs: boolean): JobScheduler {
  const scheduler = new JobScheduler({
    leases: { durationMs: 60_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
    packsJobs
  })
  scheduler.begin(new JobBook(), 0)
  for (let number = 0; number < workerCount; number += 1) scheduler.reportWorker(`agent-${number}`, reportOf(`w${number}`, { capacity }), 0)
  return scheduler
}

/** Lets the scheduler learn the usual rate of the queue: one task on each of the 12 workers ends after its declared duration. */
function teachRate (scheduler: JobScheduler): void {
  scheduler.accept(submissionOf(500, [stepOf({ count: workerCount, maximumPerWorker: 1 })]), queueOf(), 0)
  scheduler.plan(at(0))
  const tasks = scheduler.job(jobIdOf(500))?.tasks ?? []
  tasks.forEach(({ worker }, index) => {
    const task = `${jobIdOf(500)}.0.0.${index}`
    scheduler.look({ worker, clockMs: 5100, running: [{ task, run: 1, checkpoint: '', percent: 0 }], ends: [] }, at(100))
    scheduler.look({ worker, clockMs: 6100, running: [], ends: [{ sequence: 1, task, run: 1, end: 'done', checkpoint: '' }] }, at(1100))
  })
}

/** The number of tasks of a new job with one step on each of its workers, in descending order. */
function spreadOf (scheduler: JobScheduler, step: Step, number = 1): readonly number[] {
  scheduler.accept(submissionOf(number, [step]), queueOf(), 1200)
  scheduler.plan(at(1200))
  const counts = new Map<string, number>()
  for (const worker of workersOf(scheduler.job(jobIdOf(number)))) counts.set(worker, (counts.get(worker) ?? 0) + 1)
  return [...counts.values()].sort((a, b) => b - a)
}

describe('the packing of jobs', () => {
  it('spreads a step over three workers while its usual rate is unknown, because a slow worker is only detected by peers on other workers', () => {
    expect(spreadOf(createScheduler(true), stepOf({ count: 10 }))).to.deep.equal([4, 4, 2])
  })

  it('places a step on one worker once its usual rate is known', () => {
    const scheduler = createScheduler(true)
    teachRate(scheduler)
    expect(spreadOf(scheduler, stepOf({ count: 10 }))).to.deep.equal([10])
  })

  it('respects the limit of tasks of a step per worker', () => {
    const scheduler = createScheduler(true)
    teachRate(scheduler)
    expect(spreadOf(scheduler, stepOf({ count: 10, maximumPerWorker: 3 }))).to.deep.equal([3, 3, 3, 1])
  })

  it('continues on another worker when one is full, so that all tasks run at the same time', () => {
    const scheduler = createScheduler(true)
    teachRate(scheduler)
    expect(spreadOf(scheduler, stepOf({ count: 10, processors: 8 }))).to.deep.equal([4, 4, 2])
  })

  it('keeps filling tasks spread, which slow each other down, and long-running tasks, which each have worth of their own', () => {
    const scheduler = createScheduler(true)
    teachRate(scheduler)
    expect(spreadOf(scheduler, stepOf({ count: 10, isFilling: true }))).to.have.length(10)
    expect(spreadOf(scheduler, stepOf({ count: 10, isLongRunning: true }), 2)).to.have.length(10)
  })

  it('gives no packing bonus to a slow worker, which would otherwise get all tasks of a job', () => {
    const book = new JobBook()
    book.apply(acceptOf(1, [stepOf({ count: 10 })]))
    const roster = new WorkerRoster()
    roster.report('agent', reportOf('w1', { capacity }), 0)
    const [known] = roster.all()
    const [group] = book.startableSteps(book.job(jobIdOf(1)) as Job)
    if (known === undefined || group === undefined) throw new Error('the roster has no worker or the job has no startable step')
    const gainAt = (speed: number): number => {
      const scores = [10, 1].map(packedTasksPerWorker => suitability(createCandidate(known, book, 100, speed), group, { liveOfStep: new Map([['w1', 1]]), pressure: new PressureModel(), packedTasksPerWorker }))
      return (scores[0] ?? 0) - (scores[1] ?? 0)
    }
    expect(gainAt(1)).to.be.greaterThan(1)
    expect(gainAt(0.5)).to.equal(0)
  })

  it('spreads tasks as before unless packing is enabled in the settings', () => {
    const scheduler = createScheduler(false)
    teachRate(scheduler)
    expect(spreadOf(scheduler, stepOf({ count: 10 }))).to.have.length(10)
  })

  it('limits the number of short jobs that are affected when a quarter of the workers is lost', () => {
    const hitBy = (packsJobs: boolean): number => {
      const scheduler = createScheduler(packsJobs)
      teachRate(scheduler)
      const numbers = Array.from({ length: 24 }, (_, index) => index + 1)
      for (const number of numbers) scheduler.accept(submissionOf(number, [stepOf({ count: 10 })]), queueOf(), 1200)
      scheduler.plan(at(1200))
      const lost = new Set(['w1', 'w4', 'w7'])
      expect(numbers.map(number => workersOf(scheduler.job(jobIdOf(number))).length)).to.deep.equal(numbers.map(() => 10))
      return numbers.filter(number => workersOf(scheduler.job(jobIdOf(number))).some(worker => lost.has(worker))).length
    }
    expect(hitBy(false)).to.equal(24)
    expect(hitBy(true)).to.be.at.most(10)
  })
})
