import { expect } from 'chai'
import { createRandom } from '../../../../../bench/random'
import { JobBook, type JobOperation, type JobTask, type Queue, type Step } from '../../book'
import { jobIdOf, queueOf, stepOf, submissionOf } from '../../__tests__/fixtures'
import { Admission, type AdmissionRefusal, LimitingPolicy, type LimitingPolicyOptions, retryAfterSeconds } from '..'

/** Admission with a book in which it records accepted jobs, as the leader does. */
class AdmissionFixture {
  private readonly book = new JobBook()
  private readonly admission: Admission
  private number = 0

  constructor (options: Partial<LimitingPolicyOptions>, private readonly knowsWorkers = true) {
    this.admission = new Admission(new LimitingPolicy({ rejectsLate: false, ...options }))
    this.admission.begin(this.book, 0)
  }

  /** Submits a job, with a new number if none is given. */
  submit (steps: readonly Step[], now: number, queue: Queue = queueOf(), number = ++this.number): AdmissionRefusal | undefined {
    const submission = submissionOf(number, steps)
    const refusal = this.admission.refuse(submission, queue, this.knowsWorkers ? 4 : undefined, now)
    if (refusal !== undefined) return refusal
    this.record({ type: 'acceptJob', submission, queue, at: now })
    this.admission.accepted(submission.jobId)
    return undefined
  }

  /** Completes `count` waiting tasks of the oldest jobs. */
  drain (count: number, now: number): void {
    const waiting = this.waiting.slice(0, count)
    this.assign(count, now)
    for (const { jobId, index } of waiting) this.record({ type: 'endRun', task: `${jobId}.0.0.${index}`, run: 1, worker: 'w1', end: 'done', checkpoint: '', at: now })
  }

  /** Assigns `count` waiting tasks of the oldest jobs to a worker. */
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

/** Submits jobs of four processor-seconds to four processors until one is refused; their objective is 2.5 s. Returns the number of accepted jobs. */
function fill (fixture: AdmissionFixture, most = 100): number {
  for (let count = 0; count < most; count += 1) if (fixture.submit([stepOf({ count: 4 })], 0) !== undefined) return count
  return most
}

const urgent = queueOf({ name: 'cuts', priority: 0 })
const low = queueOf({ name: 'fills', priority: 2 })

describe('admission', () => {
  it('accepts every job by default', () => {
    expect(fill(new AdmissionFixture({}))).to.equal(100)
  })

  it('does not refuse a job that can be done before it is worthless', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    // Six jobs of one second each precede the seventh, which also takes one: 7 s of at most 7.5 s.
    for (let count = 0; count < 7; count += 1) expect(fixture.submit([stepOf({ count: 4 })], 0)).to.equal(undefined, `job ${count}`)
  })

  it('does not refuse a job for earlier work that is late, and so ranks behind it, by the time at which the job can start', () => {
    const slack = queueOf({ slackFactor: 20 })
    const submitLast = (now: number): AdmissionRefusal | undefined => {
      const fixture = new AdmissionFixture({ rejectsLate: true })
      for (let count = 0; count < 61; count += 1) expect(fixture.submit([stepOf({ count: 4 })], 0, slack)).to.equal(undefined)
      return fixture.submit([stepOf({ count: 4 })], now, slack)
    }
    expect(submitLast(0)).to.deep.include({ cause: 'late' })
    expect(submitLast(900)).to.equal(undefined)
  })

  it('refuses a job that certainly ends after it is worthless', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    expect(fill(fixture)).to.be.within(7, 9)
    expect(fixture.submit([stepOf({ count: 4 })], 10)).to.deep.include({ cause: 'late', refusals: 1 })
  })

