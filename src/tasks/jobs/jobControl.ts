import { findQueue, jobIdOf, shownStateOf, type CallerAnswer, type CallerCall, type JobBook, type JobSchedulerOptions, type Manifest } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { ReplicaStore, StoredReplica } from '../../storage'
import { createStreamHandler, formatAddress, openListener, peerListenerBounds, type Address, type Listener, type MessageStream, type StreamBounds } from '../../transport'
import { openStore } from '../control/openStore'
import { ReplicaTask } from '../control/replicaTask'
import { decodeClientMessage } from './controlCodec'
import type { ClientMessage, ControlReply, Directory } from './controlProtocol'
import type { AgentSession, EvacuationChange, EvacuationOutcome, ManifestOutcome } from './leaderMessage'
import { LeaderTask } from './leaderTask'
import { ReplicaLinks } from './replicaLinks'

/** Options of a control replica that schedules jobs. Times are in milliseconds. */
export interface JobControlOptions extends JobSchedulerOptions {
  /** Where other processes reach this replica; also its name in the group. */
  readonly listen: Address
  /** Addresses of replicas: the members at the first start of the group, later only contacts for finding it. */
  readonly seeds: readonly string[]
  /** Target number of voting members. */
  readonly wantedMembers: number
  /** Silence after which a member is replaced by another replica. */
  readonly replaceAfterMs: number
  readonly folder: string
  /** Whether the whole system starts for the first time, in which case an empty folder is not a lost one. */
  readonly isFirstStart: boolean
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
  /** Number of applied commands after which a snapshot is written. */
  readonly snapshotAfter: number
  /** Number of characters of applied commands after which a snapshot is written earlier. */
  readonly snapshotAfterCharacters: number
  readonly bounds: StreamBounds
  readonly now: () => number
  /** Steady time that includes suspensions of the VM, used for elections and for checking leadership. */
  readonly consensusNow: () => number
  readonly wallClock: () => number
  readonly random: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** The result of reading the manifest. */
export type ManifestRead =
  | { readonly type: 'manifest', readonly manifest: Manifest | undefined }
  /** This replica can't confirm which manifest is the newest; the leader, if known, can. */
  | { readonly type: 'unconfirmed', readonly leader?: string | undefined }

/** A running control replica that schedules jobs. */
export interface JobControl {
  readonly isLeading: boolean
  /** The address of the leader, if known. */
  readonly leader: string | undefined
  putManifest (manifest: Manifest): Promise<ManifestOutcome>
  readManifest (): Promise<ManifestRead>
  /** Starts or ends the evacuation of an availability zone. */
  changeEvacuation (zone: string, change: EvacuationChange): Promise<EvacuationOutcome>
  /** Replaces the addresses at which the group is looked for. */
  reseed (seeds: readonly string[]): void
  /** Transfers leadership and stops. */
  drain (): Promise<void>
}

/** Opens the data folder and starts a replica; rejects with a `Failure`. */
export async function createJobControl (options: JobControlOptions): Promise<JobControl> {
  // An empty folder after the first start may be a lost one; this must be stored, as the next process no longer finds it empty.
  const { store, stored } = await openStore(options.folder, options.isFirstStart ? {} : { standingOfNew: 'learner' }, options.logger)
  if (stored.isDamaged) options.logger.error('storage_damaged', { folder: options.folder })
  const service = new JobControlService(options, store, stored)
  await service.start()
  return service
}

type ClientStream = MessageStream<ClientMessage, ControlReply>

const retryAfterNoLeaderMs = 1000
/** Interval in milliseconds at which a replica without a leader looks for its group, and a leader for replicas that want to join. */
const discoveryIntervalMs = 250

class JobControlService implements JobControl {
  private readonly name: string
  private readonly links: ReplicaLinks
  private readonly replica: ReplicaTask
  private readonly leaderTask: LeaderTask
  private readonly clients = new Set<ClientStream>()
  private listener: Listener | undefined
  private discoveryTimer: NodeJS.Timeout | undefined
  private seeds: readonly string[]
  /** Replicas that other replicas have named in their directories. */
  private readonly announcedReplicas = new Set<string>()
  /** Replicas that have opened a stream to this one. */
  private readonly callers = new Map<ClientStream, string>()
  private lastDirectory = ''
  private nextSession = 1

