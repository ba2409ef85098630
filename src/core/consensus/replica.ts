import type { AppendReply, AppendRequest, ConsensusMessage, HardState, HistoryReply, LogEntry, SnapshotReply, SnapshotRequest, StateSnapshot, VoteReply, VoteRequest } from './consensusMessage'
import { EffectQueue, type ReplicaEffects } from './effectQueue'
import { Membership, chooseNextMembers, type MemberPresence } from './membership'
import { PeerTable, type PeerProgress } from './peerTable'
import { ReplicatedLog } from './replicatedLog'
import { SnapshotReceiver } from './snapshotReceiver'

/** Configuration and stored state of a replica. */
export interface ReplicaOptions {
  readonly id: string
  /** The initial voters of the group; none for a replica that is to join a group. */
  readonly members: readonly string[]
  /** The target number of voters, if enough replicas are available; the number of initial members if absent. */
  readonly wantedMembers?: number
  /** Silence after which a standby replaces a member, in milliseconds; never if absent. */
  readonly replaceAfterMs?: number
  /** The shortest time without a leader before an election, in milliseconds; the longest is twice this. */
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
  /** A random number from 0 to 1. */
  readonly random: () => number
  readonly hardState: HardState
  readonly snapshot?: StateSnapshot
  /** The stored entries after the snapshot. */
  readonly entries: readonly LogEntry[]
  /** Whether synced records were lost, possibly with votes among them. */
  readonly mayHaveLostVotes: boolean
  /** A positive integer that differs from that of earlier starts of this replica; identifies its folder if that has lost its history. */
  readonly incarnation: number
}

/** One member of the group as its leader sees it. */
export interface MemberState {
  readonly name: string
  /** Whether it counts in quorums; one that lost its folder does not until it has caught up. */
  readonly isVoter: boolean
  /** Whether it is in the list of members; a standby is not. */
  readonly isMember: boolean
  /** The last log index that it is known to hold. */
  readonly matchIndex: number
  /** Time since its last answer, in milliseconds. */
  readonly silentMs: number
}

/** Whether a replica counts in quorums; undecided if its folder was empty at the start and its peers have not answered yet. */
type ReplicaStanding = 'voter' | 'learner' | 'undecided'

type Role = 'follower' | 'candidate' | 'leader'

interface PendingRead {
  readonly id: number
  readonly round: number
  readonly index: number
}

/** The candidate of a vote that is given to no member. */
const noCandidate = ''
/**
 * How far the term of a message may be above the own one; a replica that was away for years of elections is not as far behind.
 * A term near the largest number would be kept for good, and no later election could raise it.
 */
const maximumTermLead = 2 ** 40
/** Maximum number of entries in one append request. */
const maximumBatchEntries = 512
/** Maximum number of characters of entries in one append request; a longer entry is sent alone. A fraction of what a stream may buffer. */
const maximumBatchCharacters = 512 * 1024
/** Heartbeat intervals after which unanswered entries count as lost and are sent again. */
const resendAfterHeartbeats = 2
/** Maximum number of characters in one snapshot chunk. */
const maximumChunkCharacters = 256 * 1024

/**
 * One replica of a consensus group: elections with pre-vote and quorum check,
 * log replication, membership changes, linearizable reads and snapshot transfer. It has no I/O and no clock.
 */
export class Replica {
  readonly id: string
  private readonly membership: Membership
  private readonly log: ReplicatedLog
  private role: Role = 'follower'
  private hardState: HardState
  private leader: string | undefined
  private commitIndex: number
  private electionDueAt = 0
  private heartbeatDueAt = 0
  private lastLeaderContactAt = Number.NEGATIVE_INFINITY
  private isPreVoting = false
  private isTransferring = false
  private votes = new Set<string>()
  private readonly progress = new PeerTable()
  private round = 0
  /** Start times of the rounds whose answers still count. */
  private readonly roundStartTimes = new Map<number, number>()
  private reads: PendingRead[] = []
  private snapshot: StateSnapshot | undefined
  private standing: ReplicaStanding
  private historyRequestDueAt = 0
  private readonly peersWithoutHistory = new Map<string, number>()
  private readonly snapshotReceiver = new SnapshotReceiver()

