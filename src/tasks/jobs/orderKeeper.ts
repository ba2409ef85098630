import type { AbsenceReason, RunOrder } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { LookOutcome, OrderContext, OrderOutcome, WorkerDriver } from '../../workers'
import type { AgentBoot } from './agentBoot'
import type { ClientMessage } from './controlProtocol'
import { isPossible, type HeldRun } from './heldRun'
import type { LateCalls } from './lateCalls'
import type { SupervisorMessage } from './workerAgentMessage'

/** Dependencies of `RunReconciler`. */
export interface OrderKeeperOptions {
  readonly driver: WorkerDriver
  /** Sends to the leader; returns false if there is no stream to one. */
  readonly send: (message: ClientMessage) => boolean
  /** Posts the worker's answers to the task that owns this object. */
  readonly post: (message: SupervisorMessage) => void
  /** The fencing context (worker id and term) sent with every call to the worker of a boot. */
  readonly context: (boot: AgentBoot) => OrderContext
  readonly lateCalls: LateCalls
  /** Steady time in milliseconds. */
  readonly now: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** Pause in milliseconds before an order is sent again that got no answer or was refused for a transient reason. */
const orderPauseMs = 150
/** Interval in milliseconds at which giving a run back is repeated until the leader confirms it; several commits. */
const giveBackAgainMs = 1000

/** Reconciles the runs at a worker with the leader's orders: starts and stops runs, and gives back those that are certainly not there. */
export class OrderKeeper {
  constructor (private readonly options: OrderKeeperOptions) {}

  /** Sends every order that is due; until the leader's complete list and a lease have arrived, only stops of inherited runs. */
  advance (boot: AgentBoot, now: number): void {
    const mayOrder = boot.isSettled && boot.isSynced && boot.leaseEndMs > 0
    for (const held of boot.held.all()) {
      if ((mayOrder || isInherited(held)) && now >= held.nextOrderAt) this.advanceRun(boot, held, now)
    }
  }

  /**
   * Makes the next boot stop runs that were ordered at a former boot but may still be delivered to it. A worker refuses
   * orders for another worker id, but not those for a former boot under its own id.
   */
  inherit (former: AgentBoot | undefined, next: AgentBoot): void {
    const { workerId } = next.registration
    for (const { worker, start } of this.options.lateCalls.possibleAt({ worker: next.worker, workerId }, this.options.now())) {
      if (start !== undefined) inheritRun(next, worker, start)
    }
    if (former?.registration.workerId !== workerId) return
    for (const held of former.held.all()) if (isPossible(held)) inheritRun(next, held.inheritedFrom === '' ? former.worker : held.inheritedFrom, held.order)
  }

  /** Whether a run that was ordered at a former boot may still be at this one. */
  mayRunInherited (boot: AgentBoot): boolean {
    return [...boot.held.all()].some(held => isInherited(held) && isPossible(held))
  }

  /** Applies the leader's complete list. A run missing from it is stopped if it may be at the worker, and otherwise dropped. */
  replaceHeld (boot: AgentBoot, orders: readonly RunOrder[]): void {
    const wanted = new Map(orders.map(order => [order.task, order.run]))
    for (const held of boot.held.all()) {
      if (wanted.get(held.order.task) === held.order.run) continue
      if (isPossible(held)) held.order = { ...held.order, isUnwanted: true }
      else boot.held.remove(held)
    }
    for (const order of orders) this.holdListed(boot, order)
    boot.isSynced = true
  }

  private holdListed (boot: AgentBoot, order: RunOrder): void {
    const known = boot.held.find(order.task, order.run)
    // A previous process of this agent may have sent a start and exited before the answer arrived.
    if (known === undefined) Object.assign(boot.held.add(order), { mayRun: true, phaseLook: boot.lookNumber })
    else known.order = order
    if (known?.phase === 'absent') known.nextOrderAt = 0
  }

  /** Adds or updates one order. Other tracked runs of the same task are stopped before it starts. */
  hold (boot: AgentBoot, order: RunOrder): void {
    const known = boot.held.find(order.task, order.run)
    const held = known ?? boot.held.add(order)
    held.order = { ...order, isUnwanted: order.isUnwanted || held.order.isUnwanted }
    for (const other of boot.held.othersOf(held)) other.order = { ...other.order, isUnwanted: true }
  }

