import type { AbsenceReason, RunOrder } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { LookOutcome, OrderContext, OrderOutcome, WorkerDriver } from '../../workers'
import type { AgentBoot } from './agentBoot'
import type { ClientMessage } from './controlProtocol'
import { mayBeAtWorker, type TrackedRun } from './trackedRun'
import type { OutstandingCalls } from './outstandingCalls'
import type { SupervisorMessage } from './workerAgentMessage'

/** Dependencies of `RunReconciler`. */
export interface RunReconcilerOptions {
  readonly driver: WorkerDriver
  /** Sends to the leader; returns false if there is no stream to one. */
  readonly send: (message: ClientMessage) => boolean
  /** Posts the worker's answers to the task that owns this object. */
  readonly post: (message: SupervisorMessage) => void
  /** The fencing context (worker id and term) sent with every call to the worker of a boot. */
  readonly context: (boot: AgentBoot) => OrderContext
  readonly outstandingCalls: OutstandingCalls
  /** Steady time in milliseconds. */
  readonly now: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** Pause in milliseconds before an order is sent again that got no answer or was refused for a transient reason. */
const orderRetryMs = 150
/** Interval in milliseconds at which giving a run back is repeated until the leader confirms it; several commits. */
const giveBackRetryMs = 1000

/** Reconciles the runs at a worker with the leader's orders: starts and stops runs, and gives back those that are certainly not there. */
export class RunReconciler {
  /** Runs of late starts whose stops at an ended worker are under way. */
  private readonly rejecting = new Set<string>()
  private nextRejectionAt = 0

  constructor (private readonly options: RunReconcilerOptions) {}

  /** Sends every order that is due; until the leader's complete list and a lease have arrived, only stops of inherited runs. */
  sendDueOrders (boot: AgentBoot, now: number): void {
    const mayOrder = boot.isSettled && boot.isSynced && boot.leaseEndMs > 0
    for (const tracked of boot.trackedRuns.all()) {
      if ((mayOrder || isInherited(tracked)) && now >= tracked.nextOrderAt) this.sendNextOrder(boot, tracked, now)
    }
  }

  /**
   * Makes the next boot stop runs that were ordered at a former boot but may still be delivered to it. A worker refuses
   * orders for another worker id, but not those for a former boot under its own id.
   */
  inheritFormerRuns (former: AgentBoot | undefined, next: AgentBoot): void {
    const { workerId } = next.registration
    for (const { worker, start } of this.options.outstandingCalls.findDeliverable({ worker: next.worker, workerId }, this.options.now())) {
      if (start !== undefined) inheritRun(next, worker, start)
    }
    if (former?.registration.workerId !== workerId) return
    for (const tracked of former.trackedRuns.all()) if (mayBeAtWorker(tracked)) inheritRun(next, tracked.inheritedFrom === '' ? former.worker : tracked.inheritedFrom, tracked.order)
  }

  /**
   * Stops, where the worker of an ended boot listened, the runs of starts that may still be carried out. Its next boot rejects them from
   * its first moments then, also before it has registered.
   */
  rejectLateStarts (ended: AgentBoot, now: number): void { this.reject(ended, '', now) }

  /**
   * Does the same where a boot listened that may have been followed by another one, for starts meant for boots before it. Nobody wants their
   * runs at either boot.
   */
  rejectFormerStarts (boot: AgentBoot, now: number): void { this.reject(boot, boot.worker, now) }

  private reject (boot: AgentBoot, exceptAt: string, now: number): void {
    if (now < this.nextRejectionAt) return
    this.nextRejectionAt = now + orderRetryMs
    const { workerId } = boot.registration
    for (const { start } of this.options.outstandingCalls.findDeliverable({ worker: exceptAt, workerId }, now)) {
      if (start === undefined || this.rejecting.has(nameRun(start))) continue
      this.rejecting.add(nameRun(start))
      // Each boot is asked anew, so an answer changes nothing.
      this.options.driver.stop(start.task, start.run, this.options.context(boot)).then(() => this.rejecting.delete(nameRun(start)))
    }
  }

  /** Whether a run that was ordered at a former boot may still be at this one. */
  hasInheritedRuns (boot: AgentBoot): boolean {
    return [...boot.trackedRuns.all()].some(tracked => isInherited(tracked) && mayBeAtWorker(tracked))
  }

