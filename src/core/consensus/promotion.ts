/** What a leader knows of a learner that is to vote again. */
export interface LearnerView {
  /** The last index that it holds. */
  readonly matchIndex: number
  /** The first heartbeat round that started after the leader learned that it is a learner. */
  readonly learnerSinceRound: number
}

/** What a leader knows of another member, as far as promotions depend on it. */
export interface PeerView {
  readonly isLearner: boolean
  /** The newest heartbeat round that it answered. */
  readonly round: number
}

/** What a leader knows of its own log, as far as promotions depend on it. */
export interface LeaderView {
  readonly commitIndex: number
  /** Whether an entry of the leader's term is committed, so that `commitIndex` covers everything that former leaders committed. */
  readonly hasCommittedInTerm: boolean
}

/**
 * Whether a learner may vote again. Nothing that it forgot may matter any more: it holds all committed entries, so each
 * acknowledgement that it gave counts again; and every other voter has followed this leader since the loss, so none was a
 * candidate of a later term then, for which the learner may have voted. Other learners are not waited for: a candidacy that
 * they have lost can't be resumed, and a leader of a later term would have been followed by one of the voters.
 */
export function canVoteAgain (learner: LearnerView, others: Iterable<PeerView>, leader: LeaderView): boolean {
  if (!leader.hasCommittedInTerm || learner.matchIndex < leader.commitIndex) return false
  for (const { isLearner, round } of others) if (!isLearner && round < learner.learnerSinceRound) return false
  return true
}