  private now = 0
  private readonly effects = new EffectQueue()

  constructor (private readonly options: ReplicaOptions) {
    this.id = options.id
    this.membership = createMembership(options)
    this.hardState = options.hardState
    this.standing = options.mayHaveLostVotes ? 'learner' : options.hardState.standing ?? 'undecided'
    if (this.standing === 'undecided' && this.membership.includes(this.id) && this.peers.length === 0) this.standing = 'voter'
    const isUnnamedLearner = this.standing === 'learner' && this.hardState.folder === undefined
    if (options.mayHaveLostVotes || isUnnamedLearner) this.hardState = { ...this.hardState, folder: options.incarnation }
    if (this.standing !== options.hardState.standing || this.hardState !== options.hardState) this.setHardState(this.hardState)
    this.snapshot = options.snapshot
    this.log = new ReplicatedLog(options.snapshot?.index ?? 0, options.snapshot?.term ?? 0, options.entries)
    this.commitIndex = this.log.snapshotIndex
  }

  /** Whether this replica counts in quorums. */
  get isVoter (): boolean { return this.standing === 'voter' }

  get isLeader (): boolean { return this.role === 'leader' }

  get term (): number { return this.hardState.term }

  /** The leader of the current term, if known. */
  get leaderId (): string | undefined { return this.leader }

  get lastIndex (): number { return this.log.lastIndex }

  get committedIndex (): number { return this.commitIndex }

  /** The state of all members and standbys at the leader; only its own state at another replica. */
  memberStates (): readonly MemberState[] {
    const own: MemberState = { name: this.id, isVoter: this.isVoter, isMember: this.membership.includes(this.id), matchIndex: this.log.lastIndex, silentMs: 0 }
    if (this.role !== 'leader') return [own]
    return [own, ...[...this.progress.all()].map(([name, peer]) => ({
      name,
      isVoter: !peer.isLearner,
      isMember: peer.isMember,
      matchIndex: peer.matchIndex,
      silentMs: this.now - peer.lastAnswerAt
    }))]
  }

  /** The members of the group as far as this replica knows. */
  get members (): readonly string[] { return this.membership.current }

  /**
   * Whether a quorum has followed this leader recently. An answer may be read long after it was sent, so it counts from the
   * start of the round that it answers.
   */
  isQuorumActiveAt (now: number): boolean {
    const quorumFollowedAt = this.progress.quorumValue(now, peer => peer.answeredRoundStartedAt, this.membership.quorum)
    return now - quorumFollowedAt < this.quorumTimeoutMs
  }

  /** How long a leader that has lost its quorum may still consider itself leader, in milliseconds. */
  private get quorumTimeoutMs (): number { return 2 * this.options.electionTimeoutMs }

  /** Sets the current time and schedules the first election. */
  start (now: number): void {
    this.now = now
    this.resetElection()
  }

  /** Advances the time and performs the actions that are due. */
  tick (now: number): void {
    this.now = now
    if (this.standing === 'undecided') this.requestHistory()
    if (this.role === 'leader') this.tickLeader()
    else if (now >= this.electionDueAt) this.startElection(true)
  }

  /** Appends commands and returns the index of the first one; undefined if this replica is not the leader or is transferring leadership. */
  propose (payloads: readonly string[], now: number): number | undefined {
    this.now = now
    if (this.role !== 'leader' || this.isTransferring) return undefined
    const first = this.log.lastIndex + 1
    for (const payload of payloads) this.appendAsLeader(payload)
    this.replicate()
    this.advanceCommit()
    return first
  }

  /** Requests a linearizable read; its id is returned in the effects. */
  read (id: number, now: number): void {
    this.now = now
    // Before an entry of its own term is committed, a leader may not know all committed entries.
    if (this.role !== 'leader' || !this.hasCommittedInTerm) {
      this.effects.refuseReads([id])
      return
    }
    this.beginRound()
    this.reads.push({ id, round: this.round, index: this.commitIndex })
    this.heartbeat()
    this.releaseReads()
  }

