import type http from 'node:http'
import type { Dispatch, DispatchRequest } from '../../core/dispatch'
import { Failure, type FailureCode } from '../../core/failures'
import type { Claim, KeptAnswer } from '../../core/ledger'
import { callerHeaders } from '../../transport'
import { delay, Mailbox, startTask, type TaskBody, type TaskStep } from '../mailbox'
import type { AgentTarget } from './agentClient'
import { AgentExchange, type ExchangeEvent } from './agentExchange'
import { excludesEndpoint, type AttemptEnd } from './attemptEnd'
import type { BufferedBody } from './bodyReader'
import { IdempotencyClaim, type ClaimResult } from './idempotencyClaim'
import type { EntryContext } from './entryContext'
import { replyFailure } from './replies'
import { digestRequest, type RequestPlan } from './requestPlan'

const staleCatalogueDelayMs = 50

/** Serves one caller's request: claims its idempotency key, dispatches attempts, recovers from failures and answers. */
export class ServiceExchange {
  private readonly events = new Mailbox<ExchangeEvent>('exchange', 256)
  private readonly agent: AgentExchange
  private readonly claims: IdempotencyClaim | undefined
  private isOver = false
  /** The failure code of the last attempt if it was not run. */
  private lastRefusal: FailureCode | undefined
  /** Whether an earlier attempt may have run. */
  private mayHaveRun = false

  constructor (
    private readonly context: EntryContext,
    private readonly plan: RequestPlan,
    body: BufferedBody,
    request: http.IncomingMessage,
    private readonly response: http.ServerResponse
  ) {
    this.claims = plan.key === undefined ? undefined : new IdempotencyClaim(context, plan.key, digestRequest(plan, body.start))
    this.agent = new AgentExchange({ context, plan, body, request, response, events: this.events, onChunk: chunk => this.claims?.capture(chunk) })
  }