  /** Applies the leader's complete list. A run missing from it is stopped if it may be at the worker, and otherwise dropped. */
  replaceOrders (boot: AgentBoot, orders: readonly RunOrder[]): void {
    const wanted = new Map(orders.map(order => [order.task, order.run]))
    for (const tracked of boot.trackedRuns.all()) {
      if (wanted.get(tracked.order.task) === tracked.order.run) continue
      if (mayBeAtWorker(tracked)) tracked.order = { ...tracked.order, isUnwanted: true }
      else boot.trackedRuns.remove(tracked)
    }
    for (const order of orders) this.addListedOrder(boot, order)
    boot.isSynced = true
  }

  private addListedOrder (boot: AgentBoot, order: RunOrder): void {
    const known = boot.trackedRuns.find(order.task, order.run)
    // A previous process of this agent may have sent a start and exited before the answer arrived.
    if (known === undefined) Object.assign(boot.trackedRuns.add(order), { mayRun: true, phaseLook: boot.lookNumber })
    else known.order = order
    if (known?.phase === 'absent') known.nextOrderAt = 0
  }

  /** Adds or updates one order. Other tracked runs of the same task are stopped before it starts. */
  addOrder (boot: AgentBoot, order: RunOrder): void {
    const known = boot.trackedRuns.find(order.task, order.run)
    const tracked = known ?? boot.trackedRuns.add(order)
    tracked.order = { ...order, isUnwanted: order.isUnwanted || tracked.order.isUnwanted }
    for (const other of boot.trackedRuns.otherRunsOf(tracked)) other.order = { ...other.order, isUnwanted: true }
  }

  /** Sends the next order of a run, if any. */
  private sendNextOrder (boot: AgentBoot, tracked: TrackedRun, now: number): void {
    const { order, phase } = tracked
    if (order.isUnwanted && phase === 'started') return this.stop(boot, tracked, now)
    if (phase === 'absent') return this.sendAbsence(boot, tracked, now)
    // The start may arrive while a lost stop of it waits for its answer.
    if (phase === 'ordering' && isInherited(tracked)) return this.stop(boot, tracked, now)
    if (phase !== 'pending') return
    if (order.isUnwanted) return this.giveBack(boot, tracked, tracked.absence, now)
    if (areStartsForbidden(boot)) return isPresenceUnknown(boot, tracked) ? undefined : this.giveBack(boot, tracked, 'noRoom', now)
    if (boot.isStartPermissionKnown && !boot.mayBeGone && !boot.trackedRuns.otherRunsOf(tracked).some(mayBeAtWorker)) this.start(boot, tracked, now)
  }

  /** Gives a run back; if it is or may yet arrive at the worker, it is stopped first. */
  private giveBack (boot: AgentBoot, tracked: TrackedRun, reason: AbsenceReason, now: number): void {
    tracked.absence = reason
    if (!tracked.mayRun) return this.reportAbsence(boot, tracked)
    tracked.order = { ...tracked.order, isUnwanted: true }
    this.stop(boot, tracked, now)
  }

  private start (boot: AgentBoot, tracked: TrackedRun, now: number): void {
    const { order } = tracked
    tracked.phase = 'ordering'
    tracked.beganAt ??= now
    tracked.nextOrderAt = now + orderRetryMs
    const { worker } = boot
    const settle = this.options.outstandingCalls.add({ worker, workerId: boot.registration.workerId, start: order }, now)
    this.options.driver.start(order, boot.leaseEndMs, this.options.context(boot)).then(outcome => {
      settle(outcome.type !== 'unanswered', this.options.now())
      this.options.post({ type: 'startAnswered', worker, task: order.task, run: order.run, outcome })
    })
  }

  private stop (boot: AgentBoot, tracked: TrackedRun, now: number): void {
    const { task, run } = tracked.order
    tracked.phase = 'ordering'
    tracked.nextOrderAt = now + orderRetryMs
    const { worker } = boot
    this.options.driver.stop(task, run, this.options.context(boot))
      .then(outcome => this.options.post({ type: 'stopAnswered', worker, task, run, outcome }))
  }