  /** Handles a message from another replica. */
  receive (from: string, message: ConsensusMessage, now: number): void {
    this.now = now
    if (this.isIgnorable(message)) return
    // A group with a leader has written log entries, so the empty folder of this replica is not a new one.
    if (this.standing === 'undecided' && isFromLeader(message)) this.becomeLearner()
    if (this.standing === 'undecided' && !isAboutHistory(message)) return
    if (message.term > this.term && !isPreVoteTraffic(message)) this.becomeFollower(message.term)
    switch (message.type) {
      case 'voteRequest': return this.onVoteRequest(from, message)
      case 'voteReply': return this.onVoteReply(from, message)
      case 'appendRequest': return this.onAppendRequest(from, message)
      case 'appendReply': return this.onAppendReply(from, message)
      case 'snapshotRequest': return this.onSnapshotRequest(from, message)
      case 'snapshotReply': return this.onSnapshotReply(from, message)
      case 'historyRequest': return this.send(from, { type: 'historyReply', term: 0, hasHistory: this.log.lastIndex > 0, currentTerm: this.term })
      case 'historyReply': return this.onHistoryReply(from, message)
      case 'transferRequest':
        if (message.term === this.term && this.role === 'follower') this.startElection(false)
    }
  }

  /** Adds a replica that is not a member as a standby; it replicates the log and can replace a lost member. */
  join (name: string, now: number): void {
    this.now = now
    if (this.role !== 'leader' || name === this.id) return
    this.progress.addStandby(name, this.log.lastIndex + 1, now)
  }

  /**
   * Removes a process that keeps no log from the initial list of members. The process never votes, so every
   * quorum of the longer list is a quorum of the shorter list as well.
   */
  excludeFounder (name: string, now: number): void {
    this.now = now
    if (!this.hasNoLogEntries || !this.membership.includes(name)) return
    this.membership.begin(this.membership.current.filter(member => member !== name))
    this.peersWithoutHistory.delete(name)
    this.decideStanding()
  }

  /** Founds the group with this replica as its only member, unless this replica knows of members. */
  found (now: number): void {
    this.now = now
    if (!this.hasNoLogEntries || this.standing !== 'undecided' || this.membership.current.length > 0) return
    this.membership.begin([this.id])
    this.becomeInitialVoter()
  }

  /**
   * Transfers leadership to a follower for a graceful shutdown. The follower must hold the whole log, as no other can be
   * elected; new commands are refused until there is one.
   */
  transferLeadership (): void {
    if (this.role !== 'leader') return
    this.isTransferring = true
    this.replicate()
    this.transferIfPossible()
  }

  /** Requests an immediate election at the most up-to-date follower, even if it lacks entries; for a leader that can no longer write to disk. */
  forceLeadershipTransfer (): void {
    if (this.role !== 'leader') return
    const successor = this.progress.findMostUpToDate()
    if (successor !== undefined) this.send(successor, { type: 'transferRequest', term: this.term })
  }

  private transferIfPossible (): void {
    const successor = this.progress.findMostUpToDate()
    if (successor === undefined || (this.progress.find(successor)?.matchIndex ?? 0) < this.log.lastIndex) return
    this.send(successor, { type: 'transferRequest', term: this.term })
  }

  /** Replaces the log up to an applied index by a snapshot of that index. */
  compact (snapshot: StateSnapshot): void {
    if (snapshot.index <= this.log.snapshotIndex || snapshot.index > this.commitIndex) return
    this.log.compact(snapshot.index, snapshot.term)
    this.membership.compact(snapshot.index)
    this.snapshot = snapshot
  }

  /** The members at an index that the log still covers. */
  membersAt (index: number): readonly string[] { return this.membership.at(index) }

  /** The entries after an index. */
  entriesAfter (index: number): readonly LogEntry[] {
    return this.log.slice(index + 1, this.log.lastIndex)
  }