  /** Runs the exchange; calls back once it has ended. */
  start (ended: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) this.post({ type: 'callerGone' })
    })
    startTask(() => this.run(ended))
  }

  /** Checks the deadline and the idle times of the current attempt. */
  check (now: number): void {
    this.agent.check(now)
  }

  private post (event: ExchangeEvent): void {
    if (!this.isOver) this.events.offer(event)
  }

  private * run (ended: () => void): TaskBody {
    yield * this.serve()
    this.isOver = true
    this.agent.close()
    this.record()
    ended()
  }

  private * serve (): TaskStep<void> {
    const excluded: string[] = []
    let claimAttempt: number | undefined
    for (let attempt = 1; ; attempt += 1) {
      const dispatch = yield * this.dispatch(attempt, excluded)
      if (dispatch === undefined) return
      if (dispatch.type === 'reject') {
        if (claimAttempt !== undefined) this.claims?.end(claimAttempt, 'notRun')
        return this.replyNotRun(dispatch.failure, dispatch.retryAfterMs)
      }
      const target: AgentTarget = dispatch.endpoint
      const requestId = `${this.plan.id}.${attempt}`
      if (this.claims !== undefined) {
        const claim = yield * this.claims.claim(target, requestId, claimAttempt)
        if (claim.type !== 'mine') {
          this.returnSlot(target)
          return yield * this.answerFromClaim(claim)
        }
        claimAttempt = claim.attempt
      }
      const end = yield * this.agent.run(target, requestId)
      const isOver = yield * this.handleAttemptEnd(end, target, claimAttempt)
      if (isOver) return
      this.lastRefusal = end.type === 'notRun' ? end.failure.code : undefined
      if (end.type !== 'notRun' || excludesEndpoint(end.failure)) excluded.push(target.agent)
    }
  }

  /** Waits for the dispatcher's decision; undefined if the caller disconnected meanwhile. */
  private * dispatch (attempt: number, excluded: readonly string[]): TaskStep<Dispatch | undefined> {
    const { plan, context } = this
    const id = `${plan.id}.${attempt}`
    const request: DispatchRequest = {
      id,
      entry: plan.entry.name,
      organisation: plan.entry.organisation,
      priority: plan.priority,
      deadlineAt: plan.deadlineAt,
      queueLimit: plan.entry.limits.queue,
      excluded
    }
    const listener = (dispatch: Dispatch): void => this.post({ type: 'dispatched', dispatch })
    const isCapacityRefusal = this.lastRefusal === 'agent/no-slot'
    context.dispatch.mailbox.post(attempt === 1 ? { type: 'submit', request, listener } : { type: 'retry', request, isCapacityRefusal, listener })
    for (;;) {
      const event = yield * this.events.take()
      if (event?.type === 'dispatched') return event.dispatch
      if (event !== undefined && event.type !== 'callerGone') continue
      this.context.dispatch.mailbox.post({ type: 'cancel', id })
      return yield * this.returnLateSlot()
    }
  }

  /** Returns a slot that the dispatcher may have assigned before the cancellation reached it. */
  private * returnLateSlot (): TaskStep<undefined> {
    const event = this.events.poll()
    if (event?.type === 'dispatched' && event.dispatch.type === 'send') this.returnSlot(event.dispatch.endpoint)
    return undefined
  }

  /** Handles the end of an attempt; returns whether the exchange is over. */
  private * handleAttemptEnd (end: AttemptEnd, target: AgentTarget, claimAttempt: number | undefined): TaskStep<boolean> {
    switch (end.type) {
      case 'answered':
        if (claimAttempt !== undefined) this.claims?.answered(claimAttempt, this.agent.status, this.agent.contentType)
        this.response.end()
        return true
      case 'callerGone':
        return true
      case 'unknown':
        return this.handleUnknownOutcome(end.failure, claimAttempt)
      case 'notRun':
        if (this.agent.isForwarding) {
          this.response.destroy()
          return true
        }
        if (this.agent.hasStreamedBody || this.context.now() >= this.plan.deadlineAt) {
          if (claimAttempt !== undefined) this.claims?.end(claimAttempt, 'notRun')
          this.replyNotRun(end.failure)
          return true
        }
        if (end.failure.code === 'request/stale-catalogue') yield * delay(staleCatalogueDelayMs)
        this.context.metrics.count('entry.not_run_retry', 1, { code: end.failure.code, agent: target.agent })
        return false
    }
  }

  private handleUnknownOutcome (failure: Failure, claimAttempt: number | undefined): boolean {
    if (this.agent.isForwarding) {
      // A truncated answer must not look complete.
      this.response.destroy()
      return true
    }
    this.mayHaveRun = true
    const canRunAgain = this.plan.isIdempotent && !this.agent.hasStreamedBody && this.context.now() < this.plan.deadlineAt
    if (canRunAgain) return false
    if (claimAttempt !== undefined) this.claims?.end(claimAttempt, 'unknown')
    replyFailure(this.response, { failure, outcome: 'unknown' })
    return true
  }

  /** Answers with the result of the exchange that holds the key, or with the failure of the claim. */
  private * answerFromClaim (claimResult: Exclude<ClaimResult, { type: 'mine' }>): TaskStep<void> {
    if (claimResult.type === 'failed') {
      const isConflict = claimResult.failure.code === 'request/duplicate'
      return replyFailure(this.response, { failure: claimResult.failure, outcome: claimResult.isUnknown && !isConflict ? 'unknown' : 'not-run' })
    }
    const { claim, openedAt } = claimResult
    if (claim.answer?.body !== undefined) return this.replay(claim.answer)
    const target = this.findTarget(claim)
    if (target === undefined) return this.replyAnswerLost(claim)
    const status = yield * this.agent.abandonWithRetries(target, claim.target.requestId, openedAt)
    if (status === 'notRun' && claim.state !== 'answered') return yield * this.takeOverClaim(claim)
    if (status !== 'waiting' && status !== 'running' && status !== 'ran') return this.replyAnswerLost(claim)
    const end = yield * this.agent.fetch(target, claim.target.requestId, openedAt)
    if (end.type === 'answered') {
      this.claims?.answered(claim.attempt, this.agent.status, this.agent.contentType)
      this.response.end()
      return
    }
    if (this.agent.isForwarding) this.response.destroy()
    else this.replyAnswerLost(claim)
  }

  private findTarget (claim: Claim): AgentTarget | undefined {
    const known = this.context.dispatch.findAgent(claim.target.agent)
    if (known === undefined || known.incarnation !== claim.target.incarnation) return undefined
    return { agent: known.agent, address: known.address, incarnation: known.incarnation }
  }

  /** Moves a claim whose request was never run to this exchange and runs the request. */
  private * takeOverClaim (claim: Claim): TaskStep<void> {
    const dispatch = yield * this.dispatch(1, [])
    if (dispatch === undefined || this.claims === undefined) return
    if (dispatch.type === 'reject') return this.replyNotRun(dispatch.failure, dispatch.retryAfterMs)
    const target: AgentTarget = dispatch.endpoint
    const requestId = `${this.plan.id}.1.${claim.attempt}`
    const moved = yield * this.claims.claim(target, requestId, claim.attempt)
    if (moved.type !== 'mine') {
      this.returnSlot(target)
      return yield * this.answerFromClaim(moved)
    }
    const end = yield * this.agent.run(target, requestId)
    if (end.type === 'answered') {
      this.claims?.answered(moved.attempt, this.agent.status, this.agent.contentType)
      this.response.end()
    } else if (end.type === 'notRun') {
      this.claims?.end(moved.attempt, 'notRun')
      this.replyNotRun(end.failure)
    } else if (end.type === 'unknown') {
      this.handleUnknownOutcome(end.failure, moved.attempt)
    }
  }

  private replay (answer: KeptAnswer): void {
    const body = Buffer.from(answer.body ?? '', 'base64')
    this.response.writeHead(answer.status, {
      ...(answer.contentType === '' ? {} : { 'content-type': answer.contentType }),
      'content-length': body.length,
      [callerHeaders.outcome]: 'answered',
      [callerHeaders.replayed]: 'true'
    })
    this.response.end(body)
  }

  private replyAnswerLost (claim: Claim): void {
    const isAnswered = claim.state === 'answered'
    replyFailure(this.response, {
      failure: new Failure(isAnswered ? 'request/answer-lost' : 'request/outcome-unknown', { subject: claim.key, got: `claim ${claim.state}` }),
      outcome: isAnswered ? 'answered' : 'unknown'
    })
  }

  /** Answers after an attempt that was not run; the outcome is unknown if an earlier attempt may have run. */
  private replyNotRun (failure: Failure, retryAfterMs?: number): void {
    const outcome = this.mayHaveRun ? 'unknown' : 'not-run'
    replyFailure(this.response, { failure, outcome, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }

  /** Tells the dispatcher that an assigned slot is not used. */
  private returnSlot (target: AgentTarget): void {
    this.context.dispatch.mailbox.post({ type: 'ended', end: { agent: target.agent, incarnation: target.incarnation, endpointOutcome: 'cancelled', durationMs: 0, load: undefined } })
  }

  private record (): void {
    const { plan, context } = this
    const durationMs = context.now() - plan.arrivedAt
    context.histograms.record(plan.entry.organisation, plan.priority, durationMs)
    context.metrics.duration('entry.request', durationMs, { organisation: plan.entry.organisation, priority: plan.priority })
  }
}
