import { expect } from 'chai'
import { LimitingPolicy, type AdmissionPolicy, type CallerAnswer, type Step } from '../../../core/jobs'
import { jobIdOf, manifestOf, queueOf, stepOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { Counters, createLogger } from '../../../observability'
import type { JobLeaderOptions } from '../jobLeader'
import type { JobLeaderMessage } from '../leaderMessage'
import { LeaderFixture } from './leaderFixture'

/** A leader with an admission policy; the spec takes the role of its callers. */
class AdmissionFixture extends LeaderFixture {
  readonly answers = new Map<number, CallerAnswer>()

  readonly lines: string[]
  private readonly clock: { now: number }

  constructor (admission: AdmissionPolicy, changes: Partial<JobLeaderOptions> = {}) {
    const clock = { now: 0 }
    const lines: string[] = []
    super({
      admission,
      now: () => clock.now,
      wallClock: () => clock.now,
      logger: createLogger({ level: 'info', write: line => { lines.push(line) } }),
      counters: new Counters(),
      ...changes
    })
    this.clock = clock
    this.lines = lines
    this.committed.apply({ type: 'putManifest', manifest: manifestOf(1) })
    this.handle({ type: 'lead', term: 1 })
  }

  wait (ms: number): void {
    this.clock.now += ms
    this.handle({ type: 'tick' })
  }

  submission (number: number, steps: readonly Step[]): JobLeaderMessage {
    const { jobId, ...submission } = submissionOf(number, steps)
    const queue = queueOf()
    return { type: 'call', call: { type: 'submit', host: queue.host, path: `${queue.pathPrefix}${jobId}`, submission }, reply: answer => { this.answers.set(number, answer) } }
  }

  submit (number: number, steps: readonly Step[] = [stepOf({ count: 4 })]): CallerAnswer | undefined {
    this.handle(this.submission(number, steps))
    return this.answers.get(number)
  }

  get accepted (): number { return [...this.answers.values()].filter(answer => answer.type === 'accepted').length }

  get waitingTasks (): number { return [...this.committed.openJobs()].flatMap(job => job.tasks).filter(task => task.state === 'waiting').length }
}

const knownAfterMs = 3001
const late = (): AdmissionPolicy => new LimitingPolicy({ rejectsLate: true })
const bounded = (maximumWaitingTasks: number): AdmissionPolicy => new LimitingPolicy({ rejectsLate: false, maximumWaitingTasks })

/** Submits jobs until one is refused. Returns its number. */
function submitUntilRefused (fixture: AdmissionFixture, most = 50): number {
  for (let number = 1; number <= most; number += 1) if (fixture.submit(number)?.type === 'refused') return number
  throw new Error(`none of ${most} jobs was refused`)
}

describe('the job leader under load', () => {
  it('neither predicts lateness nor accepts without limit while it has just taken over and does not know the workers', () => {
    const fixture = new AdmissionFixture(new LimitingPolicy({ rejectsLate: true, maximumWaitingTasks: 100 }))
    fixture.connect('agent-1')
    const refused = submitUntilRefused(fixture)
    expect(refused).to.be.within(26, 27)
    expect(fixture.answers.get(refused)).to.deep.include({ type: 'refused', reason: 'overload' })
    const later = new AdmissionFixture(late())
    later.connect('agent-1')
    later.wait(knownAfterMs)
    expect(submitUntilRefused(later)).to.be.within(7, 12)
  })

  it('does not store a refused job in the book and accepts it later', () => {
    const fixture = new AdmissionFixture(late())
    fixture.connect('agent-1')
    fixture.wait(knownAfterMs)
    const refused = submitUntilRefused(fixture)
    fixture.commit()
    expect(fixture.committed.job(jobIdOf(refused))).to.equal(undefined)
    // The other jobs have lost all their worth by now.
    fixture.wait(8000)
    fixture.connect('agent-1')
    fixture.submit(refused)
    fixture.commit()
    expect(fixture.answers.get(refused)).to.deep.equal({ type: 'accepted' })
    expect(fixture.committed.job(jobIdOf(refused))?.state).to.be.oneOf(['queued', 'active'])
  })

  it('acknowledges a job whose id is known under any load, because its caller may not have received the first answer', () => {
    const fixture = new AdmissionFixture(bounded(8))
    const refused = submitUntilRefused(fixture)
    fixture.commit()
    fixture.answers.clear()
    for (let number = 1; number < refused; number += 1) fixture.submit(number)
    fixture.commit()
    expect(fixture.accepted).to.equal(refused - 1)
  })

  it('answers the refusals of a burst without a commit, while the accepted jobs still wait for one', () => {
    const fixture = new AdmissionFixture(bounded(8))
    fixture.leader.handleBatch(Array.from({ length: 400 }, (_, number) => fixture.submission(number + 1, [stepOf({ count: 4 })])))
    expect([...fixture.answers.values()].map(answer => answer.type)).to.deep.equal(Array.from({ length: 398 }, () => 'refused'))
    fixture.commit()
    expect(fixture.accepted).to.equal(2)
  })

  it('keeps waiting tasks and memory bounded in a flood of 10,000 submissions', () => {
    const fixture = new AdmissionFixture(bounded(500))
    fixture.connect('agent-1')
    for (let number = 1; number <= 10_000; number += 500) {
      fixture.leader.handleBatch(Array.from({ length: 500 }, (_, index) => fixture.submission(number + index, [stepOf({ count: 4 })])))
      fixture.commit()
      fixture.wait(100)
      expect(fixture.waitingTasks).to.be.at.most(500)
    }
    expect([...fixture.committed.openJobs()]).to.have.length.at.most(127)
    expect(fixture.answers.size).to.equal(10_000)
    for (const answer of fixture.answers.values()) if (answer.type === 'refused') expect(answer.retryAfterMs / 1000).to.be.oneOf([1, 2, 3, 4, 5, 6, 7, 8, 9, 10])
    expect(Number(/refused_remembered=(\d+)/.exec(fixture.lines.findLast(line => line.includes('event=load')) ?? '')?.[1])).to.be.within(1, 1024)
  })

  it('decides again after the leader crashed between a refusal and its answer, as nothing has run', () => {
    const first = new AdmissionFixture(bounded(8))
    const refused = submitUntilRefused(first)
    first.answers.delete(refused)
    first.commit()
    const next = new AdmissionFixture(bounded(100))
    next.committed.load(structuredClone(first.committed.save()))
    next.handle({ type: 'follow' })
    next.handle({ type: 'lead', term: 2 })
    expect(next.committed.job(jobIdOf(refused))).to.equal(undefined)
    next.submit(refused)
    next.commit()
    expect(next.answers.get(refused)).to.deep.equal({ type: 'accepted' })
    expect(next.committed.job(jobIdOf(refused))?.tasks.every(task => task.run === 0)).to.equal(true)
  })

  it('does not say that a job has not run while its successor, which it does not know of yet, has stored it', () => {
    const successor = new AdmissionFixture(bounded(8))
    expect(successor.submit(3)).to.equal(undefined)
    successor.commit()
    const deposed = new AdmissionFixture(bounded(8))
    deposed.submit(1)
    deposed.submit(2)
    deposed.isLawful = false
    deposed.submit(3)
    expect(successor.answers.get(3)).to.deep.equal({ type: 'accepted' })
    expect(deposed.answers.get(3)).to.deep.equal({ type: 'unknown' })
  })

  it('does not refuse a job that another copy of the submission has stored before its leadership was confirmed', () => {
    const confirmations: Array<(isConfirmed: boolean) => void> = []
    const fixture = new AdmissionFixture(bounded(8), { confirmLeadership: reply => { confirmations.push(reply) } })
    fixture.submit(1)
    fixture.submit(2)
    fixture.submit(3)
    expect(fixture.answers.get(3)).to.equal(undefined)
    fixture.connect('agent-1', { capacity: { processors: 8, memoryMb: 64_000, accelerators: 0 } })
    fixture.commit()
    fixture.answers.delete(3)
    fixture.submit(3)
    fixture.commit()
    expect(fixture.answers.get(3)).to.deep.equal({ type: 'accepted' })
    confirmations.forEach(confirm => confirm(true))
    expect(fixture.answers.get(3)).to.deep.equal({ type: 'unknown' })
  })

  it('logs under the id of a refused job why it was refused', () => {
    const fixture = new AdmissionFixture(late())
    fixture.connect('agent-1')
    fixture.wait(knownAfterMs)
    const refused = submitUntilRefused(fixture)
    const line = fixture.lines.find(text => text.includes('event=job_refused') && text.includes(jobIdOf(refused))) ?? ''
    expect(line).to.match(/reason=overload cause=late late_ms=\d+ waiting=\d+ backlog_ms=\d+ retry_after_s=\d+ refusals=1/)
  })
})