  /** The term of an entry; undefined if the log does not hold it. */
  termAt (index: number): number | undefined {
    return this.log.termAt(index)
  }

  /** Returns the effects since the last call. */
  takeEffects (): ReplicaEffects {
    return this.effects.take()
  }

  /** A replica in contact with its leader ignores pre-votes, so a replica that returns cannot disturb the group. No replica adopts a term that elections can't have reached. */
  private isIgnorable (message: ConsensusMessage): boolean {
    if (highestTermIn(message) - this.term > maximumTermLead) return true
    if (message.type !== 'voteRequest' || message.term <= this.term) return false
    const hasLeaderContact = this.now - this.lastLeaderContactAt < this.options.electionTimeoutMs
    return message.isPreVote && (this.role === 'leader' || hasLeaderContact)
  }

  private tickLeader (): void {
    if (this.now >= this.heartbeatDueAt) {
      this.beginRound()
      this.heartbeat()
    }
    if (!this.isQuorumActiveAt(this.now)) this.becomeFollower(this.term)
    else this.changeMembersIfDue()
  }

  private beginRound (): void {
    this.round += 1
    this.roundStartTimes.set(this.round, this.now)
    for (const [round, startedAt] of this.roundStartTimes) {
      if (this.now - startedAt < this.quorumTimeoutMs) break
      this.roundStartTimes.delete(round)
    }
  }

  private get folder (): number { return this.hardState.folder ?? 0 }

  private get hasCommittedInTerm (): boolean { return this.log.termAt(this.commitIndex) === this.term }

  private get peers (): readonly string[] {
    return this.membership.current.filter(member => member !== this.id)
  }

  /** Makes one change at a time, and only once an entry of the own term is committed, so that any two successive lists have overlapping quorums. */
  private changeMembersIfDue (): void {
    const { replaceAfterMs } = this.options
    if (replaceAfterMs === undefined || this.membership.index > this.commitIndex || !this.hasCommittedInTerm) return
    this.progress.dropStandbys(this.now - 2 * replaceAfterMs)
    const members: MemberPresence[] = [{ name: this.id, silentMs: 0, isCaughtUp: true }]
    const standbys: MemberPresence[] = []
    for (const [name, peer] of this.progress.all()) {
      const presence = { name, silentMs: this.now - peer.lastAnswerAt, isCaughtUp: peer.matchIndex >= this.commitIndex && !peer.isLearner }
      if (peer.isMember) members.push(presence)
      else standbys.push(presence)
    }
    const next = chooseNextMembers({ leader: this.id, members, standbys, wantedMembers: this.options.wantedMembers ?? this.options.members.length, lostAfterMs: replaceAfterMs })
    if (next === undefined) return
    this.appendAsLeader('', next)
    this.progress.setMembers(next)
    this.replicate()
  }

  private resetElection (): void {
    this.electionDueAt = this.now + this.options.electionTimeoutMs * (1 + this.options.random())
  }

  private startElection (isPreVote: boolean): void {
    this.resetElection()
    if (this.standing !== 'voter' || !this.membership.includes(this.id)) return
    this.role = 'candidate'
    this.leader = undefined
    this.isPreVoting = isPreVote
    this.votes = new Set([this.id])
    if (!isPreVote) this.setHardState({ term: this.term + 1, votedFor: this.id })
    const request: VoteRequest = {
      type: 'voteRequest',
      term: isPreVote ? this.term + 1 : this.term,
      isPreVote,
      lastIndex: this.log.lastIndex,
      lastTerm: this.log.lastTerm,
      folder: this.folder
    }
    for (const peer of this.peers) this.send(peer, request)
    this.countVotes()
  }

  private countVotes (): void {
    if (this.votes.size < this.membership.quorum) return
    if (this.isPreVoting) this.startElection(false)
    else this.becomeLeader()
  }

  private becomeLeader (): void {
    this.role = 'leader'
    this.leader = this.id
    this.isTransferring = false
    this.reads = []
    this.progress.begin(this.peers, this.log.lastIndex + 1, this.now)
    // The first entry of a term repeats the members, so that a log without a snapshot contains them as well.
    this.appendAsLeader('', this.membership.current)
    this.beginRound()
    this.heartbeat()
    this.advanceCommit()
  }

