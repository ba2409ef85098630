import { expect } from 'chai'
import { Replica } from '..'

const electionTimeoutMs = 100

function createReplica (members: readonly string[], mayHaveLostVotes = false): Replica {
  const replica = new Replica({ id: 'a', members, electionTimeoutMs, heartbeatMs: 20, random: () => 0, hardState: { term: 0 }, entries: [], mayHaveLostVotes, incarnation: 1 })
  replica.start(0)
  return replica
}

/** Ticks a replica over five election timeouts. */
function tickElectionTimeouts (replica: Replica, from: number): void {
  for (let now = from; now < from + 5 * electionTimeoutMs; now += 20) replica.tick(now)
}

describe('the initial members of a group', () => {
  it('exclude processes that keep no log', () => {
    const replica = createReplica(['a', 'r1', 'r2'])
    replica.excludeFounder('r1', 0)
    tickElectionTimeouts(replica, 0)
    expect(replica.isLeader).to.equal(false)
    replica.excludeFounder('r2', 600)
    tickElectionTimeouts(replica, 600)
    expect([replica.isLeader, replica.members]).to.deep.equal([true, ['a']])
  })

  it('do not change once the log has an entry', () => {
    const replica = createReplica(['a', 'r1'])
    replica.excludeFounder('r1', 0)
    tickElectionTimeouts(replica, 0)
    replica.excludeFounder('a', 600)
    expect(replica.members).to.deep.equal(['a'])
  })

  it('are a single founding replica only if it knows of no members and has lost no records', () => {
    const founder = createReplica([])
    founder.found(0)
    tickElectionTimeouts(founder, 0)
    expect(founder.isLeader).to.equal(true)
    for (const other of [createReplica([], true), createReplica(['a', 'b'])]) {
      other.found(0)
      tickElectionTimeouts(other, 0)
      expect(other.isLeader).to.equal(false)
    }
  })
})
