import { Failure } from '../failures'
import { Err, Ok, type Result } from '../results'
import type { EndClaim, MoveClaim, OpenClaim } from './ledgerCommand'
import type { Claim } from './ledgerRecords'

/** A claim, and whether this command opened it. */
export interface OpenedClaim {
  readonly claim: Claim
  readonly isNew: boolean
  /** Time since the claim was opened, in milliseconds; absent if not known. */
  readonly ageMs?: number
}

/** The claims of idempotency keys: which agent runs a keyed request, and how it ended. */
export class ClaimBook {
  private readonly claims = new Map<string, Claim>()

  /** Opens a claim, or returns the one that already holds the key. A claim whose request was not run is replaced by a new attempt. */
  open (command: OpenClaim): Result<OpenedClaim, Failure> {
    this.forgetExpired(command.at)
    const current = this.claims.get(command.key)
    if (current === undefined) return Ok(this.start(command, 1))
    if (current.digest !== command.digest) {
      return Err(new Failure('request/duplicate', { subject: command.key, expected: 'the same request', got: 'another body or path' }))
    }
    // The same request id is a resend of this command by the entry process that opened the claim.
    if (current.target.requestId === command.target.requestId) return Ok({ claim: current, isNew: current.state === 'open', ...ageOf(current, command.at) })
    if (current.state === 'notRun') return Ok(this.start(command, current.attempt + 1))
    return Ok({ claim: current, isNew: false, ...ageOf(current, command.at) })
  }

  /** Moves an open claim to another target as a new attempt; a resend returns the moved claim. */
  move (command: MoveClaim): Result<Claim, Failure> {
    const current = this.claims.get(command.key)
    if (current === undefined) return Err(new Failure('claim/unknown', { subject: command.key }))
    if (current.target.requestId === command.target.requestId && current.attempt === command.attempt + 1) return Ok(current)
    if (current.attempt !== command.attempt || current.state !== 'open') return Err(createStaleFailure(current, command.attempt))
    const moved: Claim = { ...current, attempt: current.attempt + 1, target: command.target }
    this.claims.set(command.key, moved)
    return Ok(moved)
  }

  /** Records how an attempt ended. The first end is kept, except that an unknown end may still become an answer. */
  end (command: EndClaim): Result<Claim, Failure> {
    const current = this.claims.get(command.key)
    if (current === undefined) return Err(new Failure('claim/unknown', { subject: command.key }))
    if (current.attempt !== command.attempt) return Err(createStaleFailure(current, command.attempt))
    if (!canEnd(current, command)) return Ok(current)
    const ended: Claim = {
      ...current,
      state: command.outcome,
      ...(command.answer === undefined ? {} : { answer: command.answer })
    }
    this.claims.set(command.key, ended)
    return Ok(ended)
  }

  /** The claim of a key. */
  find (key: string): Claim | undefined {
    return this.claims.get(key)
  }

  /** This part of the ledger as plain data. */
  save (): readonly Claim[] {
    return [...this.claims.values()]
  }

  /** Replaces this part of the ledger by a snapshot. */
  load (claims: readonly Claim[]): void {
    this.claims.clear()
    for (const claim of claims) this.claims.set(claim.key, claim)
  }

  private start (command: OpenClaim, attempt: number): OpenedClaim {
    const claim: Claim = {
      key: command.key,
      digest: command.digest,
      attempt,
      state: 'open',
      target: command.target,
      openedAt: command.at,
      expiresAt: command.expiresAt
    }
    // Reinserted at the end, so that the map stays ordered by expiry.
    this.claims.delete(command.key)
    this.claims.set(command.key, claim)
    return { claim, isNew: true, ageMs: 0 }
  }

  private forgetExpired (at: number): void {
    for (const [key, claim] of this.claims) {
      if (claim.expiresAt > at) return
      this.claims.delete(key)
    }
  }
}

function ageOf (claim: Claim, at: number): { readonly ageMs?: number } {
  return claim.openedAt === undefined ? {} : { ageMs: Math.max(0, at - claim.openedAt) }
}

/** An attempt with an unknown end may still turn out to be answered; any other recorded end is final. */
function canEnd (current: Claim, command: EndClaim): boolean {
  if (current.state === 'open') return true
  return current.state === 'unknown' && command.outcome === 'answered'
}

function createStaleFailure (current: Claim, attempt: number): Failure {
  return new Failure('claim/stale', {
    subject: current.key,
    expected: `attempt ${current.attempt} in state ${current.state}`,
    got: `attempt ${attempt}`
  })
}