  constructor (private readonly options: JobControlOptions, store: ReplicaStore, stored: StoredReplica) {
    this.name = formatAddress(options.listen)
    this.seeds = options.seeds
    this.links = new ReplicaLinks({
      self: this.name,
      role: 'replica',
      bounds: options.bounds,
      logger: options.logger,
      onDirectory: (directory, from) => this.handleDirectory(directory, from)
    })
    this.replica = new ReplicaTask({
      replica: {
        id: this.name,
        // After the first start, an empty folder belongs to a new replica or was lost; the group knows which.
        members: stored.isNew && !options.isFirstStart ? [] : options.seeds,
        wantedMembers: options.wantedMembers,
        replaceAfterMs: options.replaceAfterMs,
        electionTimeoutMs: options.electionTimeoutMs,
        heartbeatMs: options.heartbeatMs,
        random: options.random,
        mayHaveLostVotes: stored.isDamaged || (stored.isNew && !options.isFirstStart)
      },
      store,
      stored,
      snapshotAfter: options.snapshotAfter,
      snapshotAfterCharacters: options.snapshotAfterCharacters,
      now: options.consensusNow,
      send: envelope => this.links.send(envelope),
      onApplied: () => {},
      onLeadership: (isLeader, term) => this.handleLeadershipChange(isLeader, term),
      onStorage: isAvailable => options.counters.add('storage_changes_total', { available: String(isAvailable) }),
      logger: options.logger
    })
    this.leaderTask = new LeaderTask({
      ...options,
      committed: this.replica.ledger.jobs,
      propose: (operations, reply) => {
        const isTaken = this.replica.mailbox.offer({ type: 'propose', command: { type: 'changeJobs', operations }, reply: outcome => reply(outcome.ok) })
        if (!isTaken) reply(false)
      },
      confirmLeadership: reply => {
        const isTaken = this.replica.mailbox.offer({ type: 'read', reply: outcome => reply(outcome.ok) })
        if (!isTaken) reply(false)
      },
      hearsQuorum: term => this.replica.term === term && this.replica.hasActiveQuorum(),
      onLeadershipUncertain: term => { this.serveWhenCurrent(term) },
      onServingChange: isServing => { if (!isServing) this.closeClients() }
    })
  }

  get isLeading (): boolean { return this.leaderTask.isServing }

  get leader (): string | undefined { return this.replica.leaderId }

  async start (): Promise<void> {
    this.listener = await openListener({
      address: this.options.listen,
      handle: createStreamHandler<ClientMessage, ControlReply>(this.options.bounds, decodeClientMessage, stream => this.accept(stream)),
      ...peerListenerBounds
    })
    this.discoveryTimer = setInterval(() => this.discoverGroup(), discoveryIntervalMs)
    this.options.logger.info('control_started', { address: this.name, members: this.replica.members.join(',') })
  }

  async putManifest (manifest: Manifest): Promise<ManifestOutcome> {
    return await new Promise(resolve => {
      const isTaken = this.leaderTask.mailbox.offer({ type: 'manifest', manifest, reply: resolve })
      if (!isTaken) resolve('notLeading')
    })
  }

  async readManifest (): Promise<ManifestRead> {
    const book = await this.read()
    return book === undefined ? { type: 'unconfirmed', leader: this.leader } : { type: 'manifest', manifest: book.manifest }
  }

  async changeEvacuation (zone: string, change: EvacuationChange): Promise<EvacuationOutcome> {
    return await new Promise(resolve => {
      const isTaken = this.leaderTask.mailbox.offer({ type: 'evacuation', zone, change, reply: resolve })
      if (!isTaken) resolve('notLeading')
    })
  }

  reseed (seeds: readonly string[]): void { this.seeds = seeds }

