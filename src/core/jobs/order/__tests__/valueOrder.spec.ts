import { expect } from 'chai'
import { createOrder, type JobOrder } from '..'
import { noResources } from '../../../ledger/resources'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from '../../__tests__/fixtures'
import { JobBook, JobScheduler, type OrderName, type Queue, type Step } from '../..'

const queue = queueOf({ slackFactor: 2, targetLatencyMs: 1000 })

function accept (book: JobBook, number: number, step: Partial<Step>, { at = 0, of = queue }: { readonly at?: number, readonly of?: Queue } = {}): void {
  book.apply({ type: 'acceptJob', submission: submissionOf(number, [stepOf(step)]), queue: of, at })
}

function assign (book: JobBook, number: number, index: number): void {
  book.apply({ type: 'assignRun', task: `${jobIdOf(number)}.0.0.${index}`, run: 1, worker: 'agent/w@1' })
}

function orderOf (order: JobOrder, book: JobBook, wallClock: number): readonly number[] {
  return order.order(book, wallClock, () => noResources).map(({ job }) => Number.parseInt(job.jobId, 16))
}

describe('the order by value', () => {
  it('starts the job with the least remaining work per worth, which the order by due times starts last', () => {
    const book = new JobBook()
    accept(book, 1, { count: 20 })
    accept(book, 2, { count: 20 })
    accept(book, 3, { count: 2 }, { at: 10 })
    expect(orderOf(createOrder('due'), book, 10)).to.deep.equal([1, 2, 3])
    expect(orderOf(createOrder('value'), book, 10)).to.deep.equal([3, 1, 2])
  })

  it('places the remaining tasks of a started step before smaller jobs, so that no job stays partly done', () => {
    const book = new JobBook()
    accept(book, 1, { count: 2 })
    accept(book, 2, { count: 20 })
    assign(book, 2, 0)
    expect(orderOf(createOrder('value'), book, 10)).to.deep.equal([2, 1])
  })

  it('ranks long-running steps first, then steps by priority, and a job that cannot be in time last', () => {
    const book = new JobBook()
    accept(book, 1, { count: 1 })
    accept(book, 2, { count: 9 }, { at: 3000 })
    accept(book, 3, { count: 9 }, { at: 3000, of: queueOf({ name: 'first', priority: 0 }) })
    accept(book, 4, { count: 9, isLongRunning: true }, { at: 3000 })
    expect(orderOf(createOrder('value'), book, 3000)).to.deep.equal([4, 3, 2, 1])
  })

  it('starts a large job once the completion rate of its class is too low, though small jobs earn more per work', () => {
    const book = new JobBook()
    const order = createOrder('value')
    for (let number = 1; number <= 20; number += 1) accept(book, number, { count: number <= 18 ? 1 : 30 })
    order.order(book, 0, () => noResources)
    for (let number = 1; number <= 18; number += 1) {
      assign(book, number, 0)
      book.apply({ type: 'endRun', task: `${jobIdOf(number)}.0.0.0`, run: 1, worker: 'agent/w@1', end: 'done', checkpoint: '', at: 1000 })
    }
    // The large jobs have waited until they are worthless.
    order.order(book, 10_000, () => noResources)
    for (const number of [21, 22, 23]) accept(book, number, { count: number === 22 ? 30 : 1 }, { at: 10_000 })
    expect(orderOf(order, book, 10_000).slice(0, 3)).to.deep.equal([22, 21, 23])
  })

  it('starves no job, however many jobs of higher worth arrive after it', () => {
    /** The worker connects at this time, in milliseconds, when the first job can no longer be in time. */
    const lateAt = 2500
    const startedAt = (name: OrderName): number | undefined => {
      const scheduler = new JobScheduler({ leases: { durationMs: 600_000, maximumDrift: 0.02, formerLeaderMs: 0 }, health: { quarantineAfter: 3, quarantineMs: 1, maximumQuarantineMs: 1 }, order: name })
      scheduler.begin(new JobBook(), 0)
      scheduler.accept(submissionOf(1), queue, 0)
      scheduler.reportWorker('agent', reportOf('agent/w@1', { capacity: { processors: 1, memoryMb: 10_000, accelerators: 0 } }), lateAt)
      scheduler.grantLease('agent/w@1')
      let sequence = 0
      // Two jobs arrive for each one that the only worker completes.
      for (let now = lateAt; now < 60_000; now += 500) {
        for (const more of [0, 1]) scheduler.accept(submissionOf(now + more, [stepOf({ estimateMs: 500 })]), queue, now)
        scheduler.plan({ now, wallClock: now })
        if (workersOf(scheduler.job(jobIdOf(1))).length > 0) return now
        const running = scheduler.takeOperations().flatMap(operation => operation.type === 'assignRun' ? [operation] : [])
        const ends = running.map(({ task, run }) => ({ sequence: ++sequence, task, run, end: 'done' as const, checkpoint: '' }))
        scheduler.look({ worker: 'agent/w@1', clockMs: now + 400, running: [], ends }, { now: now + 400, wallClock: now + 400 })
        scheduler.grantLease('agent/w@1')
      }
      return undefined
    }
    expect(startedAt('due')).to.equal(undefined)
    expect(startedAt('value')).to.be.at.most(25_000)
  })
})
