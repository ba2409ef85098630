import { nameBoot, pairOf, standingOf, type FormerBoot } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { LookOutcome, OrderContext, WorkerDriver } from '../../workers'
import { createAgentBoot, pacingLookMs, type AgentBoot } from './agentBoot'
import type { ClientMessage, ControlReply } from './controlProtocol'
import { FillPacer } from './fillPacer'
import { LateCalls } from './lateCalls'
import { OrderKeeper } from './orderKeeper'
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
const longestLookMs = 1250
/** How long the look that shows whether a stopped run was there waits, in milliseconds; a stop takes about this long. */
const stopLookMs = 150
/** Consecutive looks that find nothing or another boot listening, after which a boot counts as ended. */
const refusalsOfEndedBoot = 3
/** Least number of looks per lease, as each look extends the lease and this must happen well before it ends. */
const fewestLooksInLease = 4
const failedLookPauseMs = 200
/** Most former boots named in a report; enough for a leader that missed the ends of all boots that it knew. */
const mostFormerBoots = 8
/** Interval in milliseconds at which a boot is reported again until the leader's answers show that it accepted the report; several round trips. */
const reportAgainMs = 1000

/** Makes all calls to the worker beside an agent on behalf of the leader, and reports the worker's boots to the leader. */
export class WorkerSupervisor {
  private boot: AgentBoot | undefined
  private term = 0
  private isLinked = false
  /** Boots that have ended, newest last. */
  private formerBoots: readonly FormerBoot[] = []
  /** Former boots whose ends were not reported to the leader yet. */
  private untoldBoots: readonly string[] = []
  private readonly lateCalls = new LateCalls()
  private readonly orders: OrderKeeper
  private readonly pacer: FillPacer
  /** The fencing context (worker id and term) sent with every call to the worker of a boot. */
  private readonly context: (boot: AgentBoot) => OrderContext

  constructor (private readonly options: WorkerSupervisorOptions) {
    const context = (boot: AgentBoot): OrderContext => ({ workerId: boot.registration.workerId, term: this.term })
    this.orders = new OrderKeeper({ ...options, lateCalls: this.lateCalls, context })
    this.pacer = new FillPacer({ ...options, context })
    this.context = context
  }

  /** Handles one message, then sends whatever is due. */
  handle (message: SupervisorMessage): void {
    this.take(message)
    this.advance()
  }

  private take (message: SupervisorMessage): void {
    switch (message.type) {
      case 'registered': return this.register(message.registration)
      case 'left': return this.left(message.workerId)
      case 'linkOpen': return this.linkOpened(message.term)
      case 'linkLost': return this.linkLost()
      case 'control': return this.takeControl(message.message)
      case 'looked': return this.looked(message)
      case 'startAnswered': return this.boot === undefined ? undefined : this.orders.startAnswered(this.boot, message)
      case 'stopAnswered': return this.boot === undefined ? undefined : this.orders.stopAnswered(this.boot, message)
      case 'tick':
    }
  }

  private register (registration: Registration): void {
    const known = this.boot?.registration
    if (known !== undefined && registration.bornMs < known.bornMs) {
      this.options.logger.info('registration_stale', { worker: registration.workerId, born: registration.bornMs, known: this.boot?.worker })
      return
    }
    const worker = nameBoot({ agent: this.options.name, ...registration })
    const isSameBoot = this.boot?.worker === worker
    if (isSameBoot && registration.sequence <= (known?.sequence ?? 0)) return
    const isChanged = this.boot?.isRegistered !== true || !isSameBoot || known?.isDraining !== registration.isDraining
    if (!isSameBoot || this.boot?.isRegistered === false) this.options.logger.info('worker_registered', { worker, former: this.boot?.worker, pool: registration.pool })
    if (!isSameBoot) this.replaceBoot(createAgentBoot(worker, registration))
    if (this.boot !== undefined) Object.assign(this.boot, { registration, isRegistered: true })
    if (isChanged) this.reportWorker()
  }

  /** Makes `next` the current boot; the one before it, if any, becomes a former boot. */
  private replaceBoot (next: AgentBoot): void {
    const former = this.boot
    this.boot = next
    if (former !== undefined) this.addFormer(former.worker)
    this.orders.inherit(former, next)
    next.isSettled = !this.mayGetLateCalls(next)
    next.mayHoldLease = !next.isSettled
    if (!this.orders.mayRunInherited(next)) this.tellEnds('restarted')
  }

  private mayGetLateCalls ({ worker, registration: { workerId } }: AgentBoot): boolean {
    return this.lateCalls.possibleAt({ worker, workerId }, this.options.now()).length > 0
  }

