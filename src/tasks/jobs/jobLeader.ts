import { findQueue, isJobId, jobIdLength, jobIdOf, JobScheduler, type CallerAnswer, type JobBook, type JobOperation, type JobSchedulerOptions, type Moment, type Queue, type Submission } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import { AgentSessions } from './agentSessions'
import { LeaderLog } from './leaderLog'
import type { AgentSession, JobLeaderMessage, ProposedBatch, Refusal } from './leaderMessage'

/** Dependencies and callbacks of `JobLeader`, beside the options of its scheduler. */
export interface JobLeaderOptions extends JobSchedulerOptions {
  /** The committed job book of the replica. */
  readonly committed: JobBook
  /** Proposes operations to the consensus group; `reply` is called once with whether they are committed. */
  readonly propose: (operations: readonly JobOperation[], reply: (isCommitted: boolean) => void) => void
  /** Calls back once with whether a quorum has acknowledged this replica as leader since the call. */
  readonly confirmLeadership: (reply: (isConfirmed: boolean) => void) => void
  /** Whether a quorum has recently acknowledged this replica as its leader; the elapsed time includes suspensions of the process. */
  readonly hearsQuorum: () => boolean
  /** Posts the outcome of a proposal to the mailbox, from where it reaches `handleBatch`. */
  readonly post: (message: JobLeaderMessage) => void
  /** Called when this replica stops serving in a term in which it may still be leader; it must apply everything it proposed before it serves again. */
  readonly onLeadershipUncertain: (term: number) => void
  /** Called when the leader starts and stops serving. */
  readonly onServingChange: (isServing: boolean) => void
  readonly now: () => number
  readonly wallClock: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** Interval in milliseconds at which runs are reviewed for lack of progress; a fraction of the shortest stall. */
const reviewMs = 250
/** Interval in milliseconds at which the load is logged. */
const loadLogMs = 2000
const retryAfterNoLeaderMs = 1000
/** In milliseconds; long, as only other workers, another manifest or the end of an evacuation would change the answer. */
const retryAfterHopelessMs = 10_000
/** Time in milliseconds that agents may need to find the leader after an election: two stream silence timeouts and one connection. */
const workerDiscoveryMs = 3000

/** Runs the job scheduler while its replica leads: proposes its decisions, and sends what is committed to agents and callers. */
export class JobLeader {
  private readonly scheduler: JobScheduler
  private term: number | undefined
  /** Start of the current leadership, in milliseconds of the steady clock. */
  private leadershipStartedAt = 0
  private nextLoadAt = 0
  private nextReviewAt = 0
  private readonly sessions: AgentSessions
  private readonly inFlight: ProposedBatch[] = []
  private waiters: Array<(isCommitted: boolean) => void> = []
  /** Callbacks that send the refusals of the current batch of messages. */
  private refusals: Array<(isConfirmed: boolean) => void> = []
  private readonly log: LeaderLog

  constructor (private readonly options: JobLeaderOptions) {
    this.scheduler = new JobScheduler(options)
    this.sessions = new AgentSessions({
      committed: options.committed,
      ordersFor: worker => this.scheduler.ordersFor(options.committed, worker),
      mayStart: worker => !options.committed.evacuatedZones.has(this.scheduler.roster.find(worker)?.report.zone ?? '')
    })
    this.log = new LeaderLog(options)
  }

  /** Whether this replica serves calls, which a leader does once it has applied all earlier entries. */
  get isServing (): boolean { return this.term !== undefined }

  /** The term in which this replica serves calls; undefined while it doesn't. */
  get servedTerm (): number | undefined { return this.term }

  /** Handles messages, and makes one plan for all of them if any may allow a run to start. */
  handleBatch (messages: Iterable<JobLeaderMessage>): void {
    let isPlanDue = false
    for (const message of messages) {
      this.handle(message)
      isPlanDue ||= mayEnableStart(message)
    }
    if (this.term === undefined) return
    if (!this.options.hearsQuorum()) return this.handleQuorumLoss(this.term)
    this.reviewIfDue()
    if (isPlanDue) this.scheduler.plan(this.moment())
    this.handleFindings()
    this.propose()
    this.confirmRefusals()
    this.logLoadIfDue()
  }

  /**
   * A replica whose disk hangs doesn't notice that it was deposed. It stops serving, so that callers and agents look for the
   * next leader; if it is still leader once a quorum acknowledges it again, it resumes.
   */
  private handleQuorumLoss (term: number): void {
    this.options.logger.warn('quorum_lost', { term })
    this.stepDownUncertain(term)
  }

