import type http from 'node:http'
import type { Dispatch } from '../../core/dispatch'
import type { EndpointLoad } from '../../core/endpointGate'
import { Failure, isFailureRecord, type FailureCode } from '../../core/failures'
import type { Claim, KeptAnswer } from '../../core/ledger'
import type { EndpointSign } from '../../core/routing'
import { callerHeaders, forwardedHeaders, internalHeaders } from '../../transport'
import { Mailbox, settled, startTask, type TaskBody, type TaskStep } from '../mailbox'
import { AgentConnection, type ConnectionEvent } from './agentConnection'
import type { AgentTarget } from './agentClient'
import type { ReadBody } from './bodyReader'
import type { EntryContext } from './entryContext'
import { replyFailure } from './replies'
import { digestRequest, type RequestPlan } from './requestPlan'

/** An event of one exchange. */
type ExchangeEvent =
  | ConnectionEvent
  | { readonly type: 'dispatched', readonly dispatch: Dispatch }
  | { readonly type: 'silent' }
  | { readonly type: 'deadline' }
  | { readonly type: 'callerGone' }

/** How an attempt at one endpoint ended. */
type AttemptEnd =
  | { readonly type: 'answered' }
  | { readonly type: 'notRun', readonly failure: Failure, readonly load: EndpointLoad | undefined }
  | { readonly type: 'unknown', readonly failure: Failure }
  | { readonly type: 'callerGone' }

/** What the ledger says about the key of a request. */
type ClaimEnd =
  | { readonly type: 'mine', readonly attempt: number }
  | { readonly type: 'other', readonly claim: Claim }
  | { readonly type: 'failed', readonly failure: Failure, readonly isUnknown: boolean }

/** How often an answer is fetched again before it counts as lost. */
const maximumFetches = 8
/** How often an agent that does not answer is asked about a request. */
const maximumQuestions = 4
const questionDelayMs = 150
const staleDelayMs = 50

/** Serves one caller's request: dispatch, attempts, recovery and the answer. */
export class ServiceExchange {
  private readonly events = new Mailbox<ExchangeEvent>('exchange', 256)
  private connection: AgentConnection | undefined
  private isForwarding = false
  private forwardedBytes = 0
  private hasStreamedBody = false
  private isOver = false
  private capture: Buffer[] | undefined
  private status = 0
  private contentType = ''
  private lastLoad: EndpointLoad | undefined
  /** Whether an earlier attempt may have run. */
  private mayHaveRun = false

  constructor (
    private readonly context: EntryContext,
    private readonly plan: RequestPlan,
    private readonly body: ReadBody,
    private readonly request: http.IncomingMessage,
    private readonly response: http.ServerResponse
  ) {}

  /** Runs the exchange; calls back once it has ended. */
  start (ended: () => void): void {
    this.response.once('close', () => {
      if (!this.response.writableFinished) this.post({ type: 'callerGone' })
    })
    startTask(() => this.run(ended))
  }

  /** Looks for a deadline that has passed and for a connection that went silent. */
  check (now: number): void {
    if (!this.isForwarding && now >= this.plan.deadlineAt) this.post({ type: 'deadline' })
    if (this.connection === undefined) return
    if (this.connection.silentMs(now) > this.context.bounds.silenceMs) this.post({ type: 'silent' })
    if (this.connection.heldUpMs(now) > this.context.bounds.callerIdleMs) this.response.destroy()
  }

  private post (event: ExchangeEvent): void {
    if (!this.isOver) this.events.offer(event)
  }