  it('does not refuse a small urgent job for work that is ordered after it', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    for (let count = 0; count < 50; count += 1) fixture.submit([stepOf({ count: 4, estimateMs: 60_000 })], 0, low)
    expect(fixture.submit([stepOf()], 0, urgent)).to.equal(undefined)
    expect(fixture.submit([stepOf()], 0)).to.equal(undefined)
  })

  it('does not count filling work against jobs that reserve processors, which precede it on every processor', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    for (let count = 0; count < 50; count += 1) fixture.submit([stepOf({ count: 20, isFilling: true, estimateMs: 20_000 })], 0, urgent)
    expect(fixture.submit([stepOf()], 0)).to.equal(undefined)
  })

  it('counts the capacity that long-running tasks reserve and do not use as available to filling work', () => {
    const fixture = new AdmissionFixture({ rejectsLate: true })
    fixture.submit([stepOf({ count: 3, isLongRunning: true })], 0)
    fixture.assign(3, 0)
    // 9.2 processor-seconds for 2.5 processors, within at most 7.5 s.
    expect(fixture.submit([stepOf({ count: 14, isFilling: true })], 0)).to.equal(undefined)
    expect(fixture.submit([stepOf({ count: 14 })], 0)).to.deep.include({ cause: 'late' })
  })

  it('makes no prediction while the workers are not known, but applies the bound of waiting tasks', () => {
    const unknown = new AdmissionFixture({ rejectsLate: true, maximumWaitingTasks: 200 }, false)
    expect(fill(unknown)).to.equal(50)
    expect(unknown.submit([stepOf()], 0)).to.include({ cause: 'waitingTasks' })
  })

  it('does not refuse a job above the bound of waiting tasks while no other task waits', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 10 })
    expect(fixture.submit([stepOf({ count: 11 })], 0)).to.equal(undefined)
    expect(fixture.submit([stepOf()], 0)).to.deep.include({ cause: 'waitingTasks' })
  })

  it('reserves a part of the bound for urgent jobs, so that a burst of large jobs does not shut them out', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 100 })
    fixture.submit([stepOf()], 0, urgent)
    for (let count = 0; count < 50; count += 1) fixture.submit([stepOf({ count: 5 })], 0, low)
    for (let count = 0; count < 19; count += 1) expect(fixture.submit([stepOf()], 0, urgent)).to.equal(undefined)
    for (let count = 0; count < 20; count += 1) fixture.submit([stepOf()], 0, urgent)
    expect(fixture.submit([stepOf()], 0, urgent)).to.deep.include({ cause: 'waitingTasks', waitingTasks: 100 })
  })

  it('withholds from newer jobs the room for an earlier-refused job, until that job has returned or is overdue', () => {
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

  it('does not withhold room for an earlier-refused job that can no longer be in time', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 12 })
    fixture.submit([stepOf({ count: 12 })], 0)
    const returnsAt = fixture.submit([stepOf({ count: 8, estimateMs: 10 })], 0, queueOf({ targetLatencyMs: 100 }), 100)?.retryAfterMs ?? 0
    fixture.drain(8, returnsAt - 400)
    expect(fixture.submit([stepOf({ count: 8 })], returnsAt - 300, queueOf(), 101)).to.equal(undefined)
  })

  it('bounds the number of refused jobs that it remembers', () => {
    const fixture = new AdmissionFixture({ maximumWaitingTasks: 1 })
    for (let count = 0; count < 5000; count += 1) fixture.submit([stepOf()], 0)
    const { admission } = fixture as unknown as { readonly admission: Admission }
    expect(admission.describe(0).refusedJobs).to.equal(1024)
  })
})

describe('the retry delay of a refused caller', () => {
  it('is a whole number of seconds from 1 to 10, whatever wait is expected', () => {
    const random = createRandom(1)
    for (const waitMs of [-5, 0, 1, 999, 4000, 9999, 1e9, Number.POSITIVE_INFINITY]) {
      for (const latestMs of [-1000, 0, 1500, 8000, 1e9, Number.POSITIVE_INFINITY]) {
        const seconds = retryAfterSeconds(jobIdOf(Math.floor(random() * 1e9)), waitMs, latestMs)
        expect(seconds).to.be.within(1, 10)
        expect(Number.isInteger(seconds)).to.equal(true)
      }
    }
  })

  it('differs by job, so that the callers of a refused burst do not all return at once', () => {
    const counts = new Map<number, number>()
    for (let number = 0; number < 300; number += 1) {
      const seconds = retryAfterSeconds(jobIdOf(number), 4000, 60_000)
      counts.set(seconds, (counts.get(seconds) ?? 0) + 1)
    }
    expect([...counts.keys()].sort()).to.deep.equal([4, 5, 6])
    for (const count of counts.values()) expect(count).to.be.within(70, 130)
  })

  it('does not exceed the time after which a retry is of no use', () => {
    for (let number = 0; number < 50; number += 1) expect(retryAfterSeconds(jobIdOf(number), 8000, 3500)).to.be.at.most(3)
  })
})
