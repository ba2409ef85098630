import { canVoteAgain, type LeaderView } from './promotion'

/** The replication state of one follower at the leader. */
export interface PeerProgress {
  nextIndex: number
  matchIndex: number
  /** The newest heartbeat round that this peer answered. */
  round: number
  lastAnswerAt: number
  /** When the newest round that this peer answered started; the peer followed this leader at that time or later. */
  answeredRoundStartedAt: number
  /** The offset of the snapshot chunk that the peer expects next. */
  snapshotOffset: number
  /** When the entries or the snapshot chunk in flight were sent; undefined if none are. */
  sentAt: number | undefined
  /** The last index that was sent, acknowledged or not. */
  sentIndex: number
  /** Whether it may have lost votes and entries, so that it counts in no quorum. */
  isLearner: boolean
  /** The first round started after the peer reported that it is a learner. */
  learnerSinceRound: number
  /** Whether it is in the list of members; a standby only replicates the log. */
  isMember: boolean
  /** Whether it joined as a new replica in this term and has not counted in a quorum yet. */
  isNewcomer: boolean
}

/** The followers of a leader, and the values that a quorum of them has reached. */
export class PeerTable {
  private readonly peers = new Map<string, PeerProgress>()

  /** Resets the table at the start of a leadership. */
  begin (names: readonly string[], nextIndex: number, now: number): void {
    this.peers.clear()
    for (const name of names) {
      this.peers.set(name, createProgress(nextIndex, now, true))
    }
  }

  /** Adds a replica that is not a member; returns false if it is already known. */
  addStandby (name: string, nextIndex: number, now: number): boolean {
    if (this.peers.has(name)) return false
    this.peers.set(name, { ...createProgress(nextIndex, now, false), isLearner: true, isNewcomer: true })
    return true
  }

  /** Removes standbys whose last answer is older than a time. */
  dropStandbys (answeredBefore: number): void {
    for (const [name, peer] of this.peers) if (!peer.isMember && peer.lastAnswerAt < answeredBefore) this.peers.delete(name)
  }

  /** Applies a new list of members; a member that is no longer in it is removed. */
  setMembers (names: readonly string[]): void {
    for (const [name, peer] of this.peers) {
      if (peer.isMember && !names.includes(name)) this.peers.delete(name)
      peer.isMember = names.includes(name)
    }
  }

  find (name: string): PeerProgress | undefined {
    return this.peers.get(name)
  }

  all (): Iterable<[name: string, progress: PeerProgress]> {
    return this.peers
  }

  /** The highest value that a quorum, counting the leader's own value, has reached. */
  quorumValue (own: number, valueOf: (peer: PeerProgress) => number, quorum: number): number {
    const values = [own]
    for (const peer of this.peers.values()) if (peer.isMember && !peer.isLearner) values.push(valueOf(peer))
    values.sort((a, b) => b - a)
    return values[quorum - 1] ?? 0
  }

  /** Updates whether a follower is a learner. Entries that a new learner acknowledged earlier may be lost and no longer count. */
  updateLearner (peer: PeerProgress, isLearner: boolean, nextRound: number): void {
    if (isLearner && !peer.isLearner) {
      peer.matchIndex = 0
      peer.learnerSinceRound = nextRound
      peer.isNewcomer = false
    }
    if (peer.isMember && !isLearner) peer.isNewcomer = false
    peer.isLearner = isLearner
  }

  /** Whether a member that lost its log may vote again. */
  canPromote (name: string, leader: LeaderView): boolean {
    const learner = this.peers.get(name)
    if (learner === undefined || !learner.isMember || !learner.isLearner) return false
    const others = [...this.peers].flatMap(([other, peer]) => other !== name && peer.isMember ? [peer] : [])
    return canVoteAgain(learner, others, leader)
  }

  /** The voting member whose log is known to reach furthest; undefined if there is none. */
  findMostUpToDate (): string | undefined {
    return [...this.peers].filter(([, peer]) => peer.isMember && !peer.isLearner).sort((a, b) => b[1].matchIndex - a[1].matchIndex)[0]?.[0]
  }
}

function createProgress (nextIndex: number, now: number, isMember: boolean): PeerProgress {
  return { nextIndex, matchIndex: 0, round: 0, lastAnswerAt: now, answeredRoundStartedAt: now, snapshotOffset: 0, sentAt: undefined, sentIndex: 0, isLearner: false, learnerSinceRound: 0, isMember, isNewcomer: false }
}
