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
  /** Its folder, as in its newest answer; undefined before one that names it. */
  folder: number | undefined
  /** Whether it joined as a new replica in this term and has not counted in a quorum yet. */
  isNewcomer: boolean
}

/** What an answer tells of the folder that it was given from. */
export interface Standing {
  readonly isLearner: boolean
  readonly folder?: number
  /** The heartbeat round that it answers. */
  readonly round: number
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

  /**
   * Updates what an answer tells of a follower's folder and of whether it is a learner. Entries that it acknowledged before
   * the loss of a folder no longer count. Returns false if the answer may have been given before the loss.
   */
  updateStanding (peer: PeerProgress, { isLearner, folder, round }: Standing, nextRound: number): boolean {
    const isOtherFolder = peer.folder !== undefined && folder !== undefined && peer.folder !== folder
    if (folder !== undefined) peer.folder = folder
    if (isOtherFolder || (isLearner && !peer.isLearner)) {
      peer.matchIndex = 0
      peer.learnerSinceRound = nextRound
      if (!peer.isLearner) peer.isNewcomer = false
      peer.isLearner = true
    }
    if (isLearner) return true
    if (round < peer.learnerSinceRound) return false
    if (peer.isMember) peer.isNewcomer = false
    peer.isLearner = false
    return true
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
  return { nextIndex, matchIndex: 0, round: 0, lastAnswerAt: now, answeredRoundStartedAt: now, snapshotOffset: 0, sentAt: undefined, sentIndex: 0, isLearner: false, learnerSinceRound: 0, isMember, folder: undefined, isNewcomer: false }
}
