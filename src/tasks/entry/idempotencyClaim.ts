import { Failure } from '../../core/failures'
import type { Claim, KeptAnswer } from '../../core/ledger'
import { awaitPromise, type TaskStep } from '../mailbox'
import type { AgentTarget } from './agentClient'
import type { EntryContext } from './entryContext'

/** The result of claiming a key: won, held by another request, or failed; `openedAt` is the earliest time, by this process's clock, at which the claim can have been opened. */
export type ClaimResult =
  | { readonly type: 'mine', readonly attempt: number }
  | { readonly type: 'other', readonly claim: Claim, readonly openedAt: number }
  | { readonly type: 'failed', readonly failure: Failure, readonly isUnknown: boolean }

/** The claim of one request to its idempotency key: opens it in the ledger and records how the request ended. */
export class IdempotencyClaim {
  private chunks: Buffer[] | undefined = []
  private size = 0

  constructor (private readonly context: EntryContext, private readonly key: string, private readonly digest: string) {}

  /** Claims the key for a target before anything is sent to it; with a former attempt, moves that claim to the target. */
  * claim (target: AgentTarget, requestId: string, formerAttempt: number | undefined): TaskStep<ClaimResult> {
    const { control, now, bounds } = this.context
    const { key, digest } = this
    const requestedAt = now()
    const claimTarget = { agent: target.agent, incarnation: target.incarnation, requestId }
    const outcome = yield * awaitPromise(control.propose(formerAttempt === undefined
      ? { type: 'openClaim', key, digest, target: claimTarget, at: now(), expiresAt: now() + bounds.claimMs }
      : { type: 'moveClaim', key, attempt: formerAttempt, target: claimTarget }))
    if (!outcome.ok) {
      if (outcome.val.code === 'claim/stale') return yield * this.read()
      // Nothing was sent: even if the claim is committed, the agent reports its request id as not run.
      return { type: 'failed', failure: outcome.val, isUnknown: false }
    }
    if (outcome.val.type !== 'claim') return { type: 'failed', failure: new Failure('control/unavailable'), isUnknown: false }
    const { claim, isNew, ageMs } = outcome.val
    return isNew ? { type: 'mine', attempt: claim.attempt } : { type: 'other', claim, openedAt: computeEarliestOpening(requestedAt, ageMs) }
  }

  /** Buffers a chunk of the answer; an answer over the size limit is recorded without its body. */
  capture (chunk: Buffer): void {
    this.size += chunk.length
    if (this.size > this.context.bounds.claimAnswerBytes) this.chunks = undefined
    this.chunks?.push(chunk)
  }

  /** Records the answer without waiting for the commit; until then the agent keeps the answer. */
  answered (attempt: number, status: number, contentType: string): void {
    const body = this.chunks === undefined ? undefined : Buffer.concat(this.chunks).toString('base64')
    this.end(attempt, 'answered', { status, contentType, ...(body === undefined ? {} : { body }) })
  }

  /** Records the outcome of an attempt without waiting for the commit. */
  end (attempt: number, outcome: 'answered' | 'notRun' | 'unknown', answer?: KeptAnswer): void {
    this.context.control.propose({ type: 'endClaim', key: this.key, attempt, outcome, ...(answer === undefined ? {} : { answer }) })
  }

  private * read (): TaskStep<ClaimResult> {
    const requestedAt = this.context.now()
    const view = yield * awaitPromise(this.context.control.query({ type: 'claim', key: this.key }))
    if (!view.ok) return { type: 'failed', failure: view.val, isUnknown: true }
    const { claim, claimAgeMs } = view.val
    if (claim !== undefined) return { type: 'other', claim, openedAt: computeEarliestOpening(requestedAt, claimAgeMs) }
    return { type: 'failed', failure: new Failure('claim/unknown', { subject: this.key }), isUnknown: true }
  }
}

/** A claim without an age can have been opened at any earlier time. */
function computeEarliestOpening (requestedAt: number, ageMs: number | undefined): number {
  return ageMs === undefined ? Number.NEGATIVE_INFINITY : requestedAt - ageMs
}
