import { nameBoot, pairOf, type FormerBoot, type WorkerReport } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { LookOutcome, OrderContext, WorkerDriver } from '../../workers'
import { createAgentBoot, pacingIntervalMs, type AgentBoot, type ListedClock } from './agentBoot'
import { describeCrash, formatYoungestRuns } from './crashEvidence'
import type { ClientMessage, ControlReply } from './controlProtocol'
import { DrainNotice } from './drainNotice'
import { FillPacer } from './fillPacer'
import { isChanged, isLater, isPlausible, isSameCapacity, maximumDrift, mergeHeartbeat } from './heartbeats'
import { OutstandingCalls } from './outstandingCalls'
import { RegistrationClaims } from './registrationClaims'
import { RunReconciler } from './runReconciler'
import type { TrackedRun } from './trackedRun'
import { refusalsUntilEnded, refusedIntervalMs, VacancyWatch } from './vacancyWatch'
import type { Registration, SupervisorMessage } from './workerAgentMessage'

/** Dependencies and timing of `WorkerSupervisor`. Times are in milliseconds. */
export interface WorkerSupervisorOptions {
  /** The name of the agent, which identifies the VM. */
  readonly name: string
  readonly driver: WorkerDriver
  /** Sends to the leader; returns false if there is no stream to one. */
  readonly send: (message: ClientMessage) => boolean
  /** Posts the worker's answers to the mailbox, from where they reach `handle` in order of arrival. */
  readonly post: (message: SupervisorMessage) => void
  /** The length of a lease; it must be extended several times within this. */
  readonly leaseMs: number
  /** The longest lease that a worker accepts. */
  readonly longestLeaseMs: number
  readonly now: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** Delay in milliseconds of the next look after reported ends, so that it can acknowledge them once they are committed. */
const acknowledgeWaitMs = 300
/** The longest that a look waits for a run to end, in milliseconds. Two looks fit into the silence after which a worker gets no more tasks. */
const maximumLookWaitMs = 1250
/** How long the look that shows whether a stopped run was there waits, in milliseconds; a stop takes about this long. Looks at a boot that is not settled wait no longer either. */
const stopLookWaitMs = 150
/** Least number of looks per lease, as each look extends the lease and this must happen well before it ends. */
const minimumLooksPerLease = 4
/** Most former boots named in a report; enough for a leader that missed the ends of all boots that it knew. */
const maximumFormerBoots = 8
/** Interval in milliseconds at which a boot is reported again until the leader's answers show that it accepted the report; several round trips. */
const reportRetryMs = 1000

/** A former boot of the worker. */
interface EndedBoot extends FormerBoot {
  /** When its end was detected, in milliseconds of the steady clock. */
  readonly endedAt: number
}

/** Makes all calls to the worker beside an agent on behalf of the leader, and reports the worker's boots to the leader. */
export class WorkerSupervisor {
  private boot: AgentBoot | undefined
  /** The newest boot that ended without a next one. */
  private endedBoot: AgentBoot | undefined
  private term = 0
  private isLinked = false
  /** Boots that have ended, newest last. */
  private formerBoots: readonly EndedBoot[] = []
  /** Former boots whose ends were not reported to the leader yet. */
  private unreportedBoots: readonly string[] = []
  private readonly outstandingCalls = new OutstandingCalls()
  private readonly claims: RegistrationClaims
  private readonly vacancy: VacancyWatch
  private readonly orders: RunReconciler
  private readonly pacer: FillPacer
  /** The fencing context (worker id and term) sent with every call to the worker of a boot. */
  private readonly context: (boot: AgentBoot) => OrderContext

  constructor (private readonly options: WorkerSupervisorOptions) {
    const context = (boot: AgentBoot): OrderContext => ({ workerId: boot.registration.workerId, term: this.term })
    this.claims = new RegistrationClaims(options)
    this.vacancy = new VacancyWatch(options)
    this.orders = new RunReconciler({ ...options, outstandingCalls: this.outstandingCalls, context })
    this.pacer = new FillPacer({ ...options, context })
    this.context = context
  }

  /** Handles one message, then sends whatever is due. */
  handle (message: SupervisorMessage): void {
    this.handleMessage(message)
    this.sendDue()
  }

