import { expect } from 'chai'
import { Replica, type ConsensusMessage } from '..'

const term = 2 ** 52
const claims: readonly ConsensusMessage[] = [
  { type: 'voteRequest', term, isPreVote: false, lastIndex: 9, lastTerm: term },
  { type: 'voteReply', term, isPreVote: false, isGranted: false },
  { type: 'appendRequest', term, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1, promotes: false, isNewcomer: false },
  { type: 'appendReply', term, isAccepted: false, matchIndex: 0, round: 1, isLearner: false },
  { type: 'snapshotReply', term, index: 0, nextOffset: 0, isInstalled: false, round: 1, isLearner: false }
]

function createReplica (standing?: 'voter'): Replica {
  const replica = new Replica({ id: 'a', members: ['a', 'b', 'c'], electionTimeoutMs: 1000, heartbeatMs: 20, random: () => 0, hardState: { term: 3, ...(standing === undefined ? {} : { standing }) }, entries: [], mayHaveLostVotes: false, incarnation: 1 })
  replica.start(0)
  return replica
}

describe('a replica that is told a term which no elections can have reached', () => {
  for (const claim of claims) {
    it(`keeps its term and votes on after a ${claim.type}, as no candidate could raise that term`, () => {
      const replica = createReplica('voter')
      replica.receive('stranger', claim, 10)
      expect(replica.term).to.equal(3)
      replica.receive('b', { type: 'voteRequest', term: 4, isPreVote: false, lastIndex: 0, lastTerm: 0 }, 20)
      expect(replica.takeEffects().messages.at(-1)).to.deep.equal({ to: 'b', message: { type: 'voteReply', term: 4, isPreVote: false, isGranted: true } })
    })
  }

  it('founds the group below it', () => {
    const replica = createReplica()
    replica.receive('stranger', { type: 'historyReply', term: 0, hasHistory: false, currentTerm: term }, 10)
    for (const peer of ['b', 'c']) replica.receive(peer, { type: 'historyReply', term: 0, hasHistory: false, currentTerm: 3 }, 20)
    expect([replica.isVoter, replica.term]).to.deep.equal([true, 3])
  })

  it('follows a term far above its own that elections may have reached', () => {
    const replica = createReplica('voter')
    replica.receive('b', { type: 'appendRequest', term: 1e9, previousIndex: 0, previousTerm: 0, entries: [], commitIndex: 0, round: 1, promotes: false, isNewcomer: false }, 10)
    expect([replica.term, replica.leaderId]).to.deep.equal([1e9, 'b'])
  })
})

describe('a leader that is told more than it has sent', () => {
  const odd: readonly ConsensusMessage[] = [
    { type: 'appendReply', term: 4, isAccepted: true, matchIndex: 2 ** 52, round: 0, isLearner: false },
    { type: 'appendReply', term: 4, isAccepted: true, matchIndex: 0, round: 2 ** 52, isLearner: false },
    { type: 'snapshotReply', term: 4, index: 2 ** 52, nextOffset: 0, isInstalled: true, round: 0, isLearner: false }
  ]
  for (const reply of odd) {
    it(`neither commits nor reads by a ${reply.type} of ${JSON.stringify(reply)}`, () => {
      const replica = createReplica('voter')
      replica.tick(2000)
      for (const isPreVote of [true, false]) replica.receive('b', { type: 'voteReply', term: 4, isPreVote, isGranted: true }, 2000)
      expect(replica.isLeader).to.equal(true)
      replica.receive('b', { type: 'appendReply', term: 4, isAccepted: true, matchIndex: 1, round: 0, isLearner: false }, 2000)
      expect(replica.committedIndex).to.equal(1)
      replica.receive('c', reply, 2001)
      replica.propose(['x'], 2002)
      replica.read(1, 2003)
      expect([replica.committedIndex, replica.takeEffects().confirmedReads]).to.deep.equal([1, []])
    })
  }
})