  private addFormer (worker: string): void {
    this.formerBoots = [...this.formerBoots, { worker, ends: [] }].slice(-mostFormerBoots)
    this.untoldBoots = [...this.untoldBoots, worker]
  }

  /** Reports the ends of former boots once none of their runs can be at this boot, and reports this boot once no call meant for them can arrive. */
  private settle (boot: AgentBoot): void {
    if (this.orders.mayRunInherited(boot)) return
    if (boot.inheritedEnds.length > 0) this.takeInheritedEnds(boot)
    if (this.untoldBoots.length > 0) this.tellEnds('restarted')
    if (boot.isSettled || this.mayGetLateCalls(boot)) return
    boot.isSettled = true
    this.reportWorker()
  }

  private takeInheritedEnds (boot: AgentBoot): void {
    const inherited = boot.inheritedEnds
    boot.inheritedEnds = []
    this.formerBoots = this.formerBoots.map(({ worker, ends }) =>
      ({ worker, ends: [...ends, ...inherited.filter(found => found.worker === worker).map(({ end }) => end)] }))
  }

  /** Reports ended boots ahead of the next worker report, except those with ends of runs, which must reach the leader first. */
  private tellEnds (reason: string): void {
    for (const worker of this.untoldBoots) {
      this.options.logger.info('worker_ended', { worker, reason })
      if (this.formerBoots.some(former => former.worker === worker && former.ends.length > 0)) continue
      this.options.send({ type: 'ended', worker, reason })
    }
    this.untoldBoots = []
  }

  private reportWorker (): void {
    if (this.boot?.isRegistered !== true || !this.boot.isSettled) return
    this.boot.reportedAt = this.options.now()
    const { workerId: _id, sequence: _sequence, ...report } = this.boot.registration
    const heldUntilMs = this.boot.mayHoldLease ? report.clockMs + this.options.longestLeaseMs : undefined
    this.options.send({ type: 'worker', report: { ...report, worker: this.boot.worker, formerBoots: this.formerBoots, heldUntilMs } })
  }

  private left (workerId: string): void {
    if (this.boot?.registration.workerId !== workerId) return
    // The worker may still run for a moment after announcing its exit; its end is detected by a look that finds nothing listening.
    this.boot.registration = { ...this.boot.registration, isDraining: true, remainingMs: 0 }
    this.options.logger.info('worker_leaving', { worker: this.boot.worker })
    this.reportWorker()
  }

  private endBoot (reason: string): void {
    if (this.boot === undefined) return
    this.addFormer(this.boot.worker)
    this.tellEnds(reason)
    this.boot = undefined
  }

  private linkOpened (term: number): void {
    this.isLinked = true
    this.term = Math.max(this.term, term)
    if (this.boot === undefined) return
    this.boot.isSynced = false
    this.boot.isToldOfStarts = false
    this.boot.unansweredSince = undefined
    this.boot.nextLookAt = 0
    this.reportWorker()
  }

  /** Resets the start permission: the leader may forbid starts while there is no stream on which to say so. */
  private linkLost (): void {
    this.isLinked = false
    if (this.boot !== undefined) this.boot.isToldOfStarts = false
  }

  private allowStarts (boot: AgentBoot, areAllowed: boolean): void {
    boot.isToldOfStarts = true
    if (boot.areStartsAllowed === areAllowed) return
    boot.areStartsAllowed = areAllowed
    this.options.logger.info('starts_allowed', { worker: boot.worker, allowed: areAllowed })
  }

  private takeControl (message: ControlReply): void {
    const { boot } = this
    if (boot === undefined || !('worker' in message) || message.worker !== boot.worker) return
    switch (message.type) {
      case 'lease':
        boot.leaseEndMs = Math.max(boot.leaseEndMs, message.leaseEndMs)
        boot.unansweredSince = undefined
        return
      case 'starts': return this.allowStarts(boot, message.areAllowed)
      case 'orders':
        // A leader of an earlier version knows no evacuations and sends no `starts`.
        if (message.isComplete && !boot.isToldOfStarts) this.allowStarts(boot, true)
        if (message.isComplete) this.orders.replaceHeld(boot, message.orders)
        else for (const order of message.orders) this.orders.hold(boot, order)
        return
      case 'pressures':
        for (const pressure of message.pressures) boot.standings.set(pairOf(pressure), standingOf(pressure))
        return
      case 'released': return this.orders.released(boot, message.task, message.run)
      case 'acknowledged':
        boot.acknowledged = Math.max(boot.acknowledged, message.sequence)
        if (boot.acknowledged >= boot.reported) boot.nextLookAt = 0
    }
  }

