import { expect } from 'chai'
import { Replica, type ConsensusMessage, type LogEntry } from '..'
import { ReplicaGroup } from './replicaGroup'

const electionTimeoutMs = 1000
const heartbeatMs = 20

/** The leader of a group of three members, elected by the vote of the second one. */
function createLeader (members: readonly string[] = ['a', 'b', 'c']): Replica {
  const leader = new Replica({ id: 'a', members, wantedMembers: 3, replaceAfterMs: 5000, electionTimeoutMs, heartbeatMs, random: () => 0, hardState: { term: 0, standing: 'voter' }, entries: [], mayHaveLostVotes: false, incarnation: 1 })
  leader.start(0)
  leader.tick(1000)
  leader.receive('b', { type: 'voteReply', term: 1, isPreVote: true, isGranted: true }, 1000)
  leader.receive('b', { type: 'voteReply', term: 1, isPreVote: false, isGranted: true }, 1000)
  leader.takeEffects()
  return leader
}

function createAppendReply (matchIndex: number, changes: Partial<Extract<ConsensusMessage, { readonly type: 'appendReply' }>> = {}): ConsensusMessage {
  return { type: 'appendReply', term: 1, isAccepted: true, matchIndex, round: 1, isLearner: false, ...changes }
}

type Append = Extract<ConsensusMessage, { readonly type: 'appendRequest' }>

/** The append request that a leader sends to a replica at a given time. */
function takeNextAppend (leader: Replica, to: string, now: number): Append | undefined {
  leader.takeEffects()
  leader.tick(now)
  return leader.takeEffects().messages.flatMap(envelope => envelope.to === to && envelope.message.type === 'appendRequest' ? [envelope.message] : []).at(-1)
}

function createLearner (): Replica {
  const learner = new Replica({ id: 'c', members: [], electionTimeoutMs, heartbeatMs, random: () => 0, hardState: { term: 0 }, entries: [], mayHaveLostVotes: true, incarnation: 1 })
  learner.start(0)
  return learner
}

const entries: readonly LogEntry[] = [{ index: 1, term: 1, payload: '' }, { index: 2, term: 1, payload: 'an end' }]

describe('a replica that loses its folder', () => {
  it('is sent the log from the beginning again if it is a learner', () => {
    const leader = createLeader()
    leader.propose(['x', 'y'], 1001)
    leader.receive('b', createAppendReply(3), 1002)
    leader.receive('c', createAppendReply(3, { isLearner: true }), 1003)
    leader.receive('c', createAppendReply(0, { isAccepted: false, isLearner: true }), 1010)
    expect(leader.memberStates().find(({ name }) => name === 'c')?.matchIndex).to.equal(0)
    leader.receive('c', createAppendReply(0, { isAccepted: false, isLearner: true }), 1011)
    expect(takeNextAppend(leader, 'c', 1100)?.entries.map(({ index }) => index)).to.deep.equal([1, 2, 3])
  })

  it('is sent the log from the beginning again if it is a standby', () => {
    const leader = createLeader()
    leader.propose(['x', 'y'], 1001)
    leader.receive('b', createAppendReply(3), 1002)
    leader.join('d', 1002)
    leader.receive('d', createAppendReply(3), 1003)
    leader.receive('d', createAppendReply(0, { isAccepted: false }), 1010)
    leader.receive('d', createAppendReply(0, { isAccepted: false }), 1011)
    expect(takeNextAppend(leader, 'd', 1100)?.entries.map(({ index }) => index)).to.deep.equal([1, 2, 3])
  })

  it('does not vote again because of a promotion that refers to its log before the loss', () => {
    const learner = createLearner()
    learner.receive('a', { type: 'appendRequest', term: 1, previousIndex: 2, previousTerm: 1, entries: [], commitIndex: 2, round: 5, promotes: true, isNewcomer: false }, 10)
    expect(learner.isVoter).to.equal(false)
  })

  it('does not vote again before it holds all committed entries', () => {
    const learner = createLearner()
    const request: Append = { type: 'appendRequest', term: 1, previousIndex: 0, previousTerm: 0, entries: entries.slice(0, 1), commitIndex: 2, round: 5, promotes: true, isNewcomer: false }
    learner.receive('a', request, 10)
    expect(learner.isVoter).to.equal(false)
    learner.receive('a', { ...request, entries }, 20)
    expect(learner.isVoter).to.equal(true)
  })
})

function createRandom (): () => number {
  let state = 29
  return () => {
    state = (Math.imul(state, 1664525) + 1013904223) >>> 0
    return state / 2 ** 32
  }
}

