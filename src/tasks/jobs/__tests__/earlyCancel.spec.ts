import { expect } from 'chai'
import type { CallerAnswer } from '../../../core/jobs'
import { jobIdOf, manifestOf, queueOf, stepOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { LeaderFixture } from './leaderFixture'

const host = 'a.example'

/** The answer of the leader to a call about the nth job, once everything is committed. */
function callFor (fixture: LeaderFixture, type: 'submit' | 'cancel', number: number, steps = [stepOf()]): CallerAnswer | undefined {
  let answer: CallerAnswer | undefined
  const path = `/plans/${jobIdOf(number)}`
  const { jobId: _jobId, ...submission } = submissionOf(number, steps)
  fixture.handle({ type: 'call', call: type === 'cancel' ? { type, host, path } : { type, host, path, submission }, reply: given => { answer = given } })
  fixture.commit()
  return answer
}

describe('a submission that arrives after its cancel', () => {
  let fixture: LeaderFixture

  beforeEach(() => {
    fixture = new LeaderFixture()
    fixture.lead()
    fixture.connect('agent-1')
    fixture.connect('agent-2')
    fixture.commit()
  })

  function expectCancelled (number: number): void {
    fixture.advance(1000)
    fixture.commit()
    expect(fixture.committed.job(jobIdOf(number))).to.include({ state: 'cancelled' })
    expect(fixture.committed.job(jobIdOf(number))?.tasks.every(({ run }) => run === 0)).to.equal(true)
  }

  it('does not start, also if it is sent again through another entry process, and is shown as cancelled', () => {
    expect(callFor(fixture, 'cancel', 5)).to.deep.equal({ type: 'noJob' })
    fixture.advance(7000)
    for (let attempt = 0; attempt < 2; attempt += 1) {
      expect(callFor(fixture, 'submit', 5)).to.deep.equal({ type: 'accepted' })
      expectCancelled(5)
    }
    expect(callFor(fixture, 'cancel', 5)).to.deep.equal({ type: 'cancelled' })
  })

  it('does not start under the next leader', () => {
    callFor(fixture, 'cancel', 5)
    fixture.handle({ type: 'follow' })
    fixture.handle({ type: 'lead', term: 2 })
    fixture.connect('agent-1')
    expect(callFor(fixture, 'submit', 5)).to.deep.equal({ type: 'accepted' })
    expectCancelled(5)
  })

  it('does not start if it repeats', () => {
    callFor(fixture, 'cancel', 5)
    const { jobId: _jobId, ...submission } = submissionOf(5, [stepOf()], { schedule: { count: 3, startAtMs: 0, intervalMs: 100 } })
    fixture.handle({ type: 'call', call: { type: 'submit', host, path: `/plans/${jobIdOf(5)}`, submission }, reply: () => {} })
    fixture.commit()
    expectCancelled(5)
  })

  it('starts if the cancel was not committed, which its caller was told', () => {
    fixture.acceptsProposals = false
    expect(callFor(fixture, 'cancel', 5)).to.deep.equal({ type: 'unknown' })
    fixture.acceptsProposals = true
    fixture.handle({ type: 'lead', term: 2 })
    fixture.connect('agent-1')
    fixture.commit()
    callFor(fixture, 'submit', 5)
    expect(fixture.committed.job(jobIdOf(5))).to.include({ state: 'active' })
  })

  it('does not start if its queue was removed and added again in between', () => {
    callFor(fixture, 'cancel', 5)
    fixture.handle({ type: 'manifest', manifest: manifestOf(2, []), reply: () => {} })
    fixture.commit()
    expect(callFor(fixture, 'submit', 5)).to.deep.equal({ type: 'noQueue' })
    fixture.handle({ type: 'manifest', manifest: manifestOf(3, [queueOf()]), reply: () => {} })
    fixture.commit()
    callFor(fixture, 'submit', 5)
    expectCancelled(5)
  })
})

describe('the cancel of a job whose queue was removed from the manifest', () => {
  it('ends the job, although the queue is answered as unknown', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    fixture.connect('agent-1')
    fixture.commit()
    fixture.handle({ type: 'manifest', manifest: manifestOf(2, []), reply: () => {} })
    expect(callFor(fixture, 'cancel', 1)).to.deep.equal({ type: 'noQueue' })
    expect(fixture.committed.job(jobIdOf(1))?.state).to.equal('cancelled')
  })
})
