/** What a leader knows of one follower. */
export interface PeerProgress {
  nextIndex: number
  matchIndex: number
  /** The newest round which this peer answered. */
  round: number
  lastHeardAt: number
  /** When the newest round that this peer answered began: it followed this leader then or later. */
  followedAt: number
  /** The offset of the snapshot chunk which the peer waits for. */
  snapshotOffset: number
  /** When entries were last sent which are not answered yet. */
  sentAt: number | undefined
  /** The last index which was sent, whether it has arrived or not. */
  sentIndex: number
  /** Whether it may have forgotten votes and entries, so that it counts in no quorum. */
  isLearner: boolean
  /** The first round that was sent after it showed itself as a learner. */
  learnerSince: number
  /** Whether it is in the list of members; a standby only follows the log. */
  isMember: boolean
  /** Whether it came as a stranger in this term and has not counted in a quorum yet. */
  isNewcomer: boolean
}

/** The followers of a leader, and what a quorum of them agrees on. */
export class PeerTable {
  private readonly peers = new Map<string, PeerProgress>()

  /** Starts a leadership. */
  begin (names: readonly string[], nextIndex: number, now: number): void {
    this.peers.clear()
    for (const name of names) {
      this.peers.set(name, createProgress(nextIndex, now, true))
    }
  }

  /** Adds a replica which is no member; false if it is known. */
  addStandby (name: string, nextIndex: number, now: number): boolean {
    if (this.peers.has(name)) return false
    this.peers.set(name, { ...createProgress(nextIndex, now, false), isLearner: true, isNewcomer: true })
    return true
  }

  /** Forgets replicas which are no members and were last heard before a time. */
  dropStandbys (heardBefore: number): void {
    for (const [name, peer] of this.peers) if (!peer.isMember && peer.lastHeardAt < heardBefore) this.peers.delete(name)
  }

  /** Takes a new list of members; one which is no longer in it is forgotten. */
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

  /** The highest value which a quorum has reached, the leader's own among them. */
  agreed (own: number, valueOf: (peer: PeerProgress) => number, quorum: number): number {
    const values = [own]
    for (const peer of this.peers.values()) if (peer.isMember && !peer.isLearner) values.push(valueOf(peer))
    values.sort((a, b) => b - a)
    return values[quorum - 1] ?? 0
  }

  /** Notes a follower as a learner: what its former self acknowledged counts no more. */
  noteLearner (peer: PeerProgress, isLearner: boolean, nextRound: number): void {
    if (isLearner && !peer.isLearner) {
      peer.matchIndex = 0
      peer.learnerSince = nextRound
      peer.isNewcomer = false
    }
    if (peer.isMember && !isLearner) peer.isNewcomer = false
    peer.isLearner = isLearner
  }

  /**
   * Whether a learner may vote again: it has all committed entries, and every other member has
   * answered in this term since it came, so no vote which it forgot can elect another leader.
   */
  canPromote (name: string, commitIndex: number): boolean {
    const learner = this.peers.get(name)
    if (learner === undefined || !learner.isMember || !learner.isLearner || learner.matchIndex < commitIndex) return false
    for (const [other, peer] of this.peers) {
      if (other !== name && peer.isMember && (peer.isLearner || peer.round < learner.learnerSince)) return false
    }
    return true
  }

  /** The follower which has most of the log. */
  furthest (): string | undefined {
    return [...this.peers].filter(([, peer]) => peer.isMember && !peer.isLearner).sort((a, b) => b[1].matchIndex - a[1].matchIndex)[0]?.[0]
  }
}

function createProgress (nextIndex: number, now: number, isMember: boolean): PeerProgress {
  return { nextIndex, matchIndex: 0, round: 0, lastHeardAt: now, followedAt: now, snapshotOffset: 0, sentAt: undefined, sentIndex: 0, isLearner: false, learnerSince: 0, isMember, isNewcomer: false }
}