  private handleFindings (): void {
    const lapsed = new Set<string>()
    for (const finding of this.scheduler.takeFindings()) {
      this.log.finding(finding)
      if (finding.type === 'released' && finding.cause === 'leaseLapsed') lapsed.add(finding.worker)
    }
    // The agent may still have these runs among its orders, and would start them under the next lease.
    for (const worker of lapsed) this.sessions.sendCompleteList(worker)
  }

  private reviewIfDue (): void {
    const now = this.options.now()
    if (now < this.nextReviewAt) return
    this.nextReviewAt = now + reviewMs
    this.scheduler.review(this.moment())
    this.scheduler.recordPressures()
    this.scheduler.recordBeginnings()
    for (const { worker, task, run, reason } of this.scheduler.takeStops()) {
      this.options.counters.add('runs_stopped_total', { reason })
      this.options.logger.info('run_stopped', { task, run, worker, reason })
      this.sessions.sendTasks(worker, order => order.task === task && order.run === run)
    }
  }

  private logLoadIfDue (): void {
    const now = this.options.now()
    if (now < this.nextLoadAt) return
    this.nextLoadAt = now + loadLogMs
    this.log.load(this.scheduler.describeLoad(this.moment()), this.scheduler.describeBacklog(this.options.wallClock()))
  }

  private handle (message: JobLeaderMessage): void {
    switch (message.type) {
      case 'lead': return this.startLeading(message.term)
      case 'follow': return this.stepDown()
      case 'committed': return this.committed(message)
      case 'call': return this.handleCall(message)
      case 'manifest': return this.handleManifest(message)
      case 'evacuation': return this.handleEvacuation(message)
      case 'tick': return
    }
    // A leader that was suspended may have been deposed; a lease granted now could outlast the time that its successor waits for leases to expire.
    if (this.term === undefined || !this.options.hearsQuorum()) return
    switch (message.type) {
      case 'worker': return this.handleWorkerReport(message.session, message)
      case 'look': return this.handleLook(message.session, message)
      case 'ended': return this.handleBootEnd(message)
      case 'vacant': return this.handleVacancy(message)
      case 'absent': return this.handleRunAbsence(message)
      case 'agentLost': return this.handleAgentLoss(message)
    }
  }

  private startLeading (term: number): void {
    if (this.term === term) return
    this.term = term
    this.leadershipStartedAt = this.options.now()
    this.sessions.clear()
    this.scheduler.begin(this.options.committed, this.options.now(), this.options.wallClock())
    this.log.begin()
    this.options.counters.add('leaderships_total')
    this.options.logger.info('leading', { term, jobs: [...this.options.committed.openJobs()].length })
    this.options.onServingChange(true)
  }

  /** Ends the leadership, if there is one; callers whose answer awaits a commit get an unknown outcome. */
  stepDown (): void {
    if (this.term === undefined) return
    this.options.logger.info('following', { after_term: this.term })
    this.term = undefined
    const unanswered = [...this.inFlight.splice(0).flatMap(batch => batch.waiters), ...this.waiters, ...this.refusals]
    this.waiters = []
    this.refusals = []
    this.sessions.clear()
    this.log.end()
    for (const waiter of unanswered) waiter(false)
    this.options.onServingChange(false)
  }

  private handleCall ({ call, reply }: Extract<JobLeaderMessage, { readonly type: 'call' }>): void {
    const { manifest } = this.scheduler
    if (this.term === undefined || !this.options.hearsQuorum()) return reply({ type: 'refused', reason: 'noLeader', retryAfterMs: retryAfterNoLeaderMs })
    if (manifest === undefined) return this.refuse(reply, { type: 'refused', reason: 'noManifest', retryAfterMs: retryAfterNoLeaderMs })
    const queue = findQueue(manifest, call.host, call.path)
    if (queue === undefined) {
      if (call.type === 'cancel') this.cancelOfRemovedQueue(call.host, call.path)
      return this.confirm(reply, { type: 'noQueue' })
    }
    const jobId = jobIdOf(call.path, queue.pathPrefix)
    if (!isJobId(jobId)) return this.confirm(reply, { type: 'noJob' })
    if (call.type === 'cancel') return this.handleCancel(jobId, reply)
    const refusal = this.scheduler.job(jobId) === undefined ? this.submit({ jobId, ...call.submission }, queue) : undefined
    if (refusal !== undefined) return this.refuse(reply, refusal, jobId)
    this.confirm(reply, { type: 'accepted' })
  }

