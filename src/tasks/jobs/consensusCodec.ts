import { array, boolean, check, exactOptional, literal, maxValue, minValue, number, object, pipe, safeInteger, string, variant, type GenericSchema } from 'valibot'
import type { ConsensusMessage } from '../../core/consensus'

/** A term, index, round, run or sequence number, counted from 0. Bounded, because one that can't be incremented would stay the highest for good. */
export const ordinal = pipe(number(), safeInteger(), minValue(0), maxValue(2 ** 52))
const names = array(string())

const entry = object({ index: ordinal, term: ordinal, payload: string(), members: exactOptional(names) })

const appendRequest = object({
  type: literal('appendRequest'),
  term: ordinal,
  previousIndex: ordinal,
  previousTerm: ordinal,
  entries: array(entry),
  commitIndex: ordinal,
  round: ordinal,
  promotes: boolean(),
  isNewcomer: boolean(),
  folder: exactOptional(ordinal)
})

/** The schema of a consensus message between two replicas. */
export const consensusShape: GenericSchema<unknown, ConsensusMessage> = variant('type', [
  // Entries must be contiguous, as the log can't store one that doesn't follow its predecessor.
  pipe(appendRequest, check(({ previousIndex, entries }) => entries.every(({ index }, position) => index === previousIndex + 1 + position), 'entries that follow each other')),
  object({ type: literal('appendReply'), term: ordinal, isAccepted: boolean(), matchIndex: ordinal, round: ordinal, isLearner: boolean(), folder: exactOptional(ordinal) }),
  object({ type: literal('voteRequest'), term: ordinal, isPreVote: boolean(), lastIndex: ordinal, lastTerm: ordinal, folder: exactOptional(ordinal) }),
  object({ type: literal('voteReply'), term: ordinal, isPreVote: boolean(), isGranted: boolean(), folder: exactOptional(ordinal) }),
  object({ type: literal('snapshotRequest'), term: ordinal, index: ordinal, snapshotTerm: ordinal, offset: ordinal, chunk: string(), isLast: boolean(), round: ordinal, members: names }),
  object({ type: literal('snapshotReply'), term: ordinal, index: ordinal, nextOffset: ordinal, isInstalled: boolean(), round: ordinal, isLearner: boolean(), folder: exactOptional(ordinal) }),
  object({ type: literal('transferRequest'), term: ordinal }),
  object({ type: literal('historyRequest'), term: ordinal }),
  object({ type: literal('historyReply'), term: ordinal, hasHistory: boolean(), currentTerm: ordinal })
])