  /** Sends the next order of a run, if any. */
  private advanceRun (boot: AgentBoot, held: HeldRun, now: number): void {
    const { order, phase } = held
    if (order.isUnwanted && phase === 'started') return this.stop(boot, held, now)
    if (phase === 'absent') return this.sendAbsent(boot, held, now)
    if (phase !== 'pending') return
    if (order.isUnwanted) return this.withdraw(boot, held, held.absence, now)
    if (mayNotStart(boot)) return isUnseen(boot, held) ? undefined : this.withdraw(boot, held, 'noRoom', now)
    if (boot.isToldOfStarts && !boot.held.othersOf(held).some(isPossible)) this.start(boot, held, now)
  }

  /** Gives a run back; if it is or may yet arrive at the worker, it is stopped first. */
  private withdraw (boot: AgentBoot, held: HeldRun, reason: AbsenceReason, now: number): void {
    held.absence = reason
    if (!held.mayRun) return this.reportAbsent(boot, held)
    held.order = { ...held.order, isUnwanted: true }
    this.stop(boot, held, now)
  }

  private start (boot: AgentBoot, held: HeldRun, now: number): void {
    const { order } = held
    held.phase = 'ordering'
    held.nextOrderAt = now + orderPauseMs
    const { worker } = boot
    const settle = this.options.lateCalls.add({ worker, workerId: boot.registration.workerId, start: order }, now)
    this.options.driver.start(order, boot.leaseEndMs, this.options.context(boot)).then(outcome => {
      settle(outcome.type !== 'unanswered', this.options.now())
      this.options.post({ type: 'startAnswered', worker, task: order.task, run: order.run, outcome })
    })
  }

  private stop (boot: AgentBoot, held: HeldRun, now: number): void {
    const { task, run } = held.order
    held.phase = 'ordering'
    held.nextOrderAt = now + orderPauseMs
    const { worker } = boot
    this.options.driver.stop(task, run, this.options.context(boot))
      .then(outcome => this.options.post({ type: 'stopAnswered', worker, task, run, outcome }))
  }

  /** Handles the worker's answer to a start; answers for another boot or for a run without an order in flight are ignored. */
  startAnswered (boot: AgentBoot, { worker, task, run, outcome }: Extract<SupervisorMessage, { readonly type: 'startAnswered' }>): void {
    const held = findHeld(boot, worker, task, run)
    if (held?.phase !== 'ordering') return
    this.logOutcome('run_start', boot, held, outcome)
    if (outcome.type === 'done') {
      this.reach(boot, held, 'started')
      return
    }
    held.phase = 'pending'
    // Only a look that begins after this shows whether the run is at the worker.
    if (outcome.type === 'unanswered') Object.assign(held, { mayRun: true, phaseLook: boot.lookNumber })
    if (outcome.type === 'refused') this.startRefused(boot, held, outcome.reason)
  }

  private startRefused (boot: AgentBoot, held: HeldRun, reason: Extract<OrderOutcome, { readonly type: 'refused' }>['reason']): void {
    switch (reason) {
      case 'fenced':
      case 'late':
      case 'otherBoot':
        // Transient: a newer leader, a longer lease or a new registration is about to arrive.
        return
      case 'superseded':
        // The run is no longer at the worker, and its end is listed unless it was acknowledged.
        this.reach(boot, held, 'stopped')
        return
      case 'noRoom':
      case 'noTicket': return this.withdraw(boot, held, 'noRoom', this.options.now())
      case 'unhealthy': return this.withdraw(boot, held, 'unhealthy', this.options.now())
      case 'malformed': return this.withdraw(boot, held, 'refused', this.options.now())
    }
  }

  /** Handles the worker's answer to a stop; ignored under the same conditions as that to a start. */
  stopAnswered (boot: AgentBoot, { worker, task, run, outcome }: Extract<SupervisorMessage, { readonly type: 'stopAnswered' }>): void {
    const held = findHeld(boot, worker, task, run)
    if (held?.phase !== 'ordering') return
    this.logOutcome('run_stop', boot, held, outcome)
    if (outcome.type === 'done') this.reach(boot, held, 'stopped')
    else held.phase = 'pending'
  }

  private reach (boot: AgentBoot, held: HeldRun, phase: HeldRun['phase']): void {
    held.phase = phase
    if (phase === 'started' || phase === 'stopped') held.confirmed = phase
    if (phase === 'started') held.mayRun = true
    held.phaseLook = boot.lookNumber
    if (phase === 'stopped') boot.nextLookAt = Math.min(boot.nextLookAt, this.options.now())
  }