  /** The submission of an unknown job may still be on its way, so its cancel is remembered as well. */
  private handleCancel (jobId: string, reply: (answer: CallerAnswer) => void): void {
    const isKnown = this.scheduler.job(jobId) !== undefined
    this.scheduler.cancel(jobId, this.options.wallClock())
    if (!isKnown) this.options.counters.add('early_cancels_total')
    this.confirm(reply, { type: isKnown ? 'cancelled' : 'noJob' })
  }

  /** A job outlives the removal of its queue from the manifest, and must still end if its caller cancels it. */
  private cancelOfRemovedQueue (host: string, path: string): void {
    const job = this.scheduler.job(path.slice(-jobIdLength))
    if (job !== undefined && job.queue.host === host && job.queue.pathPrefix + job.jobId === path) this.scheduler.cancel(job.jobId, this.options.wallClock())
  }

  /** Stores a job that its caller cancelled before the submission arrived, so that repeated submissions find it as well. */
  private acceptCancelled (submission: Submission, queue: Queue): undefined {
    const at = this.options.wallClock()
    this.scheduler.accept(submission, queue, at)
    this.scheduler.cancel(submission.jobId, at)
    this.options.counters.add('jobs_cancelled_early_total')
    this.options.logger.info('job_cancelled_early', { job: submission.jobId, queue: queue.name })
  }

  /** Accepts a job or returns a refusal. A refused job has not run and will not run. */
  private submit (submission: Submission, queue: Queue): CallerAnswer | undefined {
    if (this.scheduler.wasCancelledEarly(submission.jobId, this.options.wallClock())) return this.acceptCancelled(submission, queue)
    const refusal = this.findRefusal(submission, queue)
    if (refusal !== undefined) {
      this.log.refusal(submission.jobId, queue.name, refusal)
      return { type: 'refused', reason: refusal.reason, retryAfterMs: refusal.overload?.retryAfterMs ?? retryAfterHopelessMs }
    }
    const wasRefused = this.scheduler.accept(submission, queue, this.options.wallClock())
    this.options.counters.add('jobs_accepted_total')
    if (wasRefused) this.options.counters.add('jobs_accepted_after_refusal_total')
    this.log.accepted(submission, queue)
    return undefined
  }

  private findRefusal (submission: Submission, queue: Queue): Refusal | undefined {
    const isUnsupported = queue.needsAdvice || submission.steps.some(step => step.isGang)
    if (isUnsupported) return { reason: 'unsupported' }
    // Most workers are not connected yet right after an election, so a job that fits none of the known ones may still be feasible.
    const knowsWorkers = this.options.now() - this.leadershipStartedAt > workerDiscoveryMs
    if (knowsWorkers && this.scheduler.isHopeless(submission, queue)) {
      return { reason: this.scheduler.needsEvacuatedZone(submission, queue) ? 'evacuated' : 'hopeless' }
    }
    const overload = this.scheduler.findOverload(submission, queue, this.options.wallClock(), knowsWorkers)
    return overload === undefined ? undefined : { reason: 'overload', overload }
  }

  /** Sends an answer once everything decided so far is committed; the commit also proves that this replica is still leader. */
  private confirm (reply: (answer: CallerAnswer) => void, answer: CallerAnswer): void {
    this.waiters.push(isCommitted => reply(isCommitted ? answer : { type: 'unknown' }))
  }

  /**
   * Sends a refusal once a quorum has acknowledged this leadership again: a successor may have stored the same job, which
   * makes the refusal untrue. It needs no commit, so refusals of a burst don't wait for disks.
   */
  private refuse (reply: (answer: CallerAnswer) => void, refusal: CallerAnswer, jobId?: string): void {
    this.refusals.push(isConfirmed => {
      const wasStored = jobId !== undefined && this.scheduler.job(jobId) !== undefined
      reply(isConfirmed && !wasStored ? refusal : { type: 'unknown' })
    })
  }

  private confirmRefusals (): void {
    const { term, refusals } = this
    if (term === undefined || refusals.length === 0) return
    this.refusals = []
    const batch: ProposedBatch = { operations: [], waiters: refusals }
    this.inFlight.push(batch)
    this.options.confirmLeadership(isConfirmed => this.options.post({ type: 'committed', term, batch, isCommitted: isConfirmed }))
  }

