import { expect } from 'chai'
import { createRandom } from '../../../../../bench/random'
import { JobBook, type JobOperation, type JobTask, type Queue, type Step } from '../../book'
import { jobIdOf, queueOf, stepOf, submissionOf } from '../../__tests__/fixtures'
import { Admission, type AdmissionRefusal, LimitingPolicy, type LimitingPolicyOptions, retryAfterSeconds } from '..'

/** Admission over a book to which it accepts jobs, as the leader does. */
class AdmissionFixture {
  private readonly book = new JobBook()
  private readonly admission: Admission
  private number = 0

  constructor (options: Partial<LimitingPolicyOptions>, private readonly knowsWorkers = true) {
    this.admission = new Admission(new LimitingPolicy({ rejectsLate: false, ...options }))
    this.admission.begin(this.book, 0)
  }

  /** Submits a job; a new one if no number is given. */
  submit (steps: readonly Step[], now: number, queue: Queue = queueOf(), number = ++this.number): AdmissionRefusal | undefined {
    const submission = submissionOf(number, steps)
    const refusal = this.admission.refuse(submission, queue, this.knowsWorkers ? 4 : undefined, now)
    if (refusal !== undefined) return refusal
    this.record({ type: 'acceptJob', submission, queue, at: now })
    this.admission.accepted(submission.jobId)
    return undefined
  }

  /** Runs so many waiting tasks of the oldest jobs to their end. */
  drain (count: number, now: number): void {
    const waiting = this.waiting.slice(0, count)
    this.assign(count, now)
    for (const { jobId, index } of waiting) this.record({ type: 'endRun', task: `${jobId}.0.0.${index}`, run: 1, worker: 'w1', end: 'done', checkpoint: '', at: now })
  }

  /** Gives so many waiting tasks of the oldest jobs to a worker. */
  assign (count: number, now: number): void {
    this.admission.model.advance(now)
    for (const { jobId, index } of this.waiting.slice(0, count)) this.record({ type: 'assignRun', task: `${jobId}.0.0.${index}`, run: 1, worker: 'w1' })
  }

  private get waiting (): readonly JobTask[] {
    return [...this.book.openJobs()].flatMap(job => job.tasks).filter(task => task.state === 'waiting')
  }

  private record (operation: JobOperation): void {
    this.book.apply(operation)
    this.admission.observe(operation, this.book)
  }
}

/** Submits jobs of four seconds of work for four processors until one is refused; their objective is 2.5 s. */
function fill (fixture: AdmissionFixture, most = 100): number {
  for (let count = 0; count < most; count += 1) if (fixture.submit([stepOf({ count: 4 })], 0) !== undefined) return count
  return most
}

const urgent = queueOf({ name: 'cuts', priority: 0 })
const low = queueOf({ name: 'fills', priority: 2 })