  private handleMessage (message: SupervisorMessage): void {
    switch (message.type) {
      case 'registered': return this.register(message.registration)
      case 'identified': return this.handleIdentification(message.outcome)
      case 'left': return this.left(message.workerId)
      case 'linkOpen': return this.handleLinkOpen(message.term)
      case 'linkLost': return this.handleLinkLoss()
      case 'control': return this.handleControlReply(message.message)
      case 'probed': return this.handleProbe(message)
      case 'looked': return this.handleLookOutcome(message)
      case 'startAnswered': return this.boot === undefined ? undefined : this.orders.handleStartAnswer(this.boot, message)
      case 'stopAnswered': return this.boot === undefined ? undefined : this.orders.handleStopAnswer(this.boot, message)
      case 'tick':
    }
  }

  /** Handles a heartbeat. One of another boot than the current one has no effect until the worker confirms it. */
  private register (registration: Registration): void {
    const worker = nameBoot({ agent: this.options.name, ...registration })
    if (this.boot?.worker === worker) this.updateBoot(this.boot, registration)
    else this.claims.hear(worker, registration)
  }

  private handleIdentification (outcome: LookOutcome): void {
    const confirmed = this.claims.handleAnswer(outcome, this.boot?.worker)
    if (confirmed === undefined) return
    const { worker, firstHeartbeat, laterHeartbeats, heardAt, listedClock } = confirmed
    this.options.logger.info('worker_registered', { worker, former: this.boot?.worker, pool: firstHeartbeat.pool })
    if (this.boot !== undefined) this.boot.silentSince ??= heardAt
    const next = createAgentBoot(worker, firstHeartbeat, listedClock)
    this.replaceBoot(next)
    for (const heartbeat of laterHeartbeats) this.updateBoot(next, heartbeat)
    this.reportWorker()
  }

  private updateBoot (boot: AgentBoot, heartbeat: Registration): void {
    const { worker, registration: known, newestHeartbeat, isRegistered } = boot
    if (!isPlausible(heartbeat, boot.listedClock, this.options.now())) {
      this.options.counters.add('registration_claims_total', { outcome: 'refuted' })
      this.options.logger.info('registration_refuted', { worker, reason: 'clock' })
      return
    }
    if (isRegistered && !isLater(heartbeat, newestHeartbeat)) return
    const registration = isRegistered ? mergeHeartbeat(known, newestHeartbeat, heartbeat) : heartbeat
    const { capacity, pool } = registration
    if (!isSameCapacity(known.capacity, capacity)) this.options.logger.info('worker_resized', { worker, processors: capacity.processors, memory_mb: capacity.memoryMb, former_processors: known.capacity.processors })
    if (!isRegistered) this.options.logger.info('worker_registered', { worker, former: worker, pool })
    if (isRegistered) boot.drainNotice.hear(heartbeat, this.options.now())
    else boot.drainNotice = new DrainNotice(heartbeat, this.options.now())
    Object.assign(boot, { registration, newestHeartbeat: heartbeat, isRegistered: true })
    if (!isRegistered || isChanged(known, registration)) this.reportWorker()
  }

  /** Makes `next` the current boot; the one before it, if any, becomes a former boot. */
  private replaceBoot (next: AgentBoot): void {
    const former = this.boot
    this.boot = next
    if (former !== undefined) this.addFormerBoot(former)
    this.orders.inheritFormerRuns(former, next)
    const hasInheritedRuns = this.orders.hasInheritedRuns(next)
    // A look meant for the former boot may just have been answered by this one.
    const isSameId = former?.registration.workerId === next.registration.workerId
    if (isSameId || hasInheritedRuns) next.lateCallsUntil = this.options.now()
    this.noteLateCalls(next)
    next.isSettled = !hasInheritedRuns && !this.mustAwaitCalls(next)
    if (!this.orders.hasInheritedRuns(next)) this.reportBootEnds('restarted')
    if (!next.isSettled || !next.isRegistered) next.reportedAt = this.options.now()
  }

  private mustAwaitCalls (boot: AgentBoot): boolean {
    return this.outstandingCalls.mustBeAwaited(identityOf(boot), this.options.now())
  }

  private addFormerBoot (boot: AgentBoot): void {
    const { worker } = boot
    const crash = describeCrash(boot, this.options.now())
    if (crash !== undefined) {
      this.options.counters.add('worker_crashes_total')
      this.options.logger.info('worker_crashed', { worker, since_ms: crash.sinceMs, runs: crash.runs.length, youngest: formatYoungestRuns(crash) })
    }
    this.formerBoots = [...this.formerBoots, { worker, ends: [], crash, endedAt: this.options.now() }].slice(-maximumFormerBoots)
    this.unreportedBoots = [...this.unreportedBoots, worker]
  }

