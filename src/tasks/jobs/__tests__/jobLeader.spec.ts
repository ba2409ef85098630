import { expect } from 'chai'
import { jobIdOf } from '../../../core/jobs/__tests__/fixtures'
import { LeaderFixture } from './leaderFixture'

const worker = 'agent-1/w@1'
const task = `${jobIdOf(1)}.0.0.0`

describe('the leader of jobs', () => {
  it('confirms that a run which was given back is over once that is committed', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const session = fixture.connect('agent-1')
    fixture.commit()
    fixture.handle({ type: 'absent', session, worker, task, run: 1, reason: 'noRoom' })
    const confirmed = (): boolean => session.received.some(message => message.type === 'released' && message.task === task && message.run === 1)
    expect(confirmed()).to.equal(false)
    fixture.commit()
    expect(confirmed()).to.equal(true)
  })
})
