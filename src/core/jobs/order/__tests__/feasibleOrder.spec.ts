import { expect } from 'chai'
import fc from 'fast-check'
import { selectFeasible } from '../feasibleSet'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from '../../__tests__/fixtures'
import { JobBook, JobScheduler, type OrderName } from '../..'

const queue = queueOf({ slackFactor: 2, targetLatencyMs: 1000 })

/** A pool of one worker in virtual time, on which every task takes as long as it declares. */
class OneWorker {
  private readonly scheduler: JobScheduler
  private readonly ends: Array<{ readonly at: number, readonly task: string, readonly run: number }> = []
  private sequence = 0
  private now = 0
  /** When each job was complete, in milliseconds. */
  readonly completedAt = new Map<string, number>()

  constructor (order: OrderName, processors: number) {
    this.scheduler = new JobScheduler({ leases: { durationMs: 600_000, maximumDrift: 0.02, formerLeaderMs: 0 }, health: { quarantineAfter: 3, quarantineMs: 1, maximumQuarantineMs: 1 }, order })
    this.scheduler.begin(new JobBook(), 0)
    this.scheduler.reportWorker('agent', reportOf('agent/w@1', { capacity: { processors, memoryMb: 100_000, accelerators: 0 } }), 0)
    this.scheduler.grantLease('agent/w@1')
  }

  accept (number: number, count: number, estimateMs: number): void {
    this.scheduler.accept(submissionOf(number, [stepOf({ count, estimateMs })]), queue, this.now)
  }

  step (ms: number): void {
    this.now += ms
    const due = this.ends.filter(({ at }) => at <= this.now)
    this.ends.splice(0, this.ends.length, ...this.ends.filter(({ at }) => at > this.now))
    const ends = due.map(({ task, run }) => ({ sequence: ++this.sequence, task, run, end: 'done' as const, checkpoint: '' }))
    this.scheduler.look({ worker: 'agent/w@1', clockMs: this.now, running: [], ends }, { now: this.now, wallClock: this.now })
    this.scheduler.grantLease('agent/w@1')
    this.scheduler.plan({ now: this.now, wallClock: this.now })
    for (const operation of this.scheduler.takeOperations()) {
      const job = 'task' in operation ? this.scheduler.job(operation.task.split('.')[0] ?? '') : undefined
      if (operation.type === 'assignRun') this.ends.push({ at: this.now + (job?.steps[0]?.estimateMs ?? 0), task: operation.task, run: operation.run })
      if (job?.state === 'complete' && !this.completedAt.has(job.jobId)) this.completedAt.set(job.jobId, this.now)
    }
  }
}

/** Submits twice the work that the worker can do for 20 s, in jobs that need it alone for a second. Returns how many of the 40 were in time. */
function countInTime (order: OrderName): number {
  const worker = new OneWorker(order, 4)
  const submittedAt = new Map<string, number>()
  for (let now = 0, number = 1; now < 40_000; now += 50) {
    if (now % 500 === 0 && now < 20_000) {
      worker.accept(number, 16, 250)
      submittedAt.set(jobIdOf(number), now)
      number += 1
    }
    worker.step(50)
  }
  return [...submittedAt].filter(([jobId, at]) => (worker.completedAt.get(jobId) ?? Number.POSITIVE_INFINITY) <= at + 1500).length
}

describe('the order by feasible due times', () => {
  it('completes most of what is possible in time when twice that work arrives, where the order of due times completes next to nothing', () => {
    expect(countInTime('due')).to.be.below(5)
    expect(countInTime('feasible')).to.be.at.least(15)
  })

  it('selects work that can be done by its due times, and all of it if possible', () => {
    const work = fc.array(fc.record({ work: fc.integer({ min: 1, max: 5000 }), dueAt: fc.integer({ min: 0, max: 20_000 }), density: fc.integer({ min: 1, max: 100 }) }), { maxLength: 30 })
    const isFeasible = (items: ReadonlyArray<{ readonly work: number, readonly dueAt: number }>, processors: number): boolean => {
      let sum = 0
      return [...items].sort((a, b) => a.dueAt - b.dueAt).every(item => {
        sum += item.work
        return sum / processors <= item.dueAt
      })
    }
    fc.assert(fc.property(work, fc.integer({ min: 1, max: 8 }), (items, processors) => {
      const selected = selectFeasible(items, 0, processors)
      expect(isFeasible([...selected], processors)).to.equal(true)
      if (isFeasible(items, processors)) expect(selected.size).to.equal(items.length)
    }), { seed: 1, numRuns: 300 })
  })

  it('leaves out the work with the least worth per processor time', () => {
    const [first, second, third] = [{ work: 600, dueAt: 1000, density: 3 }, { work: 600, dueAt: 1100, density: 1 }, { work: 400, dueAt: 1200, density: 2 }] as const
    expect([...selectFeasible([first, second, third], 0, 1)]).to.deep.equal([first, third])
  })
})