  private becomeFollower (term: number, leader?: string): void {
    if (term > this.term) this.setHardState({ term })
    if (this.role !== 'follower') this.resetElection()
    this.role = 'follower'
    this.leader = leader
    this.effects.refuseReads(this.reads.map(read => read.id))
    this.reads = []
  }

  private onVoteRequest (from: string, request: VoteRequest): void {
    const isFree = request.isPreVote
      ? request.term > this.term
      : request.term === this.term && (this.hardState.votedFor === undefined || this.hardState.votedFor === from)
    const isCurrent = request.lastTerm > this.log.lastTerm ||
      (request.lastTerm === this.log.lastTerm && request.lastIndex >= this.log.lastIndex)
    const isGranted = this.standing === 'voter' && isFree && isCurrent
    if (isGranted && !request.isPreVote) {
      this.setHardState({ term: this.term, votedFor: from })
      this.resetElection()
    }
    const term = isGranted ? request.term : this.term
    this.send(from, { type: 'voteReply', term, isPreVote: request.isPreVote, isGranted, ...(request.folder === undefined ? {} : { folder: request.folder }) })
  }

  private onVoteReply (from: string, reply: VoteReply): void {
    if (this.role !== 'candidate' || reply.isPreVote !== this.isPreVoting) return
    if (!reply.isGranted) {
      if (reply.term > this.term) this.becomeFollower(reply.term)
      return
    }
    if (reply.term !== (this.isPreVoting ? this.term + 1 : this.term)) return
    // The vote was for a candidacy that was lost with a folder; the voter may have voted again since.
    if (reply.folder !== undefined && reply.folder !== this.folder) return
    if (this.membership.includes(from)) this.votes.add(from)
    this.countVotes()
  }

  private onAppendRequest (from: string, request: AppendRequest): void {
    if (request.term < this.term) {
      this.answerAppend(from, false, 0, request.round)
      return
    }
    this.followLeader(from, request.term)
    // A new replica cannot have lost a vote. It must be a voter before any list names it, as the entry with the list may reach no other replica.
    const isForThisFolder = request.folder === undefined || request.folder === this.folder
    if (request.isNewcomer && isForThisFolder && this.standing === 'learner') this.becomeVoter(from)
    if (this.log.termAt(request.previousIndex) !== request.previousTerm) {
      this.answerAppend(from, false, this.retryIndex(request.previousIndex), request.round)
      return
    }
    for (const entry of request.entries) this.appendFromLeader(entry)
    const matched = request.previousIndex + request.entries.length
    this.commitTo(Math.min(request.commitIndex, matched))
    // A folder may be lost more than once, so what the leader knows of a learner may be from before the latest loss.
    if (request.promotes && isForThisFolder && this.standing === 'learner' && matched >= request.commitIndex) this.becomeVoter(from)
    this.answerAppend(from, true, matched, request.round)
  }

  private followLeader (leader: string, term: number): void {
    this.becomeFollower(term, leader)
    this.lastLeaderContactAt = this.now
    this.resetElection()
  }

  /** The previous index that the leader should try next: before the conflicting term, but not before the snapshot or the committed entries. */
  private retryIndex (previousIndex: number): number {
    if (previousIndex > this.log.lastIndex) return this.log.lastIndex
    if (previousIndex <= this.log.snapshotIndex) return this.log.snapshotIndex
    const conflicting = this.log.termAt(previousIndex)
    let index = previousIndex
    while (index > this.log.snapshotIndex + 1 && this.log.termAt(index) === conflicting) index -= 1
    return Math.max(index - 1, this.commitIndex)
  }

  private appendFromLeader (entry: LogEntry): void {
    if (entry.index <= this.log.snapshotIndex) return
    const known = this.log.termAt(entry.index)
    if (known === entry.term) return
    if (known !== undefined) this.truncate(entry.index)
    this.log.append(entry)
    if (entry.members !== undefined) this.membership.append(entry.index, entry.members)
    this.effects.append(entry)
  }