  /** Reports the ends of former boots once none of their runs can be at this boot, and reports this boot once no call meant for them can do harm. */
  private settleBoot (boot: AgentBoot): void {
    this.noteLateCalls(boot)
    if (this.orders.hasInheritedRuns(boot)) return
    const hasNewEnds = boot.inheritedEnds.length > 0
    if (hasNewEnds) this.assignInheritedEnds(boot)
    if (this.unreportedBoots.length > 0) this.reportBootEnds('restarted')
    if (boot.isSettled) return
    if (this.mustAwaitCalls(boot)) return hasNewEnds ? this.reportFormerBoots(boot) : undefined
    boot.isSettled = true
    // A call that was under way until now may have been answered by this boot, and granted it a lease.
    boot.lateCallsUntil = Math.max(boot.lateCallsUntil, this.options.now())
    this.reportWorker()
  }

  private assignInheritedEnds (boot: AgentBoot): void {
    const inherited = boot.inheritedEnds
    boot.inheritedEnds = []
    this.formerBoots = this.formerBoots.map(({ worker, ends, ...rest }) =>
      ({ ...rest, worker, ends: [...ends, ...inherited.filter(found => found.worker === worker).map(({ end }) => end)] }))
  }

  /** Reports ended boots ahead of the next worker report, except those with ends of runs, which must reach the leader first. */
  private reportBootEnds (reason: string): void {
    for (const worker of this.unreportedBoots) {
      this.options.logger.info('worker_ended', { worker, reason })
      const former = this.formerBoots.find(found => found.worker === worker)
      if (former !== undefined && former.ends.length > 0) continue
      this.options.send({ type: 'ended', worker, reason, crash: former === undefined ? undefined : this.describe(former).crash })
    }
    this.unreportedBoots = []
  }

  /** A former boot as it is reported now, with the present time since its crash. */
  private describe ({ worker, ends, crash, endedAt }: EndedBoot): FormerBoot {
    if (crash === undefined) return { worker, ends }
    return { worker, ends, crash: { ...crash, sinceMs: crash.sinceMs + Math.round(this.options.now() - endedAt) } }
  }

  private reportWorker (): void {
    if (this.boot?.isRegistered !== true || !this.boot.isSettled) return
    const now = this.options.now()
    const { workerId: _id, sequence: _sequence, ...report } = this.boot.registration
    this.boot.reportedAt = now
    this.boot.isDrainReportedUnconfirmed = isDrainUnconfirmed(this.boot, now)
    const drain = this.describeDrain(this.boot, now)
    const { clockMs } = this.boot.listedClock
    const heldMs = this.lateLeaseMs(this.boot)
    const heldUntilMs = heldMs > 0 ? clockMs + heldMs : undefined
    this.options.send({ type: 'worker', report: { ...report, ...drain, clockMs, worker: this.boot.worker, formerBoots: this.formerBoots.map(former => this.describe(former)), heldUntilMs } })
  }

  private describeDrain ({ registration: { isDraining, remainingMs }, drainNotice, isDrainReportedUnconfirmed }: AgentBoot, now: number): Pick<WorkerReport, 'remainingMs' | 'isDrainUnconfirmed'> {
    if (!isDraining) return {}
    return { isDrainUnconfirmed: isDrainReportedUnconfirmed, ...(remainingMs === undefined ? {} : { remainingMs: drainNotice.leftMs(remainingMs, now) }) }
  }

  /** Tells the leader when a claim that the worker drains is confirmed or contradicted. */
  private reportDrainDecision (boot: AgentBoot): void {
    const isUnconfirmed = isDrainUnconfirmed(boot, this.options.now())
    if (isUnconfirmed === boot.isDrainReportedUnconfirmed || !boot.isRegistered || !boot.isSettled) return
    this.options.logger.info('worker_drain_decided', { worker: boot.worker, confirmed: !isUnconfirmed })
    this.reportWorker()
  }

  /** Reports the boot, or while it can't be used yet only that all others on the VM have ended: a leader that was elected meanwhile knows nothing of it. */
  private reportAgain (boot: AgentBoot): void {
    if (boot.isRegistered && boot.isSettled) this.reportWorker()
    else this.reportFormerBoots(boot)
  }