  async drain (): Promise<void> {
    this.options.logger.info('control_draining', { leading: this.isLeading })
    this.replica.mailbox.offer({ type: 'transfer' })
    await this.waitForSuccessor()
    this.leaderTask.mailbox.offer({ type: 'stop' })
    this.closeClients()
    this.replica.mailbox.offer({ type: 'stop' })
    clearInterval(this.discoveryTimer)
    this.links.stop()
    this.listener?.destroy()
    await this.replica.closed
  }

  /** Waits until another replica leads, for a few heartbeats at most: enough for a follower to catch up and be elected. */
  private async waitForSuccessor (): Promise<void> {
    const giveUpAt = this.options.now() + 5 * this.options.heartbeatMs
    while (this.replica.isLeader && this.options.now() < giveUpAt) {
      await new Promise(resolve => setTimeout(resolve, this.options.heartbeatMs / 8))
    }
  }

  /** Connects replicas that don't know each other: one without a leader, or outside the group, connects to all that it knows of. */
  private discoverGroup (): void {
    const { members, leaderId, isLeader } = this.replica
    // Streams to members are kept open, so that an election need not open them first.
    for (const name of members) if (name !== this.name) this.links.connect(name)
    if (isLeader) {
      // A seed without a disk learns of the group only from a replica that connects to it.
      for (const name of this.seeds) if (name !== this.name) this.links.connect(name)
      for (const name of new Set(this.callers.values())) if (!members.includes(name)) this.replica.mailbox.offer({ type: 'join', name })
    } else if (leaderId === undefined || !members.includes(this.name)) {
      for (const name of new Set([...this.seeds, ...members, ...this.announcedReplicas])) if (name !== this.name) this.links.connect(name)
    }
    this.sendDirectoryToReplicas()
    this.reportSizes()
  }

  private reportSizes (): void {
    const { counters } = this.options
    const { log, snapshot } = this.replica.sizes
    counters.set('ledger_log_bytes', {}, log)
    counters.set('ledger_snapshot_bytes', {}, snapshot)
    this.reportVoters()
    counters.removeGauge('peer_buffered_bytes')
    for (const [peer, bytes] of this.links.bufferedBytes()) counters.set('peer_buffered_bytes', { peer }, bytes)
  }

  /** Only the leader knows which members count in quorums. */
  private reportVoters (): void {
    const { counters } = this.options
    const members = this.replica.isLeader ? this.replica.memberStates().filter(({ isMember }) => isMember) : []
    for (const name of ['group_members', 'group_voters']) counters.removeGauge(name)
    if (members.length === 0) return
    counters.set('group_members', {}, members.length)
    counters.set('group_voters', {}, members.filter(({ isVoter }) => isVoter).length)
  }

  private handleDirectory ({ members, leader, keepsLog, founder }: Directory, from: string): void {
    for (const name of members) this.announcedReplicas.add(name)
    if (leader !== undefined) this.announcedReplicas.add(leader)
    if (!keepsLog) this.replica.mailbox.offer({ type: 'excludeFounder', name: from })
    if (founder === this.name && this.options.isFirstStart) this.replica.mailbox.offer({ type: 'found' })
  }

  /** Sends a changed directory to connected replicas; one that connected before this one knew the group would otherwise never learn of it. */
  private sendDirectoryToReplicas (): void {
    const directory = this.directory()
    const text = JSON.stringify(directory)
    if (text === this.lastDirectory) return
    this.lastDirectory = text
    for (const stream of this.callers.keys()) stream.send(directory)
  }

  private handleLeadershipChange (isLeader: boolean, term: number): void {
    this.options.logger.info('leadership_changed', { leader: isLeader, term })
    if (!isLeader) this.leaderTask.mailbox.post({ type: 'follow' })
    else this.serveWhenCurrent(term)
  }

  /** Starts serving once all earlier entries are applied, including own proposals that were in flight when this replica stopped serving. */
  private async serveWhenCurrent (term: number): Promise<void> {
    while (this.replica.isLeader && this.replica.term === term && this.leaderTask.servedTerm !== term) {
      if (await this.waitUntilApplied() && this.replica.isLeader && this.replica.term === term) {
        this.leaderTask.mailbox.post({ type: 'lead', term })
        return
      }
      await new Promise(resolve => setTimeout(resolve, this.options.heartbeatMs / 4))
    }
  }

