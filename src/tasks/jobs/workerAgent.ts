import { FillPacing, nameBoot, type AbsenceReason, type RunOrder, type RunningTask } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { LookOutcome, OrderContext, OrderOutcome, WorkerDriver } from '../../workers'
import { Mailbox, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'
import type { ClientMessage, ControlReply } from './controlProtocol'
import { createHeldRun, type HeldRun } from './heldRun'
import type { Registration, WorkerAgentMessage } from './workerAgentMessage'

/** Options of the task of an agent. Times are in milliseconds. */
export interface WorkerAgentOptions {
  /** The name of the agent, which names the VM. */
  readonly name: string
  readonly driver: WorkerDriver
  /** Sends to the leader; false if there is none. */
  readonly send: (message: ClientMessage) => boolean
  /** The length of a lease, which bounds how often it must be extended. */
  readonly leaseMs: number
  readonly now: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** The worker of this VM in its present boot. */
interface Boot {
  /** The name of this boot. */
  readonly worker: string
  registration: Registration
  /** The end of its lease in its own clock, as far as the leader granted it. */
  leaseEndMs: number
  /** What the leader wants at it, by the names of tasks. */
  held: Map<string, HeldRun>
  /** Whether the complete list of the present leader has come; before that nothing is ordered. */
  isSynced: boolean
  readonly pacing: FillPacing
  /** Ends up to this sequence number are committed. */
  acknowledged: number
  /** The highest sequence number which was reported to the leader. */
  reported: number
  /** When filling tasks were last paced by new figures. */
  pacedAt: number
  isLooking: boolean
  lookNumber: number
  nextLookAt: number
  /** Looks in a row which found nothing listening. */
  refusals: number
}

const tickMs = 50
/** Pause before an order which got no answer, or was refused for a passing reason, is sent again. */
const orderPauseMs = 150
/** How long the next look waits for the commit of ends which it would acknowledge. */
const acknowledgeWaitMs = 300
/** The longest wait for an end within a look, as the worker allows. */
const longestLookMs = 2000
/** The wait within a look that shows whether a stopped run was there; a stop takes about this long. */
const stopLookMs = 150
/** The wait within a look while tasks serve beside filling ones; figures cover half a second. */
const pacingLookMs = 500
/** Looks in a row that find nothing listening after which a boot has ended. */
const refusalsOfEndedBoot = 3
const failedLookPauseMs = 200

/** The task of an agent: the one hand which touches the worker beside it, on behalf of the leader. */
export class WorkerAgent {
  readonly mailbox = new Mailbox<WorkerAgentMessage>('agent')
  private readonly ticker: Timer
  private boot: Boot | undefined
  private term = 0
  private isLinked = false

  constructor (private readonly options: WorkerAgentOptions) {
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  private * run (): TaskBody {
    for (;;) {
      const message = yield * this.mailbox.take()
      if (message === undefined) return
      if (message.type === 'stop') return this.close()
      this.handle(message)
      this.advance()
    }
  }

  private close (): void {
    this.ticker.stop()
    this.mailbox.close()
    this.options.driver.close()
  }

  private handle (message: Exclude<WorkerAgentMessage, { readonly type: 'stop' }>): void {
    switch (message.type) {
      case 'registered': return this.register(message.registration)
      case 'left': return this.left(message.workerId)
      case 'linkOpen': return this.linkOpened(message.term)
      case 'linkLost':
        this.isLinked = false
        return
      case 'control': return this.takeControl(message.message)
      case 'looked': return this.looked(message)
      case 'startAnswered': return this.startAnswered(message)
      case 'stopAnswered': return this.stopAnswered(message)
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
    const isChanged = !isSameBoot || known?.isDraining !== registration.isDraining
    if (!isSameBoot) this.options.logger.info('worker_registered', { worker, former: this.boot?.worker, pool: registration.pool })
    if (isSameBoot && this.boot !== undefined) this.boot.registration = registration
    else this.boot = createBoot(worker, registration)
    if (isChanged) this.reportWorker()
  }

  private reportWorker (): void {
    if (this.boot === undefined) return
    const { workerId: _id, sequence: _sequence, ...report } = this.boot.registration
    this.options.send({ type: 'worker', report: { ...report, worker: this.boot.worker } })
  }

  private left (workerId: string): void {
    if (this.boot?.registration.workerId !== workerId) return
    // It may run on for a moment after it said so; a look that finds nothing listening tells when it has ended.
    this.boot.registration = { ...this.boot.registration, isDraining: true, remainingMs: 0 }
    this.options.logger.info('worker_leaving', { worker: this.boot.worker })
    this.reportWorker()
  }

  private endBoot (reason: string): void {
    if (this.boot === undefined) return
    const { worker } = this.boot
    this.options.logger.info('worker_ended', { worker, reason })
    this.options.send({ type: 'ended', worker, reason })
    this.boot = undefined
  }

  private linkOpened (term: number): void {
    this.isLinked = true
    this.term = Math.max(this.term, term)
    if (this.boot === undefined) return
    this.boot.isSynced = false
    this.boot.nextLookAt = 0
    this.reportWorker()
  }

  private takeControl (message: ControlReply): void {
    const { boot } = this
    if (boot === undefined || !('worker' in message) || message.worker !== boot.worker) return
    switch (message.type) {
      case 'lease':
        boot.leaseEndMs = Math.max(boot.leaseEndMs, message.leaseEndMs)
        return
      case 'orders':
        if (message.isComplete) this.replaceHeld(boot, message.orders)
        else for (const order of message.orders) this.hold(boot, order)
        return
      case 'acknowledged':
        boot.acknowledged = Math.max(boot.acknowledged, message.sequence)
        if (boot.acknowledged >= boot.reported) boot.nextLookAt = 0
    }
  }

  private replaceHeld (boot: Boot, orders: readonly RunOrder[]): void {
    boot.held = keepKnown(boot.held, orders)
    boot.isSynced = true
  }

  private hold (boot: Boot, order: RunOrder): void {
    const known = boot.held.get(order.task)
    if (known !== undefined && known.order.run === order.run) known.order = { ...order, isUnwanted: order.isUnwanted || known.order.isUnwanted }
    else boot.held.set(order.task, createHeldRun(order))
  }

  /** Sends every order and look whose time has come. */
  private advance (): void {
    const { boot } = this
    if (boot === undefined) return
    const now = this.options.now()
    if (!boot.isLooking && now >= boot.nextLookAt && this.isLinked) this.look(boot)
    if (!boot.isSynced || boot.leaseEndMs === 0) return
    for (const held of boot.held.values()) {
      if (now >= held.nextOrderAt) this.advanceRun(boot, held, now)
    }
  }

  private advanceRun (boot: Boot, held: HeldRun, now: number): void {
    const { order, phase } = held
    if (order.isUnwanted && phase === 'started') return this.stop(boot, held, now)
    if (phase !== 'pending') return
    if (order.isUnwanted) return this.withdraw(boot, held, 'stopped', now)
    if (boot.registration.isDraining) return this.withdraw(boot, held, 'noRoom', now)
    this.start(boot, held, now)
  }

  /** Gives a run back which was not started; one that may still start is stopped first. */
  private withdraw (boot: Boot, held: HeldRun, reason: AbsenceReason, now: number): void {
    if (!held.mayStartLate) return this.reportAbsent(boot, held, reason)
    held.order = { ...held.order, isUnwanted: true }
    this.stop(boot, held, now)
  }

  private start (boot: Boot, held: HeldRun, now: number): void {
    const { order } = held
    held.phase = 'ordering'
    held.nextOrderAt = now + orderPauseMs
    const { worker } = boot
    this.options.driver.start(order, boot.leaseEndMs, this.context(boot))
      .then(outcome => this.mailbox.post({ type: 'startAnswered', worker, task: order.task, run: order.run, outcome }))
  }

  private stop (boot: Boot, held: HeldRun, now: number): void {
    const { task, run } = held.order
    held.phase = 'ordering'
    held.nextOrderAt = now + orderPauseMs
    const { worker } = boot
    this.options.driver.stop(task, run, this.context(boot))
      .then(outcome => this.mailbox.post({ type: 'stopAnswered', worker, task, run, outcome }))
  }

  private startAnswered ({ worker, task, run, outcome }: Extract<WorkerAgentMessage, { readonly type: 'startAnswered' }>): void {
    const { boot } = this
    const held = this.findHeld(worker, task, run)
    if (boot === undefined || held === undefined || held.phase !== 'ordering') return
    this.logOutcome('run_start', boot, held, outcome)
    if (outcome.type === 'done') {
      this.reach(boot, held, 'started')
      return
    }
    held.phase = 'pending'
    if (outcome.type === 'unanswered') held.mayStartLate = true
    if (outcome.type === 'refused') this.startRefused(boot, held, outcome.reason)
  }

  private startRefused (boot: Boot, held: HeldRun, reason: Extract<OrderOutcome, { readonly type: 'refused' }>['reason']): void {
    switch (reason) {
      case 'fenced':
      case 'late':
      case 'otherBoot':
        // A newer leader, a longer lease or a new registration is on its way.
        return
      case 'superseded':
        // The run is there no more, and its end is listed unless it was acknowledged.
        this.reach(boot, held, 'stopped')
        return
      case 'noRoom':
      case 'noTicket': return this.withdraw(boot, held, 'noRoom', this.options.now())
      case 'unhealthy': return this.withdraw(boot, held, 'unhealthy', this.options.now())
      case 'malformed': return this.withdraw(boot, held, 'refused', this.options.now())
    }
  }

  private stopAnswered ({ worker, task, run, outcome }: Extract<WorkerAgentMessage, { readonly type: 'stopAnswered' }>): void {
    const { boot } = this
    const held = this.findHeld(worker, task, run)
    if (boot === undefined || held === undefined || held.phase !== 'ordering') return
    this.logOutcome('run_stop', boot, held, outcome)
    if (outcome.type === 'done') this.reach(boot, held, 'stopped')
    else held.phase = 'pending'
  }

  private reach (boot: Boot, held: HeldRun, phase: HeldRun['phase']): void {
    held.phase = phase
    held.phaseLook = boot.lookNumber
    if (phase === 'stopped') boot.nextLookAt = Math.min(boot.nextLookAt, this.options.now())
  }

  private look (boot: Boot): void {
    boot.isLooking = true
    boot.lookNumber += 1
    const { worker } = boot
    const number = boot.lookNumber
    this.options.driver.look({
      ...this.context(boot),
      acknowledged: boot.acknowledged,
      ...(boot.leaseEndMs > 0 ? { leaseEndMs: boot.leaseEndMs } : {}),
      waitMs: number === 1 ? 0 : this.lookWaitMs(boot)
    }).then(outcome => this.mailbox.post({ type: 'looked', worker, number, outcome }))
  }

  private lookWaitMs (boot: Boot): number {
    const orders = [...boot.held.values()]
    if (orders.some(held => held.phase === 'stopped')) return stopLookMs
    const mustPace = orders.some(held => held.order.isFilling) && orders.some(held => held.order.targetMs > 0)
    return mustPace ? pacingLookMs : Math.min(longestLookMs, Math.floor(this.options.leaseMs / 4))
  }

  private looked ({ worker, number, outcome }: Extract<WorkerAgentMessage, { readonly type: 'looked' }>): void {
    const { boot } = this
    if (boot === undefined || boot.worker !== worker) return
    boot.isLooking = false
    this.options.counters.add('looks_total', { outcome: outcome.type })
    const now = this.options.now()
    if (outcome.type !== 'listed') return this.lookFailed(boot, outcome, now)
    boot.refusals = 0
    if (outcome.bornMs !== boot.registration.bornMs) return this.endBoot('restarted')
    this.reconcile(boot, outcome, number)
    this.pace(boot, outcome.running)
    this.reportLook(boot, outcome, now)
  }

  private lookFailed (boot: Boot, outcome: Exclude<LookOutcome, { readonly type: 'listed' }>, now: number): void {
    boot.nextLookAt = now + failedLookPauseMs
    boot.refusals = outcome.type === 'notListening' ? boot.refusals + 1 : 0
    this.options.logger.warn('look_failed', { worker: boot.worker, outcome: outcome.type, reason: outcome.type === 'refused' ? outcome.reason : undefined })
    if (boot.refusals >= refusalsOfEndedBoot) this.endBoot('not listening')
  }

  private reportLook (boot: Boot, outcome: Extract<LookOutcome, { readonly type: 'listed' }>, now: number): void {
    const ends = outcome.ends.filter(ended => ended.sequence > boot.acknowledged)
    this.options.send({ type: 'look', look: { worker: boot.worker, clockMs: outcome.clockMs, running: outcome.running, ends } })
    boot.reported = Math.max(boot.reported, ...ends.map(ended => ended.sequence))
    boot.nextLookAt = ends.length > 0 ? now + acknowledgeWaitMs : now
  }

  /** Compares what the leader wants with what the worker lists. */
  private reconcile (boot: Boot, outcome: Extract<LookOutcome, { readonly type: 'listed' }>, number: number): void {
    const running = new Map(outcome.running.map(task => [task.task, task.run]))
    const ended = new Map(outcome.ends.map(end => [end.task, end.run]))
    for (const [task, held] of boot.held) if (ended.get(task) === held.order.run) held.phase = 'ended'
    if (!boot.isSynced) return
    for (const [task, held] of boot.held) {
      const { run } = held.order
      if (ended.get(task) === run) continue
      if (running.get(task) === run) this.foundRunning(boot, held)
      else this.foundMissing(boot, held, number)
    }
    for (const [task, run] of running) if (!boot.held.has(task)) this.stopUnknown(boot, task, run)
  }

  private foundRunning (boot: Boot, held: HeldRun): void {
    if (held.phase === 'pending') this.reach(boot, held, 'started')
  }

  private foundMissing (boot: Boot, held: HeldRun, number: number): void {
    if (number <= held.phaseLook) return
    if (held.phase === 'ended') boot.held.delete(held.order.task)
    else if (held.phase === 'stopped') this.reportAbsent(boot, held, 'stopped')
    else if (held.phase === 'started') this.withdraw(boot, held, 'vanished', this.options.now())
  }

  private stopUnknown (boot: Boot, task: string, run: number): void {
    this.options.logger.info('unknown_run_found', { task, run, worker: boot.worker })
    const held = createHeldRun({ task, run, spec: '', checkpoint: '', isFilling: false, targetMs: 0, isUnwanted: true })
    held.mayStartLate = true
    boot.held.set(task, held)
  }

  private reportAbsent (boot: Boot, held: HeldRun, reason: AbsenceReason): void {
    const { task, run } = held.order
    boot.held.delete(task)
    this.options.send({ type: 'absent', worker: boot.worker, task, run, reason })
  }

  private pace (boot: Boot, running: readonly RunningTask[]): void {
    const { held } = boot
    const serving = running.flatMap(task => {
      const targetMs = held.get(task.task)?.order.targetMs ?? 0
      return targetMs > 0 && task.percent >= 100 ? [{ tailLatencyMs: task.figure, targetMs }] : []
    })
    const now = this.options.now()
    const isFresh = now - boot.pacedAt >= pacingLookMs
    if (isFresh) boot.pacedAt = now
    const percent = isFresh ? boot.pacing.observe(serving) : boot.pacing.percent
    for (const task of running) {
      const run = held.get(task.task)
      if (run === undefined || !run.order.isFilling || run.pace === percent || run.order.run !== task.run) continue
      run.pace = percent
      this.options.driver.pace(task.task, task.run, percent, this.context(boot)).then(outcome => {
        if (outcome.type !== 'done') run.pace = unknownPace
      })
    }
  }

  private findHeld (worker: string, task: string, run: number): HeldRun | undefined {
    if (this.boot?.worker !== worker) return undefined
    const held = this.boot.held.get(task)
    return held?.order.run === run ? held : undefined
  }

  private context (boot: Boot): OrderContext {
    return { workerId: boot.registration.workerId, fencingToken: this.term }
  }

  private logOutcome (event: string, boot: Boot, held: HeldRun, outcome: OrderOutcome): void {
    this.options.counters.add(`${event}s_total`, { outcome: outcome.type === 'refused' ? outcome.reason : outcome.type })
    if (outcome.type === 'done') return
    this.options.logger.warn(event, {
      task: held.order.task,
      run: held.order.run,
      worker: boot.worker,
      outcome: outcome.type,
      reason: outcome.type === 'refused' ? outcome.reason : undefined,
      lease_end: boot.leaseEndMs,
      term: this.term
    })
  }
}

/** Stands for a pace which a lost call may or may not have set, so that it is sent again. */
const unknownPace = -1

function createBoot (worker: string, registration: Registration): Boot {
  return {
    worker,
    registration,
    leaseEndMs: 0,
    held: new Map(),
    isSynced: false,
    pacing: new FillPacing(),
    acknowledged: 0,
    reported: 0,
    pacedAt: 0,
    isLooking: false,
    lookNumber: 0,
    nextLookAt: 0,
    refusals: 0
  }
}

/** Takes a complete list of orders and keeps what is known of those that were held before. */
function keepKnown (known: ReadonlyMap<string, HeldRun>, orders: readonly RunOrder[]): Map<string, HeldRun> {
  return new Map(orders.map(order => {
    const held = known.get(order.task)
    // A former life of this agent may have sent a start whose answer never came.
    return [order.task, held !== undefined && held.order.run === order.run ? { ...held, order } : { ...createHeldRun(order), mayStartLate: true }]
  }))
}