  private truncate (index: number): void {
    this.log.truncateFrom(index)
    this.membership.truncateFrom(index)
    this.effects.truncateFrom(index)
  }

  private answerAppend (to: string, isAccepted: boolean, matchIndex: number, round: number): void {
    this.send(to, { type: 'appendReply', term: this.term, isAccepted, matchIndex, round, ...this.describeStanding() })
  }

  private describeStanding (): { readonly isLearner: boolean, readonly folder: number } {
    return { isLearner: this.standing !== 'voter', folder: this.folder }
  }

  private onAppendReply (from: string, reply: AppendReply): void {
    const peer = this.recordAnswer(from, reply)
    if (peer === undefined) return
    if (reply.isAccepted) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.matchIndex)
      peer.nextIndex = Math.max(peer.nextIndex, peer.matchIndex + 1)
      if (peer.matchIndex >= peer.sentIndex) peer.sentAt = undefined
      this.advanceCommit()
      if (this.isTransferring) this.transferIfPossible()
    } else {
      peer.sentAt = undefined
      // The peer lacks entries that it acknowledged, so its folder was lost. If the answer is only late, entries are sent again needlessly.
      if (reply.matchIndex < peer.matchIndex) peer.matchIndex = 0
      peer.nextIndex = Math.max(peer.matchIndex + 1, Math.min(peer.nextIndex - 1, reply.matchIndex + 1))
    }
    this.releaseReads()
    if (!reply.isAccepted || (!this.hasRequestInFlight(peer) && peer.nextIndex <= this.log.lastIndex)) this.sendAppend(from, peer)
  }

  private recordAnswer (from: string, reply: AppendReply | SnapshotReply): PeerProgress | undefined {
    const { term, round } = reply
    if (this.role !== 'leader' || term !== this.term) return undefined
    // No follower has answered this: it would count in quorums for entries and rounds that don't exist yet.
    if (round > this.round || acknowledgedIndex(reply) > this.log.lastIndex) return undefined
    const peer = this.progress.find(from)
    if (peer === undefined) return undefined
    peer.lastAnswerAt = this.now
    peer.answeredRoundStartedAt = Math.max(peer.answeredRoundStartedAt, this.roundStartTimes.get(round) ?? peer.answeredRoundStartedAt)
    peer.round = Math.max(peer.round, round)
    return this.progress.updateStanding(peer, reply, this.round + 1) ? peer : undefined
  }

  private onSnapshotRequest (from: string, request: SnapshotRequest): void {
    if (request.term < this.term) return
    this.followLeader(from, request.term)
    if (request.index <= this.commitIndex) {
      this.send(from, { type: 'snapshotReply', term: this.term, index: this.commitIndex, nextOffset: 0, isInstalled: true, round: request.round, ...this.describeStanding() })
      return
    }
    const nextOffset = this.snapshotReceiver.addChunk(request)
    const isInstalled = request.isLast && nextOffset === request.offset + request.chunk.length
    if (isInstalled) this.installSnapshot(request)
    this.send(from, { type: 'snapshotReply', term: this.term, index: request.index, nextOffset, isInstalled, round: request.round, ...this.describeStanding() })
  }

  private installSnapshot (request: SnapshotRequest): void {
    const snapshot = { index: request.index, term: request.snapshotTerm, payload: this.snapshotReceiver.finish(), members: request.members }
    this.log.compact(snapshot.index, snapshot.term)
    this.membership.reset(snapshot.index, request.members, this.log.lastIndex)
    this.snapshot = snapshot
    this.effects.restore(snapshot, this.log.lastIndex === snapshot.index)
    this.commitIndex = snapshot.index
  }

  private onSnapshotReply (from: string, reply: SnapshotReply): void {
    const peer = this.recordAnswer(from, reply)
    if (peer === undefined) return
    peer.sentAt = undefined
    if (reply.isInstalled) {
      peer.matchIndex = Math.max(peer.matchIndex, reply.index)
      peer.nextIndex = peer.matchIndex + 1
      peer.snapshotOffset = 0
    } else {
      peer.snapshotOffset = reply.nextOffset
    }
    this.advanceCommit()
    this.releaseReads()
    if (peer.nextIndex <= this.log.lastIndex) this.sendAppend(from, peer)
  }

  private appendAsLeader (payload: string, members?: readonly string[]): void {
    const entry: LogEntry = { index: this.log.lastIndex + 1, term: this.term, payload, ...(members === undefined ? {} : { members }) }
    this.log.append(entry)
    if (members !== undefined) this.membership.append(entry.index, members)
    this.effects.append(entry)
  }

  /** Sends new entries to peers that have nothing in flight; the others are sent them when they answer. */
  private replicate (): void {
    for (const [peer, progress] of this.progress.all()) {
      if (progress.sentAt === undefined) this.sendAppend(peer, progress)
    }
  }

  private heartbeat (): void {
    this.heartbeatDueAt = this.now + this.options.heartbeatMs
    for (const [peer, progress] of this.progress.all()) this.sendAppend(peer, progress)
  }

  /** Whether an answer to the last entries or snapshot chunk may still arrive. */
  private hasRequestInFlight ({ sentAt }: PeerProgress): boolean {
    return sentAt !== undefined && this.now - sentAt < resendAfterHeartbeats * this.options.heartbeatMs
  }

  /** The first index that a peer neither holds nor is being sent. */
  private firstUnsent (peer: PeerProgress): number {
    return this.hasRequestInFlight(peer) ? Math.max(peer.nextIndex, peer.sentIndex + 1) : peer.nextIndex
  }

  /**
   * Sends unacknowledged entries, or a snapshot chunk if the log no longer reaches back. One request with entries is in flight
   * at a time, so that a peer which doesn't answer costs a bounded amount of memory; meanwhile only heartbeats are sent.
   */
  private sendAppend (to: string, peer: PeerProgress): void {
    if (peer.nextIndex <= this.log.snapshotIndex) {
      if (!this.hasRequestInFlight(peer)) this.sendSnapshot(to, peer)
      return
    }
    const first = this.firstUnsent(peer)
    const previousIndex = first - 1
    const entries = this.hasRequestInFlight(peer) ? [] : this.log.batch(first, maximumBatchEntries, maximumBatchCharacters)
    if (entries.length > 0) {
      peer.sentAt = this.now
      peer.sentIndex = previousIndex + entries.length
    }
    this.send(to, {
      type: 'appendRequest',
      term: this.term,
      previousIndex,
      previousTerm: this.log.termAt(previousIndex) ?? 0,
      entries,
      commitIndex: this.commitIndex,
      round: this.round,
      promotes: this.progress.canPromote(to, { commitIndex: this.commitIndex, hasCommittedInTerm: this.hasCommittedInTerm }),
      isNewcomer: peer.isNewcomer,
      folder: peer.folder ?? 0
    })
  }

  private sendSnapshot (to: string, peer: PeerProgress): void {
    const snapshot = this.snapshot
    if (snapshot === undefined) return
    const offset = Math.min(peer.snapshotOffset, snapshot.payload.length)
    const chunk = snapshot.payload.slice(offset, offset + maximumChunkCharacters)
    peer.sentAt = this.now
    this.send(to, {
      type: 'snapshotRequest',
      term: this.term,
      index: snapshot.index,
      snapshotTerm: snapshot.term,
      offset,
      chunk,
      isLast: offset + chunk.length === snapshot.payload.length,
      round: this.round,
      members: snapshot.members ?? this.options.members
    })
  }

  private advanceCommit (): void {
    const quorumIndex = this.progress.quorumValue(this.log.lastIndex, peer => peer.matchIndex, this.membership.quorum)
    // Only entries of the own term are committed by counting replicas; they commit the older entries with them.
    if (this.log.termAt(quorumIndex) === this.term) this.commitTo(quorumIndex)
  }

  private commitTo (index: number): void {
    if (index <= this.commitIndex) return
    this.effects.commit(this.log.slice(this.commitIndex + 1, index))
    this.commitIndex = index
  }

  private releaseReads (): void {
    const confirmed = this.progress.quorumValue(this.round, peer => peer.round, this.membership.quorum)
    this.effects.confirmReads(this.reads.filter(read => read.round <= confirmed).map(read => read.id))
    this.reads = this.reads.filter(read => read.round > confirmed)
  }

  private requestHistory (): void {
    if (this.now < this.historyRequestDueAt) return
    this.historyRequestDueAt = this.now + this.options.heartbeatMs
    for (const peer of this.peers) this.send(peer, { type: 'historyRequest', term: 0 })
  }

  /** An empty folder counts as new only if all other replicas have no history either; a replica whose folder was emptied has lost its votes. */
  private onHistoryReply (from: string, reply: HistoryReply): void {
    if (this.standing !== 'undecided') return
    if (reply.hasHistory) {
      this.becomeLearner()
      return
    }
    this.peersWithoutHistory.set(from, reply.currentTerm)
    this.decideStanding()
  }

  private get hasNoLogEntries (): boolean {
    return this.log.lastIndex === 0 && this.membership.index === 0
  }

  private decideStanding (): void {
    const isAnswered = this.membership.current.length > 0 && this.peers.every(peer => this.peersWithoutHistory.has(peer))
    if (this.standing === 'undecided' && isAnswered) this.becomeInitialVoter()
  }

  private becomeLearner (): void {
    this.standing = 'learner'
    this.setHardState({ ...this.hardState, folder: this.options.incarnation })
  }

  /** A lost vote went to a candidate whose term is not above the highest term among the answers, so this replica does not vote up to that term. */
  private becomeInitialVoter (): void {
    this.standing = 'voter'
    const term = Math.max(0, ...this.peersWithoutHistory.values())
    this.setHardState(term > 0 ? { term, votedFor: noCandidate } : { term })
  }

  /** Called once the leader has ensured that no lost vote can elect another leader. */
  private becomeVoter (leader: string): void {
    this.standing = 'voter'
    this.setHardState({ term: this.term, votedFor: leader })
  }

  private setHardState ({ term, votedFor, folder = this.hardState.folder }: HardState): void {
    this.hardState = {
      term,
      ...(votedFor === undefined ? {} : { votedFor }),
      ...(folder === undefined ? {} : { folder }),
      ...(this.standing === 'undecided' ? {} : { standing: this.standing })
    }
    this.effects.persistHardState(this.hardState)
  }

  private send (to: string, message: ConsensusMessage): void {
    this.effects.send({ to, message })
  }
}

