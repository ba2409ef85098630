import type { ConsensusMessage } from '../../core/consensus'
import type { Failure } from '../../core/failures'
import type { Ledger, LedgerCommand, LedgerReply } from '../../core/ledger'
import type { Result } from '../../core/results'

/** Takes the outcome of a proposal. */
export type ProposalReply = (outcome: Result<LedgerReply, Failure>) => void

/** A message to the task of a control replica. */
export type ControlMessage =
  | { readonly type: 'propose', readonly command: LedgerCommand, readonly reply: ProposalReply }
  | { readonly type: 'read', readonly reply: (outcome: Result<Ledger, Failure>) => void }
  | { readonly type: 'deliver', readonly from: string, readonly messages: readonly ConsensusMessage[] }
  /** A replica which is no member offers itself. */
  | { readonly type: 'join', readonly name: string }
  /** A process which the group was to begin with keeps no log. */
  | { readonly type: 'excludeFounder', readonly name: string }
  /** This replica is to begin the group. */
  | { readonly type: 'found' }
  | { readonly type: 'tick' }
  | { readonly type: 'transfer' }
  | { readonly type: 'stop' }
