import { expect } from 'chai'
import type { CallerAnswer } from '../../../core/jobs'
import { jobIdOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { LeaderFixture } from './leaderFixture'

describe('the leader of jobs with an evacuated zone', () => {
  it('refuses a job that only its workers could run, with a time to come back', () => {
    const fixture = new LeaderFixture()
    fixture.committed.apply({ type: 'startEvacuation', zone: 'a', at: 0 })
    fixture.lead()
    fixture.connect('agent-1')
    fixture.pass(3100)
    const answers: CallerAnswer[] = []
    fixture.handle({ type: 'call', call: { type: 'submit', host: 'a.example', path: `/plans/${jobIdOf(7)}`, submission: submissionOf(7) }, reply: answer => answers.push(answer) })
    expect(answers).to.deep.equal([{ type: 'refused', reason: 'evacuated', retryAfterMs: 10_000 }])
  })
})