  private * run (ended: () => void): TaskBody {
    yield * this.serve()
    this.isOver = true
    this.connection?.destroy()
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
        if (claimAttempt !== undefined) this.endClaim(claimAttempt, 'notRun')
        return this.replyNotRun(dispatch.failure, dispatch.retryAfterMs)
      }
      const target: AgentTarget = dispatch.endpoint
      const requestId = `${this.plan.id}.${attempt}`
      if (this.plan.key !== undefined) {
        const claim = yield * this.claim(target, requestId, claimAttempt)
        if (claim.type !== 'mine') {
          this.ended(target, 'cancelled', 0, undefined)
          return yield * this.followClaim(claim)
        }
        claimAttempt = claim.attempt
      }
      const end = yield * this.attempt(target, requestId)
      const isOver = yield * this.settle(end, target, claimAttempt)
      if (isOver) return
      if (end.type !== 'notRun' || isEndpointProblem(end.failure)) excluded.push(target.agent)
    }
  }

  /** Waits for an endpoint; undefined if the caller went away meanwhile. */
  private * dispatch (attempt: number, excluded: readonly string[]): TaskStep<Dispatch | undefined> {
    const { plan, context } = this
    const id = `${plan.id}.${attempt}`
    context.dispatch.mailbox.post({
      type: attempt === 1 ? 'submit' : 'retry',
      request: {
        id,
        entry: plan.entry.name,
        tenant: plan.entry.tenant,
        priority: plan.priority,
        deadlineAt: plan.deadlineAt,
        queueLimit: plan.entry.limits.queue,
        excluded
      },
      listener: dispatch => this.post({ type: 'dispatched', dispatch })
    })
    for (;;) {
      const event = yield * this.events.take()
      if (event?.type === 'dispatched') return event.dispatch
      if (event !== undefined && event.type !== 'callerGone') continue
      this.context.dispatch.mailbox.post({ type: 'cancel', id })
      return yield * this.takeLateDispatch()
    }
  }

  /** The dispatcher may have decided before it heard that the caller went away. */
  private * takeLateDispatch (): TaskStep<undefined> {
    const event = this.events.poll()
    if (event?.type === 'dispatched' && event.dispatch.type === 'send') this.ended(event.dispatch.endpoint, 'cancelled', 0, undefined)
    return undefined
  }

  /** Whether the exchange is over after an attempt. */
  private * settle (end: AttemptEnd, target: AgentTarget, claimAttempt: number | undefined): TaskStep<boolean> {
    switch (end.type) {
      case 'answered':
        if (claimAttempt !== undefined) this.endClaim(claimAttempt, 'answered')
        this.response.end()
        return true
      case 'callerGone':
        return true
      case 'unknown':
        return this.settleUnknown(end.failure, claimAttempt)
      case 'notRun':
        if (this.isForwarding) {
          this.response.destroy()
          return true
        }
        if (this.hasStreamedBody || this.context.now() >= this.plan.deadlineAt) {
          if (claimAttempt !== undefined) this.endClaim(claimAttempt, 'notRun')
          this.replyNotRun(end.failure)
          return true
        }
        if (end.failure.code === 'request/stale-catalogue') yield * delay(staleDelayMs)
        this.context.metrics.count('entry.not_run_retry', 1, { code: end.failure.code, agent: target.agent })
        return false
    }
  }

  private settleUnknown (failure: Failure, claimAttempt: number | undefined): boolean {
    if (this.isForwarding) {
      // A cut answer must not look like a whole one.
      this.response.destroy()
      return true
    }
    this.mayHaveRun = true
    const canRunAgain = this.plan.isIdempotent && !this.hasStreamedBody && this.context.now() < this.plan.deadlineAt
    if (canRunAgain) return false
    if (claimAttempt !== undefined) this.endClaim(claimAttempt, 'unknown')
    replyFailure(this.response, { failure, outcome: 'unknown' })
    return true
  }

  /** Sends the request to one endpoint and stays with it until it has ended. */
  private * attempt (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    const startedAt = this.context.now()
    this.connection = this.open(target, requestId)
    const end = yield * this.follow(target, requestId)
    this.connection?.destroy()
    this.connection = undefined
    this.ended(target, signOf(end), this.context.now() - startedAt, end.type === 'notRun' ? end.load : this.lastLoad)
    return end
  }

  private * follow (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    let fetches = 0
    for (;;) {
      const event = yield * this.events.take()
      if (event === undefined || event.type === 'callerGone') return yield * this.leave(target, requestId)
      if (event.type === 'deadline' && !this.isForwarding) return yield * this.giveUp(target, requestId)
      if ('connection' in event && event.connection !== this.connection) continue
      if (event.type === 'done') return { type: 'answered' }
      if (event.type === 'head') {
        const end = this.takeHead(event.response, event.connection)
        if (end !== undefined) return end
      }
      if (event.type === 'broken' || (event.type === 'silent' && this.isSilent())) {
        fetches += 1
        const end = yield * this.recover(target, requestId, fetches)
        if (end !== undefined) return end
      }
    }
  }

  private isSilent (): boolean {
    return (this.connection?.silentMs(this.context.now()) ?? 0) > this.context.bounds.silenceMs
  }

  /** Starts to forward an answer, or returns how the attempt ended without one. */
  private takeHead (head: http.IncomingMessage, connection: AgentConnection): AttemptEnd | undefined {
    this.lastLoad = readLoad(head) ?? this.lastLoad
    const outcome = head.headers[callerHeaders.outcome]
    if (outcome === 'answered') {
      this.forward(head, connection)
      return undefined
    }
    head.resume()
    const failure = readFailure(head)
    // Without an outcome the agent's listener itself refused the request before the agent saw it.
    return outcome === 'unknown' ? { type: 'unknown', failure } : { type: 'notRun', failure, load: this.lastLoad }
  }

  private forward (head: http.IncomingMessage, connection: AgentConnection): void {
    if (!this.isForwarding) {
      this.isForwarding = true
      this.status = head.statusCode ?? 502
      this.contentType = String(head.headers['content-type'] ?? '')
      this.capture = this.plan.key === undefined ? undefined : []
      this.response.writeHead(this.status, head.statusMessage, { ...forwardedHeaders(head.headers), [callerHeaders.outcome]: 'answered' })
    }
    connection.pump(head, this.response, chunk => {
      this.forwardedBytes += chunk.length
      this.keepForClaim(chunk)
    })
  }

  private keepForClaim (chunk: Buffer): void {
    this.capture?.push(chunk)
    if (this.forwardedBytes > this.context.bounds.claimAnswerBytes) this.capture = undefined
  }

  /** Asks after a request whose connection broke or went silent, and fetches its answer if it ran. */
  private * recover (target: AgentTarget, requestId: string, fetches: number): TaskStep<AttemptEnd | undefined> {
    this.connection?.destroy()
    this.connection = undefined
    this.context.agents.distrust(target)
    this.context.metrics.count('entry.recovered_connection', 1, { agent: target.agent })
    const status = yield * this.askAfter(target, requestId)
    if (status === 'notRun') return { type: 'notRun', failure: new Failure('transport/broken', { subject: target.agent }), load: undefined }
    const hasAnswer = status === 'waiting' || status === 'running' || status === 'ran'
    if (!hasAnswer || fetches > maximumFetches || this.hasUnfinishedBody()) {
      return { type: 'unknown', failure: new Failure('request/outcome-unknown', { subject: target.agent }) }
    }
    this.connection = this.watch(this.context.agents.fetchAnswer(target, requestId, this.forwardedBytes))
    return undefined
  }

  private hasUnfinishedBody (): boolean {
    return this.hasStreamedBody && !this.request.complete
  }

  /** Asks until the agent answers, is known to be gone, or the deadline has passed. */
  private * askAfter (target: AgentTarget, requestId: string): TaskStep<string | undefined> {
    for (let question = 0; question < maximumQuestions; question += 1) {
      const status = yield * settled(this.context.agents.abandon(target, requestId))
      if (status !== undefined) return status
      const isGone = this.context.dispatch.findAgent(target.agent)?.incarnation !== target.incarnation
      if (isGone || this.context.now() >= this.plan.deadlineAt) return undefined
      yield * delay(questionDelayMs)
    }
    return undefined
  }

  /** At the deadline, the caller hears at once whether the request can still run. */
  private * giveUp (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    const failure = new Failure('request/deadline', { subject: this.plan.entry.name })
    const status = yield * settled(this.context.agents.abandon(target, requestId))
    if (status === 'notRun') return { type: 'notRun', failure, load: undefined }
    return { type: 'unknown', failure }
  }

  /** The caller is gone: a request which has not started never will. */
  private * leave (target: AgentTarget, requestId: string): TaskStep<AttemptEnd> {
    yield * settled(this.context.agents.abandon(target, requestId))
    return { type: 'callerGone' }
  }

  private open (target: AgentTarget, requestId: string): AgentConnection {
    const { plan, context, body } = this
    const { catalogue } = context.catalogue
    const headers = { ...plan.headers }
    if (body.isWhole) {
      if (body.start.length > 0 || headers['content-length'] !== undefined) headers['content-length'] = String(body.start.length)
    } else {
      headers['expect'] = '100-continue'
    }
    const now = context.now()
    const request = context.agents.send(target, {
      method: plan.method,
      path: plan.path,
      headers,
      requestId,
      source: context.source,
      entry: plan.entry.name,
      entryVersion: plan.entryVersion,
      revision: catalogue.revision,
      revisionAgeMs: catalogue.ageMs(now),
      timeoutMs: plan.deadlineAt - now
    })
    const connection = this.watch(request)
    if (body.isWhole) request.end(body.start)
    else this.streamAfterContinue(request)
    return connection
  }

  private streamAfterContinue (upstream: http.ClientRequest): void {
    upstream.flushHeaders()
    upstream.once('continue', () => {
      this.hasStreamedBody = true
      upstream.write(this.body.start)
      this.boundBody()
      this.request.pipe(upstream)
      this.request.once('close', () => { if (!this.request.complete) upstream.destroy() })
    })
  }

  /** A body without a declared length is cut at the bound; the endpoint sees a cut request, not a short one. */
  private boundBody (): void {
    let size = this.body.start.length
    this.request.on('data', (chunk: Buffer) => {
      size += chunk.length
      if (size > this.context.bounds.maximumBodyBytes) this.request.destroy()
    })
  }

  private watch (request: http.ClientRequest): AgentConnection {
    return new AgentConnection(request, this.context.now, event => this.post(event))
  }

  /** Claims the key for a target, before anything is sent to it. */
  private * claim (target: AgentTarget, requestId: string, formerAttempt: number | undefined): TaskStep<ClaimEnd> {
    const { control, now, bounds } = this.context
    const key = this.plan.key ?? ''
    const claimTarget = { agent: target.agent, incarnation: target.incarnation, requestId }
    const outcome = yield * settled(control.propose(formerAttempt === undefined
      ? { type: 'openClaim', key, digest: digestRequest(this.plan, this.body.start), target: claimTarget, at: now(), expiresAt: now() + bounds.claimMs }
      : { type: 'moveClaim', key, attempt: formerAttempt, target: claimTarget }))
    if (!outcome.ok) {
      if (outcome.val.code === 'claim/stale') return yield * this.readClaim(key)
      return { type: 'failed', failure: outcome.val, isUnknown: false }
    }
    if (outcome.val.type !== 'claim') return { type: 'failed', failure: new Failure('control/unavailable'), isUnknown: false }
    const { claim, isNew } = outcome.val
    return isNew ? { type: 'mine', attempt: claim.attempt } : { type: 'other', claim }
  }

  private * readClaim (key: string): TaskStep<ClaimEnd> {
    const view = yield * settled(this.context.control.query({ type: 'claim', key }))
    if (!view.ok) return { type: 'failed', failure: view.val, isUnknown: true }
    const { claim } = view.val
    return claim === undefined ? { type: 'failed', failure: new Failure('claim/unknown', { subject: key }), isUnknown: true } : { type: 'other', claim }
  }

  /** Another exchange holds the key: its answer is ours. */
  private * followClaim (claimEnd: Exclude<ClaimEnd, { type: 'mine' }>): TaskStep<void> {
    if (claimEnd.type === 'failed') {
      const isConflict = claimEnd.failure.code === 'request/duplicate'
      return replyFailure(this.response, { failure: claimEnd.failure, outcome: claimEnd.isUnknown && !isConflict ? 'unknown' : 'not-run' })
    }
    const { claim } = claimEnd
    if (claim.answer?.body !== undefined) return this.replay(claim.answer)
    const target = this.findTarget(claim)
    if (target === undefined) return this.replyLost(claim)
    const status = yield * this.askAfter(target, claim.target.requestId)
    if (status === 'notRun' && claim.state !== 'answered') return yield * this.takeOver(claim)
    if (status !== 'waiting' && status !== 'running' && status !== 'ran') return this.replyLost(claim)
    this.connection = this.watch(this.context.agents.fetchAnswer(target, claim.target.requestId, 0))
    const end = yield * this.follow(target, claim.target.requestId)
    if (end.type === 'answered') {
      this.endClaim(claim.attempt, 'answered')
      this.response.end()
      return
    }
    if (this.isForwarding) this.response.destroy()
    else this.replyLost(claim)
  }

  private findTarget (claim: Claim): AgentTarget | undefined {
    const known = this.context.dispatch.findAgent(claim.target.agent)
    if (known === undefined || known.incarnation !== claim.target.incarnation) return undefined
    return { agent: known.agent, address: known.address, incarnation: known.incarnation }
  }

  /** The claimed request was never run: this exchange runs it in the next attempt of the claim. */
  private * takeOver (claim: Claim): TaskStep<void> {
    const dispatch = yield * this.dispatch(1, [])
    if (dispatch === undefined) return
    if (dispatch.type === 'reject') return this.replyNotRun(dispatch.failure, dispatch.retryAfterMs)
    const target: AgentTarget = dispatch.endpoint
    const requestId = `${this.plan.id}.1.${claim.attempt}`
    const moved = yield * this.claim(target, requestId, claim.attempt)
    if (moved.type !== 'mine') {
      this.ended(target, 'cancelled', 0, undefined)
      return yield * this.followClaim(moved)
    }
    const end = yield * this.attempt(target, requestId)
    if (end.type === 'answered') {
      this.endClaim(moved.attempt, 'answered')
      this.response.end()
    } else if (end.type === 'notRun') {
      this.endClaim(moved.attempt, 'notRun')
      this.replyNotRun(end.failure)
    } else if (end.type === 'unknown') {
      this.settleUnknown(end.failure, moved.attempt)
    }
  }

  private replay (answer: KeptAnswer): void {
    const body = Buffer.from(answer.body ?? '', 'base64')
    this.isForwarding = true
    this.response.writeHead(answer.status, {
      ...(answer.contentType === '' ? {} : { 'content-type': answer.contentType }),
      'content-length': body.length,
      [callerHeaders.outcome]: 'answered',
      [callerHeaders.replayed]: 'true'
    })
    this.response.end(body)
  }

  private replyLost (claim: Claim): void {
    const isAnswered = claim.state === 'answered'
    replyFailure(this.response, {
      failure: new Failure(isAnswered ? 'request/answer-lost' : 'request/outcome-unknown', { subject: claim.key, got: `claim ${claim.state}` }),
      outcome: isAnswered ? 'answered' : 'unknown'
    })
  }

  /** The caller need not wait for this; an agent remembers the end until it is recorded. */
  private endClaim (attempt: number, outcome: 'answered' | 'notRun' | 'unknown'): void {
    const key = this.plan.key ?? ''
    const answer: KeptAnswer | undefined = outcome === 'answered' ? this.keptAnswer() : undefined
    this.context.control.propose({ type: 'endClaim', key, attempt, outcome, ...(answer === undefined ? {} : { answer }) })
  }

  private keptAnswer (): KeptAnswer {
    const body = this.capture === undefined ? undefined : Buffer.concat(this.capture).toString('base64')
    return { status: this.status, contentType: this.contentType, ...(body === undefined ? {} : { body }) }
  }

  /** Answers that the last attempt was not run; an earlier one may have. */
  private replyNotRun (failure: Failure, retryAfterMs?: number): void {
    const outcome = this.mayHaveRun ? 'unknown' : 'not-run'
    replyFailure(this.response, { failure, outcome, ...(retryAfterMs === undefined ? {} : { retryAfterMs }) })
  }

  private ended (target: AgentTarget, sign: EndpointSign, durationMs: number, load: EndpointLoad | undefined): void {
    this.context.dispatch.mailbox.post({ type: 'ended', end: { agent: target.agent, incarnation: target.incarnation, sign, durationMs, load } })
  }

  private record (): void {
    const { plan, context } = this
    const durationMs = context.now() - plan.arrivedAt
    context.histograms.record(plan.entry.tenant, plan.priority, durationMs)
    context.metrics.duration('entry.request', durationMs, { tenant: plan.entry.tenant, priority: plan.priority })
  }
}

function * delay (ms: number): TaskStep<void> {
  yield * settled(new Promise<void>(resolve => setTimeout(resolve, ms)))
}

/** Failures after which the same endpoint should not get the request again. A full or unsure endpoint may. */
function isEndpointProblem (failure: Failure): boolean {
  return !['agent/no-slot', 'transport/broken', 'request/stale-catalogue'].includes(failure.code)
}

function signOf (end: AttemptEnd): EndpointSign {
  if (end.type === 'answered') return 'answered'
  if (end.type === 'callerGone') return 'cancelled'
  if (end.type === 'notRun') return end.failure.code === 'agent/endpoint-failed' ? 'failed' : 'refused'
  return 'failed'
}

function readLoad (head: http.IncomingMessage): EndpointLoad | undefined {
  const text = head.headers[internalHeaders.load]
  if (typeof text !== 'string') return undefined
  const [busy = 0, yours = 0] = text.split(',').map(Number)
  return { busy, yours }
}

function readFailure (head: http.IncomingMessage): Failure {
  const record = { code: head.headers[callerHeaders.failure], detail: {} }
  if (isFailureRecord(record)) return new Failure(record.code satisfies FailureCode)
  return new Failure('transport/broken', { got: `status ${head.statusCode ?? 0}` })
}