/** The newest list in the stored log, else that of the snapshot, else the initial one. */
function createMembership ({ members, snapshot, entries }: ReplicaOptions): Membership {
  const membership = new Membership(members)
  if (snapshot?.members !== undefined) membership.reset(snapshot.index, snapshot.members, snapshot.index)
  for (const entry of entries) if (entry.members !== undefined) membership.append(entry.index, entry.members)
  return membership
}

function highestTermIn (message: ConsensusMessage): number {
  return message.type === 'historyReply' ? Math.max(message.term, message.currentTerm) : message.term
}

/** The last index that a reply acknowledges; 0 if it acknowledges none. */
function acknowledgedIndex (reply: AppendReply | SnapshotReply): number {
  if (reply.type === 'appendReply') return reply.isAccepted ? reply.matchIndex : 0
  return reply.isInstalled ? reply.index : 0
}

function isFromLeader (message: ConsensusMessage): boolean {
  return message.type === 'appendRequest' || message.type === 'snapshotRequest'
}

function isAboutHistory (message: ConsensusMessage): boolean {
  return message.type === 'historyRequest' || message.type === 'historyReply'
}

function isPreVoteTraffic (message: ConsensusMessage): boolean {
  if (message.type === 'voteRequest') return message.isPreVote
  return message.type === 'voteReply' && message.isPreVote && message.isGranted
}
