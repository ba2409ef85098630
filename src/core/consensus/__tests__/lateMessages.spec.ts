import { expect } from 'chai'
import { Replica, type ConsensusMessage } from '..'

const electionTimeoutMs = 1000
const heartbeatMs = 20

/** The leader of a group of two replicas that has committed its first entry at 1000 ms. */
function createLeader (): Replica {
  const leader = new Replica({ id: 'a', members: ['a', 'b'], electionTimeoutMs, heartbeatMs, random: () => 0, hardState: { term: 0, standing: 'voter' }, entries: [], mayHaveLostVotes: false, incarnation: 1 })
  leader.start(0)
  leader.tick(1000)
  leader.receive('b', { type: 'voteReply', term: 1, isPreVote: true, isGranted: true }, 1000)
  leader.receive('b', { type: 'voteReply', term: 1, isPreVote: false, isGranted: true }, 1000)
  leader.receive('b', createAppendReply(takeNewestRound(leader)), 1000)
  return leader
}

function createAppendReply (round: number): ConsensusMessage {
  return { type: 'appendReply', term: 1, isAccepted: true, matchIndex: 1, round, isLearner: false }
}

/** The round of the newest append request. */
function takeNewestRound (leader: Replica): number {
  return leader.takeEffects().messages.reduce((round, { message }) => message.type === 'appendRequest' ? message.round : round, 0)
}

describe('a leader that receives a late answer', () => {
  it('counts quorum contact from the start of the round, not from the time when the answer is read', () => {
    const leader = createLeader()
    leader.tick(1100)
    const round = takeNewestRound(leader)
    expect(leader.isQuorumActiveAt(1100 + electionTimeoutMs)).to.equal(true)
    // The process was suspended while the answer waited in its socket.
    const resumedAt = 1100 + 9 * electionTimeoutMs
    leader.receive('b', createAppendReply(round), resumedAt)
    expect(leader.isQuorumActiveAt(resumedAt)).to.equal(false)
    leader.tick(resumedAt)
    expect(leader.isLeader).to.equal(false)
  })

  it('stays leader while answers arrive with a constant delay of one election timeout', () => {
    const leader = createLeader()
    const rounds: number[] = []
    for (let now = 1020; now <= 10_000; now += heartbeatMs) {
      leader.tick(now)
      rounds.push(takeNewestRound(leader))
      const answered = rounds[rounds.length - 1 - electionTimeoutMs / heartbeatMs]
      if (answered !== undefined) leader.receive('b', createAppendReply(answered), now)
    }
    expect(leader.isLeader).to.equal(true)
  })
})