  /** Compares the tracked runs with the worker's list of the look `number`, and stops or gives back those that differ. */
  reconcile (boot: AgentBoot, outcome: Extract<LookOutcome, { readonly type: 'listed' }>, number: number): void {
    boot.listedLook = number
    const running = new Set(outcome.running.map(nameRun))
    const ended = new Map(outcome.ends.map(end => [nameRun(end), end]))
    for (const held of boot.held.all()) {
      const end = ended.get(nameRun(held.order))
      if (end === undefined) continue
      if (isInherited(held) && held.phase !== 'ended') boot.inheritedEnds = [...boot.inheritedEnds, { worker: held.inheritedFrom, end }]
      held.phase = 'ended'
    }
    for (const held of boot.held.all()) {
      if (!boot.isSynced && !isInherited(held)) continue
      const name = nameRun(held.order)
      if (ended.has(name)) continue
      if (running.has(name)) this.foundRunning(boot, held)
      else if (!outcome.hasMoreEnds) this.foundMissing(boot, held, number)
    }
    if (!boot.isSynced) return
    for (const { task, run } of outcome.running) if (boot.held.find(task, run) === undefined) this.stopUnknown(boot, task, run)
  }

  private foundRunning (boot: AgentBoot, held: HeldRun): void {
    // A run that was given back must not run, so it is stopped like any other unwanted run.
    if (held.phase === 'absent') held.order = { ...held.order, isUnwanted: true }
    if (held.phase === 'pending' || held.phase === 'absent') this.reach(boot, held, 'started')
  }

  private foundMissing (boot: AgentBoot, held: HeldRun, number: number): void {
    if (number <= held.phaseLook) return
    if (held.phase === 'ended') boot.held.remove(held)
    else if (held.phase === 'stopped') this.reportAbsent(boot, held)
    else if (held.phase === 'started') this.withdraw(boot, held, 'vanished', this.options.now())
  }

  private stopUnknown (boot: AgentBoot, task: string, run: number): void {
    this.options.logger.info('unknown_run_found', { task, run, worker: boot.worker })
    const held = boot.held.add({ task, run, spec: '', checkpoint: '', isFilling: false, targetMs: 0, image: '', isUnwanted: true })
    held.mayRun = true
  }

  private reportAbsent (boot: AgentBoot, held: HeldRun): void {
    // The leader doesn't know of this run at this boot.
    if (isInherited(held)) return boot.held.remove(held)
    const { task, run } = held.order
    const reason = held.absence
    held.phase = 'absent'
    this.options.counters.add('runs_given_back_total', { reason, confirmed: held.confirmed })
    this.options.logger.info('run_given_back', { task, run, worker: boot.worker, reason, confirmed: held.confirmed, may_run: held.mayRun, look: boot.lookNumber })
    this.sendAbsent(boot, held, this.options.now())
  }

  private sendAbsent (boot: AgentBoot, held: HeldRun, now: number): void {
    const { task, run } = held.order
    held.nextOrderAt = now + giveBackAgainMs
    this.options.send({ type: 'absent', worker: boot.worker, task, run, reason: held.absence })
  }

  /** Drops a run that was given back, once the leader has confirmed that it is over. */
  released (boot: AgentBoot, task: string, run: number): void {
    const held = boot.held.find(task, run)
    if (held?.phase === 'absent') boot.held.remove(held)
  }

  private logOutcome (event: string, boot: AgentBoot, held: HeldRun, outcome: OrderOutcome): void {
    this.options.counters.add(`${event}s_total`, { outcome: outcome.type === 'refused' ? outcome.reason : outcome.type })
    if (outcome.type === 'done') return
    this.options.logger.warn(event, {
      task: held.order.task,
      run: held.order.run,
      worker: boot.worker,
      outcome: outcome.type,
      reason: outcome.type === 'refused' ? outcome.reason : undefined,
      lease_end: boot.leaseEndMs,
      term: this.options.context(boot).term
    })
  }
}

function findHeld (boot: AgentBoot, worker: string, task: string, run: number): HeldRun | undefined {
  return boot.worker === worker ? boot.held.find(task, run) : undefined
}

/** Whether the worker drains, or the leader has forbidden starts on the current stream. */
function mayNotStart ({ registration, isToldOfStarts, areStartsAllowed }: AgentBoot): boolean {
  return registration.isDraining || (isToldOfStarts && !areStartsAllowed)
}

/** Whether the run may be at the worker and no look has shown yet whether it is. */
function isUnseen (boot: AgentBoot, { mayRun, phaseLook }: HeldRun): boolean { return mayRun && boot.listedLook <= phaseLook }

function isInherited (held: HeldRun): boolean { return held.inheritedFrom !== '' }

function inheritRun (next: AgentBoot, worker: string, order: RunOrder): void {
  next.held.add({ ...order, isUnwanted: true }, worker).mayRun = true
}

/** Returns a key that is unique among the runs of one boot. */
function nameRun ({ task, run }: { readonly task: string, readonly run: number }): string {
  return `${task}#${run}`
}