  /** Handles the worker's answer to a start; answers for another boot or for a run without an order in flight are ignored. */
  handleStartAnswer (boot: AgentBoot, { worker, task, run, outcome }: Extract<SupervisorMessage, { readonly type: 'startAnswered' }>): void {
    const tracked = findTrackedRun(boot, worker, task, run)
    if (tracked?.phase !== 'ordering') return
    this.logOutcome('run_start', boot, tracked, outcome)
    if (outcome.type === 'done') {
      // A start that was sent again may have been carried out the first time.
      if (!tracked.mayRun) tracked.beganAt = this.options.now()
      this.enterPhase(boot, tracked, 'started')
      return
    }
    tracked.phase = 'pending'
    if (outcome.type === 'unanswered' || outcome.type === 'notListening') boot.silentSince ??= this.options.now()
    if (outcome.type === 'notListening') this.handleNothingListening(boot, tracked)
    // Only a look that begins after this shows whether the run is at the worker.
    if (outcome.type === 'unanswered') Object.assign(tracked, { mayRun: true, phaseLook: boot.lookNumber })
    if (outcome.type === 'refused') this.handleStartRefusal(boot, tracked, outcome.reason)
  }

  /** The worker may have crashed. Starts wait for an answer of the same boot, and one that found nothing listening has begun no run. */
  private handleNothingListening (boot: AgentBoot, tracked: TrackedRun): void {
    boot.mayBeGone = true
    boot.nextLookAt = Math.min(boot.nextLookAt, this.options.now())
    if (!tracked.mayRun) tracked.beganAt = undefined
  }

  private handleStartRefusal (boot: AgentBoot, tracked: TrackedRun, reason: Extract<OrderOutcome, { readonly type: 'refused' }>['reason']): void {
    switch (reason) {
      case 'fenced':
      case 'late':
      case 'otherBoot':
        // Transient: a newer leader, a longer lease or a new registration is about to arrive.
        return
      case 'superseded':
        // The run is no longer at the worker, and its end is listed unless it was acknowledged.
        this.enterPhase(boot, tracked, 'stopped')
        return
      case 'noRoom':
      case 'noTicket': return this.giveBack(boot, tracked, 'noRoom', this.options.now())
      case 'unhealthy': return this.giveBack(boot, tracked, 'unhealthy', this.options.now())
      case 'malformed': return this.giveBack(boot, tracked, 'refused', this.options.now())
    }
  }

  /** Handles the worker's answer to a stop; ignored under the same conditions as that to a start. */
  handleStopAnswer (boot: AgentBoot, { worker, task, run, outcome }: Extract<SupervisorMessage, { readonly type: 'stopAnswered' }>): void {
    const tracked = findTrackedRun(boot, worker, task, run)
    if (tracked?.phase !== 'ordering') return
    this.logOutcome('run_stop', boot, tracked, outcome)
    if (outcome.type === 'done') this.enterPhase(boot, tracked, 'stopped')
    else tracked.phase = 'pending'
  }

  private enterPhase (boot: AgentBoot, tracked: TrackedRun, phase: TrackedRun['phase']): void {
    tracked.phase = phase
    if (phase === 'started' || phase === 'stopped') tracked.confirmed = phase
    if (phase === 'started') tracked.mayRun = true
    tracked.phaseLook = boot.lookNumber
    if (phase === 'stopped') boot.nextLookAt = Math.min(boot.nextLookAt, this.options.now())
  }

  /** Compares the tracked runs with the worker's list of the look `number`, and stops or gives back those that differ. */
  reconcile (boot: AgentBoot, outcome: Extract<LookOutcome, { readonly type: 'listed' }>, number: number): void {
    boot.listedLook = number
    const running = new Set(outcome.running.map(nameRun))
    const ended = new Map(outcome.ends.map(end => [nameRun(end), end]))
    for (const tracked of boot.trackedRuns.all()) {
      const end = ended.get(nameRun(tracked.order))
      if (end === undefined) continue
      if (isInherited(tracked) && tracked.phase !== 'ended') boot.inheritedEnds = [...boot.inheritedEnds, { worker: tracked.inheritedFrom, end }]
      tracked.phase = 'ended'
    }
    for (const tracked of boot.trackedRuns.all()) {
      if (!boot.isSynced && !isInherited(tracked)) continue
      const name = nameRun(tracked.order)
      if (ended.has(name)) continue
      if (running.has(name)) this.handleRunning(boot, tracked)
      else if (!outcome.hasMoreEnds) this.handleMissing(boot, tracked, number)
    }
    if (!boot.isSynced) return
    for (const { task, run } of outcome.running) if (boot.trackedRuns.find(task, run) === undefined) this.stopUnknownRun(boot, task, run)
  }