  private reportFormerBoots (boot: AgentBoot): void {
    if (this.orders.hasInheritedRuns(boot)) return
    boot.reportedAt = this.options.now()
    this.sendVacancy()
  }

  private sendVacancy (): void {
    this.options.send({ type: 'vacant', formerBoots: this.formerBoots.map(former => this.describe(former)) })
  }

  /** Records until when calls meant for former boots may reach a boot; while one is under way this is unknown, and the boot is not used. */
  private noteLateCalls (boot: AgentBoot): void {
    const now = this.options.now()
    const until = this.outstandingCalls.deliverableUntil(identityOf(boot), now)
    if (until > now && Number.isFinite(until)) boot.lateCallsUntil = Math.max(boot.lateCallsUntil, until)
  }

  /** How much longer a boot may hold a lease that a call meant for a former boot grants, in milliseconds of its clock: the longest one, counted from the last delivery. */
  private lateLeaseMs ({ lateCallsUntil }: AgentBoot): number {
    const untilDeliveryMs = lateCallsUntil - this.options.now()
    const elapsedMs = Math.max(0, -untilDeliveryMs) * (1 - maximumDrift)
    return Math.ceil(this.options.longestLeaseMs + Math.max(0, untilDeliveryMs) - elapsedMs)
  }

  private left (workerId: string): void {
    // A worker announces that it drains before it leaves; a late call of a former boot or one of another sender must not stop its runs.
    if (this.boot?.registration.workerId !== workerId || !this.boot.registration.isDraining) return
    // The worker may still run for a moment after announcing its exit; its end is detected by a look that finds nothing listening.
    this.boot.registration = { ...this.boot.registration, isDraining: true, remainingMs: 0 }
    this.options.logger.info('worker_leaving', { worker: this.boot.worker })
    this.reportWorker()
  }

  private endBoot (reason: string): void {
    if (this.boot === undefined) return
    this.addFormerBoot(this.boot)
    this.reportBootEnds(reason)
    this.endedBoot = this.boot
    this.boot = undefined
  }

  private handleLinkOpen (term: number): void {
    this.isLinked = true
    this.term = Math.max(this.term, term)
    this.vacancy.reset()
    if (this.boot === undefined) return
    this.boot.isSynced = false
    this.boot.isStartPermissionKnown = false
    this.boot.unansweredSince = undefined
    this.boot.nextLookAt = 0
    this.reportAgain(this.boot)
  }

  /** Resets the start permission: the leader may forbid starts while there is no stream on which to say so. */
  private handleLinkLoss (): void {
    this.isLinked = false
    if (this.boot !== undefined) this.boot.isStartPermissionKnown = false
  }

  private setStartsAllowed (boot: AgentBoot, areAllowed: boolean): void {
    boot.isStartPermissionKnown = true
    if (boot.areStartsAllowed === areAllowed) return
    boot.areStartsAllowed = areAllowed
    this.options.logger.info('starts_allowed', { worker: boot.worker, allowed: areAllowed })
  }

  private handleControlReply (message: ControlReply): void {
    const { boot } = this
    if (boot === undefined || !('worker' in message) || message.worker !== boot.worker) return
    switch (message.type) {
      case 'lease':
        // The worker shortens a longer lease silently, and the leader would count on another end than the worker.
        boot.leaseEndMs = Math.max(boot.leaseEndMs, Math.min(message.leaseEndMs, boot.listedClock.clockMs + this.options.longestLeaseMs))
        boot.unansweredSince = undefined
        return
      case 'starts': return this.setStartsAllowed(boot, message.areAllowed)
      case 'orders':
        // A leader of an earlier version knows no evacuations and sends no `starts`.
        if (message.isComplete && !boot.isStartPermissionKnown) this.setStartsAllowed(boot, true)
        if (message.isComplete) this.orders.replaceOrders(boot, message.orders)
        else for (const order of message.orders) this.orders.addOrder(boot, order)
        return
      case 'pressures':
        for (const pressure of message.pressures) boot.pressures.set(pairOf(pressure), pressure)
        return
      case 'released': return this.orders.released(boot, message.task, message.run)
      case 'acknowledged':
        boot.acknowledged = Math.max(boot.acknowledged, message.sequence)
        if (boot.acknowledged >= boot.reportedSequence) boot.nextLookAt = 0
    }
  }

