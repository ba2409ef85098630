import { expect } from 'chai'
import { waitFor } from '../../../wiring/__tests__/siteFixture'
import { ReplicaTrio } from './replicaTrio'

describe('a leader with a member that does not count in quorums', () => {
  it('logs how many voters the group has left, and that it has all again', async () => {
    const trio = new ReplicaTrio()
    await trio.start()
    const { leader, follower } = trio
    const linesOf = (): readonly string[] => leader?.lines.filter(line => line.includes('voters_changed')) ?? []
    const term = leader?.task.term ?? 0
    leader?.task.mailbox.post({ type: 'deliver', from: follower.name, messages: [{ type: 'appendReply', term, isAccepted: false, matchIndex: 0, round: 0, isLearner: true, folder: 9 }] })
    await waitFor(() => linesOf().length === 2)
    expect(linesOf()[0]).to.include('voters=2 members=3').and.include(`learners=${follower.name}`)
    expect(linesOf()[1]).to.include('voters=3 members=3')
    await trio.stop()
  })
})
