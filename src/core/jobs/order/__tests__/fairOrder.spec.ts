import { expect } from 'chai'
import { createOrder, divideMaxMin } from '..'
import { queueOf, stepOf, submissionOf } from '../../__tests__/fixtures'
import { JobBook, type Job } from '../..'

const capacity = { processors: 10, memoryMb: 100_000, accelerators: 0 }
const queue = queueOf({ slackFactor: 100 })

function accept (book: JobBook, number: number, originZone: string | undefined, { at = 0, count = 2, priority = 1 } = {}): void {
  book.apply({ type: 'acceptJob', submission: submissionOf(number, [stepOf({ count })], { originZone }), queue: { ...queue, priority }, at })
}

/** Starts up to `maximum` waiting tasks in the given order and returns their names. */
function begin (book: JobBook, groups: ReadonlyArray<{ readonly job: Job }>, maximum: number): readonly string[] {
  const tasks = groups.flatMap(({ job }) => job.tasks.filter(task => task.state === 'waiting')).slice(0, maximum)
  return tasks.map(({ jobId, index, run }) => {
    const task = `${jobId}.0.0.${index}`
    book.apply({ type: 'assignRun', task, run: run + 1, worker: 'agent/w@1' })
    return task
  })
}

/** Simulates an overloaded pool of ten processors with tasks of one second; returns when the last job of a zone was done, in milliseconds. */
function simulate (isFair: boolean, zone: string): number {
  const book = new JobBook()
  const order = createOrder('due', isFair)
  for (let number = 1; number <= 60; number += 1) accept(book, number, 'flooding')
  let running: readonly string[] = []
  let doneAt = 0
  for (let now = 0; now <= 20_000; now += 1000) {
    for (const task of running) book.apply({ type: 'endRun', task, run: 1, worker: 'agent/w@1', end: 'done', checkpoint: '', at: now })
    if (now === 2000) for (let number = 101; number <= 105; number += 1) accept(book, number, 'modest', { at: now })
    running = begin(book, order.order(book, now, () => capacity), 10)
    if ([...book.openJobs()].some(job => job.originZone === zone)) doneAt = now + 1000
  }
  return doneAt
}

describe('fair shares between callers\' zones', () => {
  it('completes the jobs of a zone with little demand early while another zone floods the pool, unlike the order by due times', () => {
    expect(simulate(false, 'modest')).to.equal(13_000)
    expect(simulate(true, 'modest')).to.be.at.most(6000)
  })

  it('takes from the flooding zone only what the other zone uses, and does not starve it', () => {
    expect(simulate(true, 'flooding')).to.equal(13_000)
  })

  it('keeps the order without contention, if only one zone waits, and between ranks', () => {
    const book = new JobBook()
    const [due, fair] = [createOrder('due'), createOrder('due', true)]
    const namesOf = (order: typeof due, now: number): readonly string[] => order.order(book, now, () => capacity).map(({ job }) => job.jobId)
    for (let number = 1; number <= 20; number += 1) accept(book, number, 'flooding')
    accept(book, 30, 'modest', { at: 1 })
    expect(namesOf(fair, 1)).to.deep.equal(namesOf(due, 1))
    expect(namesOf(fair, 1000)).not.to.deep.equal(namesOf(due, 1000))
    book.apply({ type: 'cancelJob', jobId: submissionOf(30).jobId, at: 1000 })
    accept(book, 31, 'modest', { at: 1, priority: 2 })
    expect(namesOf(fair, 2000)).to.deep.equal(namesOf(due, 2000))
  })

  it('keeps the order of jobs without an origin, which a new leader finds in the book after an update', () => {
    const book = new JobBook()
    for (let number = 1; number <= 20; number += 1) accept(book, number, undefined, { at: 20 - number })
    const fair = createOrder('due', true)
    fair.order(book, 100, () => capacity)
    expect(fair.order(book, 1000, () => capacity)).to.deep.equal(createOrder('due').order(book, 1000, () => capacity))
  })

  it('reports a zone below its fair share under contention, and lets its debt decay afterwards', () => {
    const book = new JobBook()
    const order = createOrder('due', true)
    for (let number = 1; number <= 20; number += 1) accept(book, number, 'flooding')
    begin(book, order.order(book, 0, () => capacity), 10)
    accept(book, 30, 'modest')
    for (const now of [1000, 2000, 3000]) order.order(book, now, () => capacity)
    const modest = order.reportShares().find(share => share.zone === 'modest')
    expect(modest).to.include({ pool: 'tastings', served: 0, entitled: 0.2, belowMs: 3000 })
    const initialDebt = modest?.debt ?? 0
    expect(initialDebt).to.be.above(0.05)
    for (const { jobId } of [...book.openJobs()]) book.apply({ type: 'cancelJob', jobId, at: 3000 })
    for (const now of [4000, 8000]) order.order(book, now, () => capacity)
    expect(order.reportShares().find(share => share.zone === 'modest')?.debt ?? 0).to.be.below(initialDebt / 2)
  })

  it('divides a total by max-min fairness', () => {
    expect([...divideMaxMin(new Map([['a', 0.9], ['b', 0.1], ['c', 0.6]]), 1)]).to.deep.equal([['b', 0.1], ['c', 0.45], ['a', 0.45]])
  })
})