describe('admission', () => {
  it('accepts everything unless it is told otherwise', () => {
    expect(fill(new AdmissionFixture({}))).to.equal(100)
  })

  it('does not refuse a job that could still be done before it is worth nothing', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    // Six jobs of a second each go before the seventh, which takes one, too: 7 s of at most 7.5 s.
    for (let count = 0; count < 7; count += 1) expect(fixture.submit([stepOf({ count: 4 })], 0)).to.equal(undefined, `job ${count}`)
  })

  it('does not refuse a job for work that comes after it by the time it could begin, as it is late then', () => {
    const slack = queueOf({ slackFactor: 20 })
    const submitLast = (now: number): AdmissionRefusal | undefined => {
      const fixture = new AdmissionFixture({ rejectsLate: true })
      for (let count = 0; count < 61; count += 1) expect(fixture.submit([stepOf({ count: 4 })], 0, slack)).to.equal(undefined)
      return fixture.submit([stepOf({ count: 4 })], now, slack)
    }
    expect(submitLast(0)).to.deep.include({ cause: 'late' })
    expect(submitLast(900)).to.equal(undefined)
  })

  it('does not accept what certainly ends after it is worth nothing', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    expect(fill(fixture)).to.be.within(7, 9)
    expect(fixture.submit([stepOf({ count: 4 })], 10)).to.deep.include({ cause: 'late', refusals: 1 })
  })

  it('does not shut out a small urgent job for work that comes after it in order', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    for (let count = 0; count < 50; count += 1) fixture.submit([stepOf({ count: 4, estimateMs: 60_000 })], 0, low)
    expect(fixture.submit([stepOf()], 0, urgent)).to.equal(undefined)
    expect(fixture.submit([stepOf()], 0)).to.equal(undefined)
  })

  it('does not count filling work against jobs that reserve, which come before it on every processor', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    for (let count = 0; count < 50; count += 1) fixture.submit([stepOf({ count: 20, isFilling: true, estimateMs: 20_000 })], 0, urgent)
    expect(fixture.submit([stepOf()], 0)).to.equal(undefined)
  })

  it('gives filling work the capacity that long-running tasks reserve and do not use', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    fixture.submit([stepOf({ count: 3, isLongRunning: true })], 0)
    fixture.assign(3, 0)
    // 9.2 s of work for 2.5 processors, in at most 7.5 s.
    expect(fixture.submit([stepOf({ count: 14, isFilling: true })], 0)).to.equal(undefined)
    expect(fixture.submit([stepOf({ count: 14 })], 0)).to.deep.include({ cause: 'late' })
  })

  it('predicts nothing while the workers are not known, though the bound holds', () => {
    const unknown = new AdmissionFixture({ rejectsLate: true, maximumWaitingTasks: 200 }, false)
    expect(fill(unknown)).to.equal(50)
    expect(unknown.submit([stepOf()], 0)).to.include({ cause: 'waitingTasks' })
  })

  it('never refuses one job alone for its size', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 10 })
    expect(fixture.submit([stepOf({ count: 11 })], 0)).to.equal(undefined)
    expect(fixture.submit([stepOf()], 0)).to.deep.include({ cause: 'waitingTasks' })
  })

  it('keeps some of the room for urgent jobs which a burst of large ones would shut out', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 100 })
    fixture.submit([stepOf()], 0, urgent)
    for (let count = 0; count < 50; count += 1) fixture.submit([stepOf({ count: 5 })], 0, low)
    for (let count = 0; count < 19; count += 1) expect(fixture.submit([stepOf()], 0, urgent)).to.equal(undefined)
    for (let count = 0; count < 20; count += 1) fixture.submit([stepOf()], 0, urgent)
    expect(fixture.submit([stepOf()], 0, urgent)).to.deep.include({ cause: 'waitingTasks', waitingTasks: 100 })
  })

  it('keeps the room that an earlier-refused job returns to from newer ones, until it has returned or left', () => {
    for (const returns of [true, false]) {
      const fixture = new AdmissionFixture({ maximumWaitingTasks: 12 })
      const slack = queueOf({ slackFactor: 20 })
      fixture.submit([stepOf({ count: 12 })], 0, slack)
      const refusal = fixture.submit([stepOf({ count: 8 })], 0, slack, 100)
      const returnsAt = refusal?.retryAfterMs ?? 0
      fixture.drain(8, returnsAt - 400)
      expect(fixture.submit([stepOf({ count: 8 })], returnsAt - 300, slack, 101)).to.deep.include({ cause: 'waitingTasks' })
      if (returns) expect(fixture.submit([stepOf({ count: 8 })], returnsAt, slack, 100)).to.equal(undefined)
      else expect(fixture.submit([stepOf({ count: 8 })], returnsAt + 1001, slack, 101)).to.equal(undefined)
    }
  })

  it('does not keep room for a job which can only be late any more', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 12 })
    fixture.submit([stepOf({ count: 12 })], 0)
    const returnsAt = fixture.submit([stepOf({ count: 8, estimateMs: 10 })], 0, queueOf({ targetLatencyMs: 100 }), 100)?.retryAfterMs ?? 0
    fixture.drain(8, returnsAt - 400)
    expect(fixture.submit([stepOf({ count: 8 })], returnsAt - 300, queueOf(), 101)).to.equal(undefined)
  })

  it('keeps what it remembers of refused jobs bounded', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 1 })
    for (let count = 0; count < 5000; count += 1) fixture.submit([stepOf()], 0)
    const { admission } = fixture as unknown as { readonly admission: Admission }
    expect(admission.describe(0).refusedJobs).to.equal(1024)
  })
})

describe('the time after which a refused caller returns', () => {
  it('is from 1 to 10 whole seconds, whatever is expected', () => {
    const random = createRandom(1)
    for (const waitMs of [-5, 0, 1, 999, 4000, 9999, 1e9, Number.POSITIVE_INFINITY]) {
      for (const latestMs of [-1000, 0, 1500, 8000, 1e9, Number.POSITIVE_INFINITY]) {
        const seconds = retryAfterSeconds(jobIdOf(Math.floor(random() * 1e9)), waitMs, latestMs)
        expect(seconds).to.be.within(1, 10)
        expect(Number.isInteger(seconds)).to.equal(true)
      }
    }
  })

  it('differs by job, so that a refused burst does not return at once', () => {
    const counts = new Map<number, number>()
    for (let number = 0; number < 300; number += 1) {
      const seconds = retryAfterSeconds(jobIdOf(number), 4000, 60_000)
      counts.set(seconds, (counts.get(seconds) ?? 0) + 1)
    }
    expect([...counts.keys()].sort()).to.deep.equal([4, 5, 6])
    for (const count of counts.values()) expect(count).to.be.within(70, 130)
  })

  it('is not after the time when the job gains nothing any more', () => {
    for (let number = 0; number < 50; number += 1) expect(retryAfterSeconds(jobIdOf(number), 8000, 3500)).to.be.at.most(3)
  })
})