  /** Sends every report, look and order that is due. */
  private sendDue (): void {
    const { boot, endedBoot } = this
    // A question carries the term of a leader. The worker accepts the last one also while there is no stream.
    if (this.term > 0) this.claims.sendDue(this.term, boot?.worker)
    this.probeIfUnknown()
    const now = this.options.now()
    if (boot === undefined) return endedBoot === undefined ? undefined : this.orders.rejectLateStarts(endedBoot, now)
    if (this.isLinked && now - boot.reportedAt >= reportRetryMs && !isReportAccepted(boot, now)) this.reportAgain(boot)
    this.reportDrainDecision(boot)
    if (!boot.isLooking && now >= boot.nextLookAt && this.isLinked) this.look(boot)
    this.orders.sendDueOrders(boot, now)
    if (this.claims.hasClaim(boot.registration.workerId)) this.orders.rejectFormerStarts(boot, now)
  }

  /** Probes whether a worker runs while no boot is known and none is being confirmed, and the leader could be told. */
  private probeIfUnknown (): void {
    if (this.boot === undefined && !this.claims.hasClaims && this.isLinked) this.vacancy.sendDue(this.term)
    else this.vacancy.reset()
  }

  private handleProbe (message: Extract<SupervisorMessage, { readonly type: 'probed' }>): void {
    if (!this.vacancy.handleOutcome(message)) return
    this.sendVacancy()
  }

  private look (boot: AgentBoot): void {
    boot.isLooking = true
    boot.lookNumber += 1
    boot.lookSentAt = this.options.now()
    const { worker } = boot
    const number = boot.lookNumber
    const acknowledged = mayAcknowledge(boot) ? boot.acknowledged : 0
    boot.lookAcknowledges = acknowledged
    const settle = this.outstandingCalls.add({ worker, workerId: boot.registration.workerId, acknowledged }, this.options.now())
    this.options.driver.look({
      ...this.context(boot),
      acknowledged,
      ...(boot.leaseEndMs > 0 ? { leaseEndMs: boot.leaseEndMs } : {}),
      waitMs: number === 1 || acknowledged > 0 || boot.silentSince !== undefined ? 0 : this.lookWaitMs(boot)
    }).then(outcome => {
      settle(outcome.type !== 'unanswered', this.options.now())
      this.options.post({ type: 'looked', worker, number, outcome })
    })
  }

  private lookWaitMs (boot: AgentBoot): number {
    const orders = [...boot.trackedRuns.all()]
    if (!boot.isSettled || orders.some(tracked => tracked.phase === 'stopped')) return stopLookWaitMs
    const untilClearedMs = Math.min(...orders.map(tracked => msUntilCleared(tracked, this.options.now())))
    const mustPace = orders.some(tracked => tracked.order.isFilling) && orders.some(tracked => tracked.order.targetMs > 0)
    return Math.ceil(Math.min(untilClearedMs, mustPace ? pacingIntervalMs : maximumLookWaitMs, Math.floor(this.options.leaseMs / minimumLooksPerLease)))
  }

  private handleLookOutcome ({ worker, number, outcome }: Extract<SupervisorMessage, { readonly type: 'looked' }>): void {
    const { boot } = this
    if (boot === undefined || boot.worker !== worker) return
    boot.isLooking = false
    this.options.counters.add('looks_total', { outcome: outcome.type })
    const now = this.options.now()
    if (outcome.type !== 'listed') return this.handleLookFailure(boot, outcome, now)
    boot.consecutiveRefusals = 0
    const listedClock = { clockMs: outcome.clockMs, askedAt: boot.lookSentAt }
    if (outcome.bornMs !== boot.registration.bornMs) return this.handleUnregisteredBoot(boot, outcome.bornMs, listedClock)
    boot.listedClock = listedClock
    boot.silentSince = undefined
    boot.mayBeGone = false
    boot.droppedSequence = Math.max(boot.droppedSequence, boot.lookAcknowledges)
    this.orders.reconcile(boot, outcome, number)
    this.settleBoot(boot)
    this.pacer.pace(boot, outcome.running)
    if (boot.isRegistered && boot.isSettled) this.reportLook(boot, outcome, now)
  }