describe('a group of five in which folders are lost', () => {
  const names = ['a', 'b', 'c', 'd', 'e']

  /** Empties the folders of some replicas at once, and lets the group repair itself. */
  function lose (group: ReplicaGroup, lost: readonly string[]): void {
    for (const name of lost) group.wipe(name)
    group.settle(3000)
    expect(names.filter(name => !group.member(name).replica.isVoter)).to.deep.equal([])
  }

  function followersOf (group: ReplicaGroup): readonly string[] {
    return names.filter(name => group.member(name) !== group.leader)
  }

  it('has five voters again after two were lost at the same time, so that it bears the loss of a third one', () => {
    const group = new ReplicaGroup(names, createRandom())
    group.settle(1000)
    group.propose(names.find(name => group.member(name) === group.leader) as string, 'kept')
    group.settle(100)
    lose(group, followersOf(group).slice(0, 2))
    lose(group, followersOf(group).slice(2, 3))
    for (const { applied } of group.members.values()) expect(applied.at(-1)).to.match(/:$|:kept$/)
    for (const { applied } of group.members.values()) expect(applied.some(payload => payload.endsWith(':kept'))).to.equal(true)
  })

  it('has five voters again after the leader and a follower were lost, in three rounds one after the other', () => {
    const group = new ReplicaGroup(names, createRandom())
    group.settle(1000)
    for (let round = 0; round < 3; round += 1) {
      const leader = names.find(name => group.member(name) === group.leader) as string
      group.propose(leader, `round ${round}`)
      group.settle(100)
      lose(group, [leader, followersOf(group)[round] as string])
      for (const { applied } of group.members.values()) expect(applied.some(payload => payload.endsWith(`:round ${round}`))).to.equal(true)
    }
  })

  it('promotes both after a change of leader between their loss and their promotion', () => {
    const group = new ReplicaGroup(names, createRandom())
    group.settle(1000)
    const leader = names.find(name => group.member(name) === group.leader) as string
    const lost = followersOf(group).slice(0, 2)
    const [remaining] = followersOf(group).slice(2)
    group.isolated.add(remaining as string)
    for (const name of lost) {
      group.wipe(name)
      group.restart(name)
    }
    for (let elapsed = 0; elapsed < 100; elapsed += 10) {
      group.tick(10)
      while (group.inFlight.length > 0) group.deliver(0, false)
    }
    expect(lost.map(name => group.member(name).replica.isVoter)).to.deep.equal([false, false])
    group.crash(leader)
    group.settle(3000)
    expect(names.filter(name => !group.member(name).replica.isVoter)).to.deep.equal([])
  })
})

describe('a leader whose follower lost its folder', () => {
  it('does not count an answer that the follower gave before the loss and that arrives after it was found to be a learner', () => {
    const leader = createLeader()
    leader.receive('c', createAppendReply(0, { isAccepted: false, isLearner: true }), 1005)
    leader.receive('c', createAppendReply(1), 1006)
    expect(leader.committedIndex).to.equal(0)
    expect(leader.memberStates().find(({ name }) => name === 'c')?.isVoter).to.equal(false)
  })

  it('does not count such an answer after the follower votes again either', () => {
    const leader = createLeader()
    leader.receive('b', createAppendReply(1), 1002)
    leader.propose(['x'], 1003)
    leader.receive('c', createAppendReply(0, { isAccepted: false, isLearner: true, folder: 7 }), 1005)
    expect(takeNextAppend(leader, 'c', 1100)?.promotes).to.equal(false)
    leader.receive('b', createAppendReply(1, { round: 2 }), 1101)
    leader.receive('c', createAppendReply(1, { isLearner: true, folder: 7, round: 2 }), 1102)
    expect(takeNextAppend(leader, 'c', 1200)?.promotes).to.equal(true)
    leader.receive('c', createAppendReply(1, { folder: 7, round: 3 }), 1201)
    leader.receive('c', createAppendReply(2, { folder: 0 }), 1202)
    expect(leader.committedIndex).to.equal(1)
  })

  it('forgets what a learner held if that loses its folder again', () => {
    const leader = createLeader()
    leader.receive('c', createAppendReply(1, { isLearner: true, folder: 7 }), 1005)
    leader.receive('c', createAppendReply(0, { isAccepted: true, isLearner: true, folder: 8 }), 1006)
    expect(leader.memberStates().find(({ name }) => name === 'c')?.matchIndex).to.equal(0)
  })

  it('does not let it vote again before an entry of its own term is committed, as it may lack entries that a former leader committed', () => {
    const leader = createLeader()
    leader.receive('c', createAppendReply(0, { isLearner: true }), 1005)
    expect(takeNextAppend(leader, 'c', 1100)?.promotes).to.equal(false)
    leader.receive('b', createAppendReply(0, { isAccepted: false, round: 2 }), 1105)
    expect(takeNextAppend(leader, 'c', 1200)?.promotes).to.equal(false)
    leader.receive('b', createAppendReply(1, { round: 3 }), 1205)
    leader.receive('c', createAppendReply(1, { isLearner: true, round: 3 }), 1206)
    expect(takeNextAppend(leader, 'c', 1300)?.promotes).to.equal(true)
  })
})

describe('a learner that lost its folder once more', () => {
  it('does not vote again because of a promotion that was sent to the earlier one', () => {
    const learner = createLearner()
    const request: Append = { type: 'appendRequest', term: 1, previousIndex: 0, previousTerm: 0, entries, commitIndex: 2, round: 5, promotes: true, isNewcomer: true, folder: 7 }
    learner.receive('a', request, 10)
    expect(learner.isVoter).to.equal(false)
    learner.receive('a', { ...request, folder: 1 }, 20)
    expect(learner.isVoter).to.equal(true)
  })
})

describe('a candidate that lost its folder after an earlier candidacy in the same term', () => {
  it('does not count votes for the earlier candidacy', () => {
    const candidate = new Replica({ id: 'a', members: ['a', 'b', 'c'], electionTimeoutMs, heartbeatMs, random: () => 0, hardState: { term: 1, standing: 'voter', folder: 2 }, entries: [], mayHaveLostVotes: false, incarnation: 3 })
    candidate.start(0)
    candidate.tick(1000)
    candidate.receive('b', { type: 'voteReply', term: 2, isPreVote: true, isGranted: true, folder: 2 }, 1001)
    candidate.receive('b', { type: 'voteReply', term: 2, isPreVote: false, isGranted: true, folder: 1 }, 1002)
    expect(candidate.isLeader).to.equal(false)
    candidate.receive('b', { type: 'voteReply', term: 2, isPreVote: false, isGranted: true, folder: 2 }, 1003)
    expect(candidate.isLeader).to.equal(true)
  })
})
