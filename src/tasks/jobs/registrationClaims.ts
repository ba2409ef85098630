import type { Counters, Logger } from '../../observability'
import type { LookOutcome, WorkerDriver } from '../../workers'
import type { ListedClock } from './agentBoot'
import { isPlausible } from './heartbeats'
import type { Registration, SupervisorMessage } from './workerAgentMessage'

/** Dependencies of `RegistrationClaims`. */
export interface RegistrationClaimsOptions {
  readonly driver: WorkerDriver
  /** Posts the worker's answers to the task that owns this object. */
  readonly post: (message: SupervisorMessage) => void
  /** Steady time in milliseconds. */
  readonly now: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** A boot that the worker confirmed. */
export interface ConfirmedBoot {
  /** The name of the boot. */
  readonly worker: string
  /** Its first heartbeat that is kept, and what followed until the worker confirmed it, in order of arrival. */
  readonly firstHeartbeat: Registration
  readonly laterHeartbeats: readonly Registration[]
  /** When its first heartbeat arrived, in milliseconds of the steady clock; the former boot had ended by then. */
  readonly heardAt: number
  /** The clock in the list that confirmed it. */
  readonly listedClock: ListedClock
}

/** A boot of which heartbeats tell, and which the worker has not confirmed. */
interface Claim {
  readonly worker: string
  readonly workerId: string
  readonly bornMs: number
  /** Its newest heartbeats in order of arrival. */
  heartbeats: readonly Registration[]
  readonly heardAt: number
  /** How often the worker was asked and gave no conclusive answer. */
  failures: number
  /** Earliest time of the next question, in milliseconds of the steady clock. */
  nextAskAt: number
}

/** A question to the worker that waits for its answer. */
interface Question {
  readonly claim: Claim
  /** The current boot when the question was sent. */
  readonly currentBoot: string | undefined
  readonly askedAt: number
}

/** Pause before the worker is asked again, in milliseconds; a worker that starts answers within a few of them. */
const askAgainPauseMs = 200
/** Questions without a conclusive answer after which a claim is given up; the next heartbeat of the worker makes it anew. */
const maximumFailures = 5
/** Most claims that are kept; a VM has one worker, so that more than two come from other senders. */
const maximumClaims = 8
/** Most heartbeats that are kept of one claim; enough for one of another sender among those of the worker to show. */
const maximumHeartbeats = 4

/**
 * Heartbeats that name another boot than the current one. Anybody can send them, so they have no effect until the worker itself
 * answers under the claimed id with the claimed birth. One question is under way at a time.
 */
export class RegistrationClaims {
  private claims: readonly Claim[] = []
  private question: Question | undefined

  constructor (private readonly options: RegistrationClaimsOptions) {}

  /** Whether a boot is being confirmed. */
  get hasClaims (): boolean { return this.claims.length > 0 }

  /** Adds a heartbeat of the named boot. The oldest claim is dropped if there are too many. */
  hear (worker: string, registration: Registration): void {
    const known = this.claims.find(claim => claim.worker === worker)
    if (known !== undefined) {
      known.heartbeats = [...known.heartbeats, registration].slice(-maximumHeartbeats)
      return
    }
    const { workerId, bornMs } = registration
    const heardAt = this.options.now()
    this.claims = [...this.claims, { worker, workerId, bornMs, heartbeats: [registration], heardAt, failures: 0, nextAskAt: heardAt }].slice(-maximumClaims)
  }

  /** Removes a claim that a look has confirmed, and returns its heartbeats in order of arrival. */
  take (worker: string): readonly Registration[] {
    const taken = this.claims.find(claim => claim.worker === worker)
    this.claims = this.claims.filter(claim => claim !== taken)
    return taken?.heartbeats ?? []
  }

  /** Whether heartbeats name a boot under this id that the worker has not confirmed. */
  hasClaim (workerId: string): boolean { return this.claims.some(claim => claim.workerId === workerId) }

  /** Asks the worker about the claim that has waited longest, if one is due and no question is under way. */
  sendDue (term: number, currentBoot: string | undefined): void {
    const now = this.options.now()
    const [claim] = this.claims.filter(({ nextAskAt }) => nextAskAt <= now).sort((a, b) => a.nextAskAt - b.nextAskAt)
    if (this.question !== undefined || claim === undefined) return
    this.question = { claim, currentBoot, askedAt: now }
    this.options.driver.identify({ workerId: claim.workerId, term })
      .then(outcome => this.options.post({ type: 'identified', outcome }))
  }

  /** Handles the answer to the question under way. Returns the boot if the worker confirmed it. */
  handleAnswer (outcome: LookOutcome, currentBoot: string | undefined): ConfirmedBoot | undefined {
    const { question } = this
    if (question === undefined) return undefined
    this.question = undefined
    const { claim } = question
    const { worker, heardAt } = claim
    // The answer may be older than the look that found the present boot. If the claim is kept, the worker is asked again.
    if (!this.claims.includes(claim) || currentBoot !== question.currentBoot) return undefined
    if (outcome.type === 'refused' && outcome.reason === 'otherBoot') return this.settle(claim, 'refuted', 'otherBoot')
    if (outcome.type !== 'listed') return this.handleFailure(claim, outcome)
    if (outcome.bornMs !== claim.bornMs) return this.settle(claim, 'refuted', 'otherBirth')
    const listedClock = { clockMs: outcome.clockMs, askedAt: question.askedAt }
    const [firstHeartbeat, ...laterHeartbeats] = claim.heartbeats.filter(heartbeat => isPlausible(heartbeat, listedClock, this.options.now()))
    if (firstHeartbeat === undefined) return this.settle(claim, 'refuted', 'clock')
    this.settle(claim, 'confirmed')
    return { worker, firstHeartbeat, laterHeartbeats, heardAt, listedClock }
  }

  private handleFailure (claim: Claim, outcome: Exclude<LookOutcome, { readonly type: 'listed' }>): undefined {
    claim.failures += 1
    claim.nextAskAt = this.options.now() + askAgainPauseMs
    if (claim.failures >= maximumFailures) this.settle(claim, 'givenUp', outcome.type === 'refused' ? outcome.reason : outcome.type)
  }

  private settle (claim: Claim, outcome: keyof typeof events, reason?: string): undefined {
    this.claims = this.claims.filter(other => other !== claim)
    this.options.counters.add('registration_claims_total', { outcome })
    this.options.logger.info(events[outcome], { worker: claim.worker, reason, after_ms: Math.round(this.options.now() - claim.heardAt) })
  }
}

const events = { confirmed: 'registration_confirmed', refuted: 'registration_refuted', givenUp: 'registration_given_up' } as const