  private handleManifest ({ manifest, reply }: Extract<JobLeaderMessage, { readonly type: 'manifest' }>): void {
    if (this.term === undefined) return reply('notLeading')
    this.scheduler.putManifest(manifest)
    this.waiters.push(isCommitted => {
      this.options.logger.info('manifest_put', { version: manifest.version, in_force: this.options.committed.manifest?.version, committed: isCommitted })
      reply(isCommitted ? 'inForce' : 'unknown')
    })
  }

  /** A request that changes nothing is also answered after a commit, as only a commit proves that this replica is still leader. */
  private handleEvacuation ({ zone, change, reply }: Extract<JobLeaderMessage, { readonly type: 'evacuation' }>): void {
    if (this.term === undefined) return reply('notLeading')
    const moment = this.moment()
    const isChanged = change === 'start' ? this.scheduler.startEvacuation(zone, moment.wallClock) : this.scheduler.endEvacuation(zone, moment)
    this.waiters.push(isCommitted => {
      if (isCommitted) this.log.evacuation(zone, change, isChanged)
      reply(isCommitted ? 'committed' : 'unknown')
    })
  }

  private handleWorkerReport (session: AgentSession, { report }: Extract<JobLeaderMessage, { readonly type: 'worker' }>): void {
    if (this.sessions.isSupersededSession(session)) return this.ignoreStale(session, report.worker)
    this.sessions.recordNewest(session)
    const formerBoots = report.formerBoots ?? []
    this.scheduler.takeFormerBoots(formerBoots, this.moment())
    for (const { worker } of formerBoots) this.sessions.close(worker)
    const wasDraining = this.scheduler.roster.find(report.worker)?.report.isDraining === true
    if (!this.scheduler.reportWorker(session.agent, report, this.options.now())) {
      this.options.logger.info('worker_report_stale', { worker: report.worker, agent: session.agent })
      return
    }
    const isNew = this.sessions.open(session, report.worker)
    this.sessions.sendStartPermission(report.worker)
    this.sendLease(session, report.worker)
    if (report.isDraining && !wasDraining) this.options.logger.info('worker_draining', { worker: report.worker, remaining_ms: report.remainingMs, unconfirmed: report.isDrainUnconfirmed })
    if (!isNew) return
    this.options.logger.info('worker_connected', { worker: report.worker, agent: session.agent, pool: report.pool, rack: report.rack, cold_ms: report.coldMs })
    this.sessions.sendCompleteList(report.worker)
  }

  private handleLook (session: AgentSession, { look }: Extract<JobLeaderMessage, { readonly type: 'look' }>): void {
    if (!this.sessions.isCurrent(session, look.worker)) return
    this.scheduler.look(look, this.moment())
    this.sendLease(session, look.worker)
    const sequence = Math.max(0, ...look.ends.map(ended => ended.sequence))
    if (sequence === 0) return
    for (const ended of look.ends) {
      this.options.counters.add('runs_ended_total', { end: ended.end })
      if (ended.end !== 'done') this.options.logger.info('run_ended', { task: ended.task, run: ended.run, worker: look.worker, end: ended.end })
    }
    this.waiters.push(isCommitted => { if (isCommitted) session.send({ type: 'acknowledged', worker: look.worker, sequence }) })
  }

  private handleBootEnd ({ session, worker, reason, crash }: Extract<JobLeaderMessage, { readonly type: 'ended' }>): void {
    if (this.sessions.has(worker) && !this.isCurrent(session, worker)) return
    this.options.logger.info('worker_ended', { worker, reason })
    this.scheduler.workerEnded(worker, this.options.now(), crash)
    this.sessions.close(worker)
  }

  /** Ends all known boots of a VM without a worker, or with one that isn't used yet. What an older stream says of it is ignored, as a boot may have been reported since. */
  private handleVacancy ({ session, formerBoots }: Extract<JobLeaderMessage, { readonly type: 'vacant' }>): void {
    const { agent } = session
    if (this.sessions.isSupersededSession(session)) return this.ignoreStale(session)
    this.sessions.recordNewest(session)
    const known = this.scheduler.bootsOf(agent)
    // Their ends must be recorded before their runs are released, and their crashes assessed before they count as ended.
    this.scheduler.takeFormerBoots(formerBoots, this.moment())
    const named = new Set(formerBoots.map(({ worker }) => worker))
    for (const worker of known) {
      this.options.logger.info('worker_ended', { worker, reason: named.has(worker) ? 'former boot' : 'none listening' })
      this.scheduler.workerEnded(worker, this.options.now())
      this.sessions.close(worker)
    }
  }

