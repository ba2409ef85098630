import { Failure } from '../../core/failures'
import type { Claim, KeptAnswer } from '../../core/ledger'
import { settled, type TaskStep } from '../mailbox'
import type { AgentTarget } from './agentClient'
import type { EntryContext } from './entryContext'

/** What the ledger says about the key of a request; `openedAt` is the earliest time of ours at which the claim was opened. */
export type ClaimEnd =
  | { readonly type: 'mine', readonly attempt: number }
  | { readonly type: 'other', readonly claim: Claim, readonly openedAt: number }
  | { readonly type: 'failed', readonly failure: Failure, readonly isUnknown: boolean }

/** Claims the idempotency key of one request in the ledger and records how it ended. */
export class ClaimKeeper {
  private chunks: Buffer[] | undefined = []
  private size = 0

  constructor (private readonly context: EntryContext, private readonly key: string, private readonly digest: string) {}

  /** Claims the key for a target, before anything is sent to it. */
  * claim (target: AgentTarget, requestId: string, formerAttempt: number | undefined): TaskStep<ClaimEnd> {
    const { control, now, bounds } = this.context
    const { key, digest } = this
    const askedAt = now()
    const claimTarget = { agent: target.agent, incarnation: target.incarnation, requestId }
    const outcome = yield * settled(control.propose(formerAttempt === undefined
      ? { type: 'openClaim', key, digest, target: claimTarget, at: now(), expiresAt: now() + bounds.claimMs }
      : { type: 'moveClaim', key, attempt: formerAttempt, target: claimTarget }))
    if (!outcome.ok) {
      if (outcome.val.code === 'claim/stale') return yield * this.read()
      // Nothing was sent: even if the claim is committed, its request id will be found not run.
      return { type: 'failed', failure: outcome.val, isUnknown: false }
    }
    if (outcome.val.type !== 'claim') return { type: 'failed', failure: new Failure('control/unavailable'), isUnknown: false }
    const { claim, isNew, ageMs } = outcome.val
    return isNew ? { type: 'mine', attempt: claim.attempt } : { type: 'other', claim, openedAt: openedBy(askedAt, ageMs) }
  }

  /** Takes a chunk of the answer, as long as it is short enough to be recorded. */
  capture (chunk: Buffer): void {
    this.size += chunk.length
    if (this.size > this.context.bounds.claimAnswerBytes) this.chunks = undefined
    this.chunks?.push(chunk)
  }

  /** Records the answer. The caller need not wait for this; the agent remembers it until then. */
  answered (attempt: number, status: number, contentType: string): void {
    const body = this.chunks === undefined ? undefined : Buffer.concat(this.chunks).toString('base64')
    this.end(attempt, 'answered', { status, contentType, ...(body === undefined ? {} : { body }) })
  }

  /** Records that an attempt was not run, or that this cannot be proved. */
  end (attempt: number, outcome: 'answered' | 'notRun' | 'unknown', answer?: KeptAnswer): void {
    this.context.control.propose({ type: 'endClaim', key: this.key, attempt, outcome, ...(answer === undefined ? {} : { answer }) })
  }

  private * read (): TaskStep<ClaimEnd> {
    const askedAt = this.context.now()
    const view = yield * settled(this.context.control.query({ type: 'claim', key: this.key }))
    if (!view.ok) return { type: 'failed', failure: view.val, isUnknown: true }
    const { claim, claimAgeMs } = view.val
    if (claim !== undefined) return { type: 'other', claim, openedAt: openedBy(askedAt, claimAgeMs) }
    return { type: 'failed', failure: new Failure('claim/unknown', { subject: this.key }), isUnknown: true }
  }
}

/** Without an age, a claim may be as old as any. */
function openedBy (askedAt: number, ageMs: number | undefined): number {
  return ageMs === undefined ? Number.NEGATIVE_INFINITY : askedAt - ageMs
}
