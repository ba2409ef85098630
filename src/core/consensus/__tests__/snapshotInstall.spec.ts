import { expect } from 'chai'
import { Replica, type ConsensusMessage, type DurableChange, type LogEntry } from '..'

function createFollower (entries: readonly LogEntry[] = []): Replica {
  const follower = new Replica({ id: 'b', members: ['a', 'b', 'c'], electionTimeoutMs: 1000, heartbeatMs: 20, random: () => 0, hardState: { term: 2, standing: 'voter' }, entries, mayHaveLostVotes: false, incarnation: 1 })
  follower.start(0)
  return follower
}

function createEntry (index: number, term: number): LogEntry {
  return { index, term, payload: `${term}:${index}` }
}

function createAppendRequest (previousIndex: number, previousTerm: number, entries: readonly LogEntry[]): ConsensusMessage {
  return { type: 'appendRequest', term: 2, previousIndex, previousTerm, entries, commitIndex: 0, round: 1, promotes: false, isNewcomer: false }
}

/** A single-chunk snapshot of the first three entries. */
function createSnapshotRequest (snapshotTerm: number): ConsensusMessage {
  return { type: 'snapshotRequest', term: 2, index: 3, snapshotTerm, offset: 0, chunk: 'state', isLast: true, round: 1, members: ['a', 'b', 'c'] }
}

/** The entries on disk after a durable change, as the store reads them back. */
function readStoredEntries (former: readonly LogEntry[], change: DurableChange | undefined): readonly LogEntry[] {
  const base = change?.snapshot?.index ?? 0
  const kept = former.filter(entry => entry.index > base && entry.index < (change?.truncateFrom ?? Number.POSITIVE_INFINITY))
  return [...kept, ...(change?.entries ?? []).filter(entry => entry.index > base)]
}

describe('a snapshot that is received with entries in one batch', () => {
  it('keeps the acknowledged entries after it in the durable change', () => {
    const follower = createFollower()
    follower.receive('a', createAppendRequest(0, 0, [1, 2, 3, 4, 5].map(index => createEntry(index, 2))), 10)
    follower.receive('a', createSnapshotRequest(2), 10)
    const { durable, messages } = follower.takeEffects()
    expect(messages.map(({ message }) => message)).to.deep.include({ type: 'appendReply', term: 2, isAccepted: true, matchIndex: 5, round: 1, isLearner: false, folder: 0 })
    expect(readStoredEntries([], durable)).to.deep.equal([createEntry(4, 2), createEntry(5, 2)])
  })

  it('does not restore entries that were truncated before it', () => {
    const former = [1, 2, 3, 4, 5].map(index => createEntry(index, 1))
    const follower = createFollower(former)
    follower.receive('a', createAppendRequest(3, 1, [createEntry(4, 2)]), 10)
    follower.receive('a', createSnapshotRequest(1), 10)
    expect(readStoredEntries(former, follower.takeEffects().durable)).to.deep.equal([createEntry(4, 2)])
  })
})