  private handleRunAbsence ({ session, worker, task, run, reason }: Extract<JobLeaderMessage, { readonly type: 'absent' }>): void {
    if (!this.isCurrent(session, worker)) return
    this.options.logger.info('run_absent', { task, run, worker, reason })
    this.scheduler.runAbsent(worker, task, run, reason, this.options.now())
    this.waiters.push(isCommitted => { if (isCommitted) session.send({ type: 'released', worker, task, run }) })
  }

  /** Whether a message came on the newest stream of the worker's agent; messages from older streams may be outdated and are ignored. */
  private isCurrent (session: AgentSession, worker: string): boolean {
    if (this.sessions.isCurrent(session, worker)) return true
    this.ignoreStale(session, worker)
    return false
  }

  private ignoreStale ({ agent }: AgentSession, worker?: string): void {
    this.options.counters.add('stale_words_total')
    this.options.logger.info('stale_word_ignored', { worker, agent })
  }

  private handleAgentLoss ({ session, isSilent }: Extract<JobLeaderMessage, { readonly type: 'agentLost' }>): void {
    // Before the end of this stream was detected, the agent may have opened another one and reported another boot on it.
    for (const worker of this.sessions.workersOf(session)) {
      this.sessions.close(worker)
      this.scheduler.workerLost(worker, !isSilent)
      this.options.logger.info('worker_disconnected', { worker, agent: session.agent, silent: isSilent })
    }
  }

  private sendLease (session: AgentSession, worker: string): void {
    const leaseEndMs = this.scheduler.grantLease(worker)
    if (leaseEndMs !== undefined) session.send({ type: 'lease', worker, leaseEndMs })
  }

  private propose (): void {
    const operations = this.scheduler.takeOperations()
    const waiters = this.waiters
    this.waiters = []
    // Waiters are proposed even without operations: only a commit proves that this replica has not been deposed
    // unnoticed, in which case its answers would be stale.
    if (operations.length === 0 && waiters.length === 0) return
    const { term } = this
    if (term === undefined) return
    const batch: ProposedBatch = { operations, waiters }
    this.inFlight.push(batch)
    this.options.propose(operations, isCommitted => this.options.post({ type: 'committed', term, batch, isCommitted }))
  }

  private committed ({ term, batch, isCommitted }: Extract<JobLeaderMessage, { readonly type: 'committed' }>): void {
    const position = this.inFlight.indexOf(batch)
    if (position === -1 || term !== this.term) return
    this.inFlight.splice(position, 1)
    for (const waiter of batch.waiters) waiter(isCommitted)
    if (!isCommitted) return this.handleProposalFailure(term)
    // Sent before the orders: agents that don't know that an evacuation has ended would give back runs assigned after it.
    if (batch.operations.some(isEvacuation)) this.sessions.sendAllStartPermissions()
    this.sessions.sendOrders(batch.operations)
    this.sendPressures(batch.operations)
    this.log.assignments(batch.operations)
    this.log.endedSteps(batch.operations)
    this.log.endedJobs(batch.operations)
  }

  /** Stops serving after a failed proposal: the scheduler's own book contains operations that may never be committed, so later decisions are invalid. */
  private handleProposalFailure (term: number): void {
    this.options.logger.warn('proposal_failed', { term })
    this.stepDownUncertain(term)
  }

  private stepDownUncertain (term: number): void {
    this.stepDown()
    this.options.onLeadershipUncertain(term)
  }

  private sendPressures (operations: readonly JobOperation[]): void {
    for (const operation of operations) {
      if (operation.type !== 'learnPressures') continue
      this.sessions.sendPressures(operation.pressures)
      for (const pressure of operation.pressures) this.log.standing(pressure)
    }
  }

  private moment (): Moment {
    return { now: this.options.now(), wallClock: this.options.wallClock() }
  }
}

function isEvacuation ({ type }: JobOperation): boolean { return type === 'startEvacuation' || type === 'endEvacuation' }

/**
 * Whether a run may become startable by a message. A look without ends only reports progress, and a commit changes no
 * earlier decision; anything else that they bring is planned at the next tick.
 */
function mayEnableStart (message: JobLeaderMessage): boolean {
  return message.type === 'look' ? message.look.ends.length > 0 : message.type !== 'committed'
}
