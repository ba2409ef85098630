import { expect } from 'chai'
import { createRandom } from '../../../../../bench/random'
import { JobBook, nameTask, type JobOperation } from '../../book'
import { jobIdOf, queueOf, stepOf, submissionOf } from '../../__tests__/fixtures'
import { BacklogModel, type PoolBacklog } from '..'

const steps = [stepOf({ count: 2 }), stepOf({ count: 2, isFilling: true, dependsOn: [0] }), stepOf({ isLongRunning: true, processors: 2 })]
const queues = [queueOf(), queueOf({ name: 'cuts', priority: 0, pool: 'others' })]

/** Applies an operation as the leader's decision log does. */
function record (book: JobBook, model: BacklogModel, operation: JobOperation): void {
  if (book.apply(operation)) model.observe(operation, book)
}

function rounded (backlog: readonly PoolBacklog[]): readonly PoolBacklog[] {
  return backlog.map(amounts => ({ ...amounts, workMs: Math.round(amounts.workMs) }))
    .filter(({ waitingTasks, liveTasks }) => waitingTasks + liveTasks > 0)
    .sort((a, b) => `${a.pool}${a.kind}`.localeCompare(`${b.pool}${b.kind}`))
}

function nextOperation (book: JobBook, number: number, random: () => number): JobOperation {
  const tasks = [...book.openJobs()].flatMap(job => job.tasks)
  const task = tasks[Math.floor(random() * tasks.length)]
  const choice = random()
  if (task === undefined || choice < 0.1) return { type: 'acceptJob', submission: submissionOf(number, choice < 0.07 ? steps.slice(0, 2) : steps), queue: queues[number % 2] ?? queueOf(), at: number }
  if (choice < 0.12) return { type: 'cancelJob', jobId: task.jobId, at: number }
  const run = { task: nameTask(task), run: task.run, worker: task.worker, checkpoint: '' }
  if (task.state === 'waiting') return { type: 'assignRun', task: nameTask(task), run: task.run + 1, worker: 'w1' }
  return choice < 0.4 ? { type: 'releaseRun', ...run } : { type: 'endRun', ...run, end: choice < 0.5 ? 'failed' : 'done', at: number }
}

describe('the backlog model', () => {
  it('stays equal to a model rebuilt from the book while jobs and runs are accepted, assigned, released, ended and cancelled', () => {
    const [book, model, random] = [new JobBook(), new BacklogModel(), createRandom(3)]
    for (let number = 1; number <= 3000; number += 1) {
      model.advance(number)
      record(book, model, nextOperation(book, number, random))
      if (number % 50 !== 0) continue
      const rebuilt = new BacklogModel()
      rebuilt.begin(book, number)
      expect(model.openJobs).to.equal(rebuilt.openJobs)
      expect(model.waitingTasks).to.equal(rebuilt.waitingTasks)
      const names = Object.fromEntries(queues.map(({ name, pool }) => [pool, name]))
      const corrected = rebuilt.byPool().map(amounts => ({ ...amounts, workMs: amounts.workMs * model.workFactorOf(names[amounts.pool] ?? '', amounts.kind) }))
      expect(rounded(model.byPool())).to.deep.equal(rounded(corrected))
      for (const { pool } of queues) {
        const inBuckets = (from: BacklogModel): number => from.bucketsOf(pool, 0).reduce((sum, bucket) => sum + bucket.reservingMs + bucket.fillingMs, 0)
        expect(inBuckets(model)).to.be.closeTo(model.workMs(pool), 1)
      }
    }
  })

  it('corrects declared durations by the actual ones, without following a single outlier', () => {
    const [book, model] = [new JobBook(), new BacklogModel()]
    const run = (number: number, tookMs: number): void => {
      const task = `${jobIdOf(number)}.0.0.0`
      record(book, model, { type: 'acceptJob', submission: submissionOf(number), queue: queueOf(), at: 0 })
      model.advance(1000)
      record(book, model, { type: 'assignRun', task, run: 1, worker: 'w1' })
      record(book, model, { type: 'endRun', task, run: 1, worker: 'w1', end: 'done', checkpoint: '', at: 1000 + tookMs })
    }
    run(1, 60_000)
    expect(model.factorOf('plans')).to.be.within(1, 1.1)
    for (let number = 2; number <= 60; number += 1) run(number, 1400)
    expect(model.factorOf('plans')).to.be.closeTo(1.4, 0.05)
  })

  it('measures the work done per second over the last seconds only', () => {
    const [book, model] = [new JobBook(), new BacklogModel()]
    for (let number = 1; number <= 100; number += 1) {
      const task = `${jobIdOf(number)}.0.0.0`
      record(book, model, { type: 'acceptJob', submission: submissionOf(number, [stepOf({ processors: 2 })]), queue: queueOf(), at: number * 100 })
      model.advance(number * 100)
      record(book, model, { type: 'assignRun', task, run: 1, worker: 'w1' })
      record(book, model, { type: 'endRun', task, run: 1, worker: 'w1', end: 'done', checkpoint: '', at: number * 100 + 1000 })
    }
    expect(model.drainOf('tastings', 11_000).tasks).to.be.within(8, 10)
    expect(model.drainOf('tastings', 11_000).workMs).to.be.within(15_000, 20_500)
    expect(model.drainOf('tastings', 30_000)).to.deep.equal({ workMs: 0, tasks: 0 })
  })

  it('reads few buckets although ten thousand jobs wait, most of them worthless', () => {
    const [book, model] = [new JobBook(), new BacklogModel()]
    for (let number = 1; number <= 10_000; number += 1) record(book, model, { type: 'acceptJob', submission: submissionOf(number), queue: queueOf(), at: number * 20 })
    const buckets = model.bucketsOf('tastings', 200_000)
    expect(buckets.length).to.be.within(10, 48)
    expect(buckets.every(bucket => bucket.worthlessAt > 200_000)).to.equal(true)
  })
})
