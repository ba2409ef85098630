/** One record of the replicated log. */
export interface LogEntry {
  readonly index: number
  readonly term: number
  /** The command as text, opaque to the consensus. */
  readonly payload: string
  /** The members from this entry on; absent if the entry carries no list. */
  readonly members?: readonly string[]
}

/** The term and vote that a replica must keep across restarts. */
export interface HardState {
  readonly term: number
  readonly votedFor?: string
  /** Absent until the replica knows whether its group has written any log entries. */
  readonly standing?: 'voter' | 'learner'
  /** Identifies the folder of a replica that lost an earlier one; absent for one that the replica has had since its group was founded. */
  readonly folder?: number
}

/** The state machine at a log index, as text. */
export interface StateSnapshot {
  readonly index: number
  readonly term: number
  readonly payload: string
  /** The members at that index. */
  readonly members?: readonly string[]
}

/** Asks for a vote; a pre-vote changes nothing at the voter. */
export interface VoteRequest {
  readonly type: 'voteRequest'
  readonly term: number
  readonly isPreVote: boolean
  readonly lastIndex: number
  readonly lastTerm: number
  /** The folder of the candidate, 0 for its first one; absent in requests of earlier versions. */
  readonly folder?: number
}

/** Answers a vote request. */
export interface VoteReply {
  readonly type: 'voteReply'
  readonly term: number
  readonly isPreVote: boolean
  readonly isGranted: boolean
  /** The folder named by the request; absent in replies of earlier versions. */
  readonly folder?: number
}

/** Replicates log entries; without entries it is a heartbeat. */
export interface AppendRequest {
  readonly type: 'appendRequest'
  readonly term: number
  readonly previousIndex: number
  readonly previousTerm: number
  readonly entries: readonly LogEntry[]
  readonly commitIndex: number
  /** Number of the heartbeat round, for reads and the quorum check. */
  readonly round: number
  /** Whether the receiver, if it is a learner, becomes a voter. */
  readonly promotes: boolean
  /** Whether the receiver joined as a new replica, so that it cannot have lost a vote. */
  readonly isNewcomer: boolean
  /** The folder of the receiver as the leader knows it, 0 for its first one or before an answer; only that one becomes a voter. Absent in requests of earlier versions. */
  readonly folder?: number
}

/** Answers an append request. */
export interface AppendReply {
  readonly type: 'appendReply'
  readonly term: number
  readonly isAccepted: boolean
  /** The last index that matches the leader's log; in a rejection, the previous index that the leader should try next. */
  readonly matchIndex: number
  readonly round: number
  readonly isLearner: boolean
  /** The folder of the sender, 0 for its first one; absent in replies of earlier versions. */
  readonly folder?: number
}

/** Transfers one chunk of a snapshot. */
export interface SnapshotRequest {
  readonly type: 'snapshotRequest'
  readonly term: number
  readonly index: number
  readonly snapshotTerm: number
  readonly offset: number
  readonly chunk: string
  readonly isLast: boolean
  readonly round: number
  readonly members: readonly string[]
}

/** Acknowledges a snapshot chunk with the next expected offset. */
export interface SnapshotReply {
  readonly type: 'snapshotReply'
  readonly term: number
  readonly index: number
  readonly nextOffset: number
  readonly isInstalled: boolean
  readonly round: number
  readonly isLearner: boolean
  /** The folder of the sender, 0 for its first one; absent in replies of earlier versions. */
  readonly folder?: number
}

/** Asks a follower to start an election at once, because the leader shuts down. */
export interface TransferRequest {
  readonly type: 'transferRequest'
  readonly term: number
}

/** Asks whether the group has written anything yet; sent by a replica with an empty folder. */
export interface HistoryRequest {
  readonly type: 'historyRequest'
  readonly term: number
}

/** Answers a history request. */
export interface HistoryReply {
  readonly type: 'historyReply'
  readonly term: number
  readonly hasHistory: boolean
  /** The sender's term; the receiver may have lost a vote that it gave in this or an earlier term. */
  readonly currentTerm: number
}

/** A message between two replicas. */
export type ConsensusMessage =
  | VoteRequest | VoteReply | AppendRequest | AppendReply
  | SnapshotRequest | SnapshotReply | TransferRequest | HistoryRequest | HistoryReply

/** A message with its receiver. */
export interface Envelope {
  readonly to: string
  readonly message: ConsensusMessage
}
