import { expect } from 'chai'
import { Replica, type ConsensusMessage } from '..'

const heartbeatMs = 20

/** The leader of a group of two replicas that has committed its first entry. */
function createLeader (): Replica {
  const leader = new Replica({ id: 'a', members: ['a', 'b'], electionTimeoutMs: 1000, heartbeatMs, random: () => 0, hardState: { term: 0, standing: 'voter' }, entries: [], mayHaveLostVotes: false, incarnation: 1 })
  leader.start(0)
  leader.tick(1000)
  leader.receive('b', { type: 'voteReply', term: 1, isPreVote: true, isGranted: true }, 1000)
  leader.receive('b', { type: 'voteReply', term: 1, isPreVote: false, isGranted: true }, 1000)
  answer(leader, 1, 1000)
  leader.takeEffects()
  return leader
}

function answer (leader: Replica, matchIndex: number, now: number, isAccepted = true): void {
  leader.receive('b', { type: 'appendReply', term: 1, isAccepted, matchIndex, round: 1, isLearner: false }, now)
}

/** The entry indexes of each append request sent since the last call. */
function takeSentEntries (leader: Replica): ReadonlyArray<readonly number[]> {
  return leader.takeEffects().messages.flatMap(({ message }: { readonly message: ConsensusMessage }) => message.type === 'appendRequest' ? [message.entries.map(entry => entry.index)] : [])
}

describe('the replication of entries', () => {
  it('does not send entries again with reads and heartbeats while their answer is outstanding', () => {
    const leader = createLeader()
    leader.propose(['x', 'y'], 1001)
    expect(takeSentEntries(leader)).to.deep.equal([[2, 3]])
    leader.read(1, 1002)
    leader.read(2, 1003)
    answer(leader, 1, 1004)
    expect(takeSentEntries(leader)).to.deep.equal([[], []])
    leader.propose(['z'], 1005)
    answer(leader, 3, 1006)
    expect(takeSentEntries(leader)).to.deep.equal([[4]])
  })

  it('never sends more than one large request that a peer has not answered, however much the peer lacks', () => {
    const leader = createLeader()
    const large = 'x'.repeat(400 * 1024)
    leader.propose([large, large, large], 1001)
    expect(takeSentEntries(leader)).to.deep.equal([[2]])
    leader.propose([large], 1002)
    leader.tick(1001 + heartbeatMs)
    expect(takeSentEntries(leader)).to.deep.equal([[]])
    answer(leader, 1, 1001 + heartbeatMs)
    expect(takeSentEntries(leader)).to.deep.equal([])
    answer(leader, 2, 1002 + heartbeatMs)
    expect(takeSentEntries(leader)).to.deep.equal([[3]])
  })

  it('sends small entries together, and an entry above the limit alone', () => {
    const leader = createLeader()
    leader.propose(['x', 'x'.repeat(2 * 1024 * 1024), 'x', 'x'], 1001)
    const sent = [...takeSentEntries(leader)]
    for (const index of [2, 3]) {
      answer(leader, index, 1002)
      sent.push(...takeSentEntries(leader))
    }
    expect(sent).to.deep.equal([[2], [3], [4, 5]])
  })

  it('sends entries again after two heartbeat intervals without an answer, and immediately after a rejection', () => {
    const leader = createLeader()
    leader.propose(['x'], 1001)
    leader.tick(1001 + heartbeatMs)
    takeSentEntries(leader)
    leader.tick(1001 + 2 * heartbeatMs + 1)
    expect(takeSentEntries(leader)).to.deep.equal([[2]])
    answer(leader, 1, 1050, false)
    expect(takeSentEntries(leader)).to.deep.equal([[2]])
  })
})