  /** Handles a look answered by a boot that has not registered yet, under the worker id of the current one. */
  private handleUnregisteredBoot ({ registration: former }: AgentBoot, bornMs: number, listedClock: ListedClock): void {
    const registration = { ...former, bornMs }
    const worker = nameBoot({ agent: this.options.name, ...registration })
    this.options.logger.info('worker_followed', { worker, former: this.boot?.worker })
    const next = { ...createAgentBoot(worker, registration, listedClock), isRegistered: false }
    this.replaceBoot(next)
    for (const heartbeat of this.claims.take(worker)) this.updateBoot(next, heartbeat)
  }

  private handleLookFailure (boot: AgentBoot, outcome: Exclude<LookOutcome, { readonly type: 'listed' }>, now: number): void {
    // A look that timed out has used up a part of the lease, so the next one follows at once.
    boot.nextLookAt = Math.max(now, boot.lookSentAt + refusedIntervalMs)
    if (!isAnswered(outcome)) boot.silentSince ??= now
    if (outcome.type === 'notListening') boot.mayBeGone = true
    boot.consecutiveRefusals = isBootGone(outcome) ? boot.consecutiveRefusals + 1 : 0
    this.options.logger.warn('look_failed', { worker: boot.worker, outcome: outcome.type, reason: outcome.type === 'refused' ? outcome.reason : undefined })
    if (boot.consecutiveRefusals >= refusalsUntilEnded) this.endBoot(outcome.type === 'notListening' ? 'not listening' : 'replaced')
  }

  private reportLook (boot: AgentBoot, outcome: Extract<LookOutcome, { readonly type: 'listed' }>, now: number): void {
    const ends = outcome.ends.filter(ended => ended.sequence > boot.acknowledged)
    boot.unansweredSince ??= now
    const running = outcome.running.map(row => {
      const beganAt = boot.trackedRuns.find(row.task, row.run)?.beganAt
      return beganAt === undefined ? row : { ...row, ageMs: now - beganAt }
    })
    this.options.send({ type: 'look', look: { worker: boot.worker, clockMs: outcome.clockMs, running, ends } })
    boot.reportedSequence = Math.max(boot.reportedSequence, ...ends.map(ended => ended.sequence))
    boot.nextLookAt = ends.length > 0 ? now + acknowledgeWaitMs : now
  }
}

/** Whether the leader's answers show that it accepted the report of a boot on this stream: it sent a complete list, and answers each look with a lease. */
function isReportAccepted ({ isSynced, unansweredSince }: AgentBoot, now: number): boolean {
  return isSynced && (unansweredSince === undefined || now - unansweredSince < reportRetryMs)
}

function isDrainUnconfirmed ({ registration, drainNotice }: AgentBoot, now: number): boolean {
  return registration.isDraining && !drainNotice.isConfirmed(now)
}

function identityOf ({ worker, registration: { workerId } }: AgentBoot): { readonly worker: string, readonly workerId: string } {
  return { worker, workerId }
}

/**
 * Whether the next look acknowledges ends. It is answered at once then, as one that waits is under way at nearly each crash, and
 * could drop unseen ends of the next boot under the same worker id. While the worker doesn't answer, looks acknowledge nothing.
 */
function mayAcknowledge ({ acknowledged, droppedSequence, silentSince, mayBeGone }: AgentBoot): boolean {
  return acknowledged > droppedSequence && silentSince === undefined && !mayBeGone
}

/** How long until a run that is suspected of crashing workers has outlived the suspicion, in milliseconds; infinite for other runs. */
function msUntilCleared ({ order: { clearedAfterMs }, beganAt }: TrackedRun, now: number): number {
  const leftMs = clearedAfterMs === undefined || beganAt === undefined ? 0 : beganAt + clearedAfterMs - now
  return leftMs > 0 ? leftMs : Number.POSITIVE_INFINITY
}

/** Whether a failed look was answered by the boot for which it was meant. */
function isAnswered (outcome: Exclude<LookOutcome, { readonly type: 'listed' }>): boolean {
  return outcome.type === 'refused' && outcome.reason !== 'otherBoot'
}

/** Whether a failed look shows that the boot no longer listens at its address. */
function isBootGone (outcome: Exclude<LookOutcome, { readonly type: 'listed' }>): boolean {
  return outcome.type === 'notListening' || (outcome.type === 'refused' && outcome.reason === 'otherBoot')
}
