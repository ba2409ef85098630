import type { ConsensusMessage } from '../../core/consensus'
import type { Failure } from '../../core/failures'
import type { Ledger, LedgerCommand, LedgerReply } from '../../core/ledger'
import type { Result } from '../../core/results'

/** Callback for the outcome of a proposal. */
export type ProposalReply = (outcome: Result<LedgerReply, Failure>) => void

/** Messages in the mailbox of a control replica's task. */
export type ControlMessage =
  | { readonly type: 'propose', readonly command: LedgerCommand, readonly reply: ProposalReply }
  | { readonly type: 'read', readonly reply: (outcome: Result<Ledger, Failure>) => void }
  | { readonly type: 'deliver', readonly from: string, readonly messages: readonly ConsensusMessage[] }
  /** A replica that is not a member asks to join. */
  | { readonly type: 'join', readonly name: string }
  /** A process that was listed as a founder of the group keeps no log, so it cannot be one. */
  | { readonly type: 'excludeFounder', readonly name: string }
  /** This replica founds the group. */
  | { readonly type: 'found' }
  | { readonly type: 'tick' }
  | { readonly type: 'transfer' }
  | { readonly type: 'stop' }