  /** Resolves to true once everything proposed here before is applied, and to false if that can't be confirmed. */
  private async waitUntilApplied (): Promise<boolean> {
    return await new Promise(resolve => {
      const isTaken = this.replica.mailbox.offer({ type: 'propose', command: { type: 'noOperation' }, reply: outcome => resolve(outcome.ok) })
      if (!isTaken) resolve(false)
    })
  }

  private async read (): Promise<JobBook | undefined> {
    return await new Promise(resolve => {
      const isTaken = this.replica.mailbox.offer({ type: 'read', reply: outcome => resolve(outcome.ok ? outcome.val.jobs : undefined) })
      if (!isTaken) resolve(undefined)
    })
  }

  private accept (stream: ClientStream): void {
    let session: AgentSession | undefined
    let replicaName: string | undefined
    let peer = ''
    stream.listen({
      onMessage: message => {
        if (message.type === 'hello') {
          peer = message.name
          if (message.role !== 'replica') this.clients.add(stream)
          if (message.role === 'agent') session = { agent: message.name, number: this.nextSession++, send: order => stream.send(order) }
          if (message.role === 'replica') {
            replicaName = message.name
            this.callers.set(stream, replicaName)
          }
          stream.send(this.directory())
        } else if (message.type === 'consensus') {
          if (replicaName !== undefined) this.replica.mailbox.offer({ type: 'deliver', from: replicaName, messages: message.messages })
        } else if (message.type === 'call') {
          this.answer(message.call)
            .catch((error: unknown) => this.handleCallFailure(error))
            .then(answer => stream.send({ type: 'answer', id: message.id, answer }))
        } else if (session !== undefined) {
          this.leaderTask.mailbox.offer({ ...message, session })
        }
      },
      onEnd: reason => {
        if (reason === 'malformed') this.options.logger.warn('stream_malformed', { peer })
        this.clients.delete(stream)
        if (session !== undefined) this.leaderTask.mailbox.offer({ type: 'agentLost', session, isSilent: reason !== 'closed' && reason !== 'broken' })
        this.callers.delete(stream)
      }
    })
  }

  /** Logs a failed call, so that it doesn't end the process; its outcome is unknown. */
  private handleCallFailure (error: unknown): CallerAnswer {
    this.options.logger.error('call_failed', { error: error instanceof Error ? error.stack ?? error.message : String(error) })
    return { type: 'unknown' }
  }

  private directory (): Directory {
    return {
      type: 'directory',
      isLeading: this.isLeading,
      term: this.replica.term,
      leader: this.leader,
      members: this.replica.members,
      keepsLog: true
    }
  }

  private async answer (call: CallerCall): Promise<CallerAnswer> {
    if (call.type === 'readState') return await this.readState(call.host, call.path)
    return await new Promise(resolve => {
      const isTaken = this.leaderTask.mailbox.offer({ type: 'call', call, reply: resolve })
      if (!isTaken) resolve(refusedWithoutLeader)
    })
  }

  private async readState (host: string, path: string): Promise<CallerAnswer> {
    const book = await this.read()
    if (book === undefined) return refusedWithoutLeader
    if (book.manifest === undefined) return { type: 'refused', reason: 'noManifest', retryAfterMs: retryAfterNoLeaderMs }
    const queue = findQueue(book.manifest, host, path)
    if (queue === undefined) return { type: 'noQueue' }
    const jobId = jobIdOf(path, queue.pathPrefix)
    if (jobId === '') return { type: 'queued', count: book.countQueued(queue.name) }
    const job = book.job(jobId)
    return job === undefined ? { type: 'noJob' } : { type: 'state', state: shownStateOf(job) }
  }

  private closeClients (): void {
    for (const stream of [...this.clients]) stream.close()
  }
}

const refusedWithoutLeader: CallerAnswer = { type: 'refused', reason: 'noLeader', retryAfterMs: retryAfterNoLeaderMs }