  private handleRunning (boot: AgentBoot, tracked: TrackedRun): void {
    // A run that was given back must not run, so it is stopped like any other unwanted run.
    if (tracked.phase === 'absent') tracked.order = { ...tracked.order, isUnwanted: true }
    if (tracked.phase === 'pending' || tracked.phase === 'absent') this.enterPhase(boot, tracked, 'started')
  }

  private handleMissing (boot: AgentBoot, tracked: TrackedRun, number: number): void {
    if (number <= tracked.phaseLook) return
    if (tracked.phase === 'ended') boot.trackedRuns.remove(tracked)
    else if (tracked.phase === 'stopped') this.reportAbsence(boot, tracked)
    else if (tracked.phase === 'started') this.giveBack(boot, tracked, 'vanished', this.options.now())
  }

  private stopUnknownRun (boot: AgentBoot, task: string, run: number): void {
    this.options.logger.info('unknown_run_found', { task, run, worker: boot.worker })
    const tracked = boot.trackedRuns.add({ task, run, spec: '', checkpoint: '', isFilling: false, targetMs: 0, image: '', isUnwanted: true })
    tracked.mayRun = true
  }

  private reportAbsence (boot: AgentBoot, tracked: TrackedRun): void {
    // The leader doesn't know of this run at this boot.
    if (isInherited(tracked)) return boot.trackedRuns.remove(tracked)
    const { task, run } = tracked.order
    const reason = tracked.absence
    tracked.phase = 'absent'
    this.options.counters.add('runs_given_back_total', { reason, confirmed: tracked.confirmed })
    this.options.logger.info('run_given_back', { task, run, worker: boot.worker, reason, confirmed: tracked.confirmed, may_run: tracked.mayRun, look: boot.lookNumber })
    this.sendAbsence(boot, tracked, this.options.now())
  }

  private sendAbsence (boot: AgentBoot, tracked: TrackedRun, now: number): void {
    const { task, run } = tracked.order
    tracked.nextOrderAt = now + giveBackRetryMs
    this.options.send({ type: 'absent', worker: boot.worker, task, run, reason: tracked.absence })
  }

  /** Drops a run that was given back, once the leader has confirmed that it is over. */
  released (boot: AgentBoot, task: string, run: number): void {
    const tracked = boot.trackedRuns.find(task, run)
    if (tracked?.phase === 'absent') boot.trackedRuns.remove(tracked)
  }

  private logOutcome (event: string, boot: AgentBoot, tracked: TrackedRun, outcome: OrderOutcome): void {
    this.options.counters.add(`${event}s_total`, { outcome: outcome.type === 'refused' ? outcome.reason : outcome.type })
    if (outcome.type === 'done') return
    this.options.logger.warn(event, {
      task: tracked.order.task,
      run: tracked.order.run,
      worker: boot.worker,
      outcome: outcome.type,
      reason: outcome.type === 'refused' ? outcome.reason : undefined,
      lease_end: boot.leaseEndMs,
      term: this.options.context(boot).term
    })
  }
}

function findTrackedRun (boot: AgentBoot, worker: string, task: string, run: number): TrackedRun | undefined {
  return boot.worker === worker ? boot.trackedRuns.find(task, run) : undefined
}

/** Whether the worker drains, or the leader has forbidden starts on the current stream. */
function areStartsForbidden ({ registration, isStartPermissionKnown, areStartsAllowed }: AgentBoot): boolean {
  return registration.isDraining || (isStartPermissionKnown && !areStartsAllowed)
}

/** Whether the run may be at the worker and no look has shown yet whether it is. */
function isPresenceUnknown (boot: AgentBoot, { mayRun, phaseLook }: TrackedRun): boolean { return mayRun && boot.listedLook <= phaseLook }

function isInherited (tracked: TrackedRun): boolean { return tracked.inheritedFrom !== '' }

function inheritRun (next: AgentBoot, worker: string, order: RunOrder): void {
  next.trackedRuns.add({ ...order, isUnwanted: true }, worker).mayRun = true
}

/** Returns a key that is unique among the runs of one boot. */
function nameRun ({ task, run }: { readonly task: string, readonly run: number }): string {
  return `${task}#${run}`
}