  /** Sends every report, look and order that is due. */
  private advance (): void {
    const { boot } = this
    if (boot === undefined) return
    const now = this.options.now()
    if (this.isLinked && now - boot.reportedAt >= reportAgainMs && !isTaken(boot, now)) this.reportWorker()
    if (!boot.isLooking && now >= boot.nextLookAt && this.isLinked) this.look(boot)
    this.orders.advance(boot, now)
  }

  private look (boot: AgentBoot): void {
    boot.isLooking = true
    boot.lookNumber += 1
    const { worker } = boot
    const number = boot.lookNumber
    const settle = this.lateCalls.add({ worker, workerId: boot.registration.workerId }, this.options.now())
    this.options.driver.look({
      ...this.context(boot),
      acknowledged: boot.acknowledged,
      ...(boot.leaseEndMs > 0 ? { leaseEndMs: boot.leaseEndMs } : {}),
      waitMs: number === 1 ? 0 : this.lookWaitMs(boot)
    }).then(outcome => {
      settle(outcome.type !== 'unanswered', this.options.now())
      this.options.post({ type: 'looked', worker, number, outcome })
    })
  }

  private lookWaitMs (boot: AgentBoot): number {
    const orders = [...boot.held.all()]
    if (orders.some(held => held.phase === 'stopped')) return stopLookMs
    const mustPace = orders.some(held => held.order.isFilling) && orders.some(held => held.order.targetMs > 0)
    return mustPace ? pacingLookMs : Math.min(longestLookMs, Math.floor(this.options.leaseMs / fewestLooksInLease))
  }

  private looked ({ worker, number, outcome }: Extract<SupervisorMessage, { readonly type: 'looked' }>): void {
    const { boot } = this
    if (boot === undefined || boot.worker !== worker) return
    boot.isLooking = false
    this.options.counters.add('looks_total', { outcome: outcome.type })
    const now = this.options.now()
    if (outcome.type !== 'listed') return this.lookFailed(boot, outcome, now)
    boot.refusals = 0
    if (outcome.bornMs !== boot.registration.bornMs) return this.bootFollowed(boot, outcome.bornMs)
    this.orders.reconcile(boot, outcome, number)
    this.settle(boot)
    this.pacer.pace(boot, outcome.running)
    if (boot.isRegistered && boot.isSettled) this.reportLook(boot, outcome, now)
  }

  /** Handles a look answered by a boot that has not registered yet, under the worker id of the current one. */
  private bootFollowed ({ registration: former }: AgentBoot, bornMs: number): void {
    const registration = { ...former, bornMs, sequence: 0 }
    const worker = nameBoot({ agent: this.options.name, ...registration })
    this.options.logger.info('worker_followed', { worker, former: this.boot?.worker })
    this.replaceBoot({ ...createAgentBoot(worker, registration), isRegistered: false })
  }

  private lookFailed (boot: AgentBoot, outcome: Exclude<LookOutcome, { readonly type: 'listed' }>, now: number): void {
    boot.nextLookAt = now + failedLookPauseMs
    boot.refusals = isOver(outcome) ? boot.refusals + 1 : 0
    this.options.logger.warn('look_failed', { worker: boot.worker, outcome: outcome.type, reason: outcome.type === 'refused' ? outcome.reason : undefined })
    if (boot.refusals >= refusalsOfEndedBoot) this.endBoot(outcome.type === 'notListening' ? 'not listening' : 'replaced')
  }

  private reportLook (boot: AgentBoot, outcome: Extract<LookOutcome, { readonly type: 'listed' }>, now: number): void {
    const ends = outcome.ends.filter(ended => ended.sequence > boot.acknowledged)
    boot.unansweredSince ??= now
    this.options.send({ type: 'look', look: { worker: boot.worker, clockMs: outcome.clockMs, running: outcome.running, ends } })
    boot.reported = Math.max(boot.reported, ...ends.map(ended => ended.sequence))
    boot.nextLookAt = ends.length > 0 ? now + acknowledgeWaitMs : now
  }
}

/** Whether the leader's answers show that it accepted the report of a boot on this stream: it sent a complete list, and answers each look with a lease. */
function isTaken ({ isSynced, unansweredSince }: AgentBoot, now: number): boolean {
  return isSynced && (unansweredSince === undefined || now - unansweredSince < reportAgainMs)
}

/** Whether a failed look shows that the boot no longer listens at its address. */
function isOver (outcome: Exclude<LookOutcome, { readonly type: 'listed' }>): boolean {
  return outcome.type === 'notListening' || (outcome.type === 'refused' && outcome.reason === 'otherBoot')
}
