import { findQueue, jobIdOf, type CallerAnswer, type CallerCall, type JobBook, type JobSchedulerOptions, type Manifest } from '../../core/jobs'
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

/** Options of a control replica which schedules jobs. Times are in milliseconds. */
export interface JobControlOptions extends JobSchedulerOptions {
  /** Where other processes reach this replica; also its name in the group. */
  readonly listen: Address
  /** Addresses of replicas: at the first start of the group its members, later where to ask for them. */
  readonly seeds: readonly string[]
  /** How many replicas should count in quorums. */
  readonly wantedMembers: number
  /** Silence after which another replica takes the place of a member. */
  readonly replaceAfterMs: number
  readonly folder: string
  /** Whether the whole system starts for the first time, so that an empty folder has forgotten nothing. */
  readonly isFirstStart: boolean
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
  /** Applied commands after which a snapshot is written. */
  readonly snapshotAfter: number
  readonly bounds: StreamBounds
  readonly now: () => number
  /** Steady time which also counts suspensions of the VM, for elections and for whether a leader is still one. */
  readonly consensusNow: () => number
  readonly wallClock: () => number
  readonly random: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** The manifest as a read found it. */
export type ManifestRead =
  | { readonly type: 'manifest', readonly manifest: Manifest | undefined }
  /** It can't be confirmed here which manifest is the newest; the leader, if known, can say. */
  | { readonly type: 'unconfirmed', readonly leader?: string | undefined }

/** A running control replica which schedules jobs. */
export interface JobControl {
  readonly isLeading: boolean
  /** The address of the leader, if known. */
  readonly leader: string | undefined
  putManifest (manifest: Manifest): Promise<ManifestOutcome>
  readManifest (): Promise<ManifestRead>
  /** Orders the evacuation of an availability zone, or ends it. */
  changeEvacuation (zone: string, change: EvacuationChange): Promise<EvacuationOutcome>
  /** Takes other addresses to ask for the group. */
  reseed (seeds: readonly string[]): void
  /** Hands leadership over and stops. */
  drain (): Promise<void>
}

/** Opens the data folder and starts a replica; rejects with a Failure. */
export async function createJobControl (options: JobControlOptions): Promise<JobControl> {
  // An empty folder after the first start may be one that was lost, and the next life no longer finds it empty.
  const { store, stored } = await openStore(options.folder, options.isFirstStart ? {} : { standingOfNew: 'learner' }, options.logger)
  if (stored.isDamaged) options.logger.error('storage_damaged', { folder: options.folder })
  const service = new JobControlService(options, store, stored)
  await service.start()
  return service
}

type ClientStream = MessageStream<ClientMessage, ControlReply>

const retryAfterNoLeaderMs = 1000
/** How often a replica without a leader looks for its group, and a leader for replicas that want to join, in milliseconds. */
const rendezvousMs = 250

class JobControlService implements JobControl {
  private readonly name: string
  private readonly links: ReplicaLinks
  private readonly replica: ReplicaTask
  private readonly leaderTask: LeaderTask
  private readonly clients = new Set<ClientStream>()
  private listener: Listener | undefined
  private rendezvous: NodeJS.Timeout | undefined
  private seeds: readonly string[]
  /** Replicas which other ones have told of. */
  private readonly told = new Set<string>()
  /** Replicas with a stream to this one. */
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
      onDirectory: (directory, from) => this.takeDirectory(directory, from)
    })
    this.replica = new ReplicaTask({
      replica: {
        id: this.name,
        // An empty folder after the first start is one of a stranger or one that was lost: the group tells which.
        members: stored.isNew && !options.isFirstStart ? [] : options.seeds,
        wantedMembers: options.wantedMembers,
        replaceAfterMs: options.replaceAfterMs,
        electionTimeoutMs: options.electionTimeoutMs,
        heartbeatMs: options.heartbeatMs,
        random: options.random,
        mayHaveForgotten: stored.isDamaged || (stored.isNew && !options.isFirstStart)
      },
      store,
      stored,
      snapshotAfter: options.snapshotAfter,
      now: options.consensusNow,
      send: envelope => this.links.send(envelope),
      onApplied: () => {},
      onLeadership: (isLeader, term) => this.leadershipChanged(isLeader, term),
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
      hearsQuorum: term => this.replica.term === term && this.replica.hearsQuorum(),
      onUncertain: term => { this.leadWhenCurrent(term) },
      onServing: isServing => { if (!isServing) this.closeClients() }
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
    this.rendezvous = setInterval(() => this.meet(), rendezvousMs)
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
    clearInterval(this.rendezvous)
    this.links.stop()
    this.listener?.destroy()
    await this.replica.closed
  }

  /** A few heartbeats are enough for a follower to catch up and be elected. */
  private async waitForSuccessor (): Promise<void> {
    const giveUpAt = this.options.now() + 5 * this.options.heartbeatMs
    while (this.replica.isLeader && this.options.now() < giveUpAt) {
      await new Promise(resolve => setTimeout(resolve, this.options.heartbeatMs / 8))
    }
  }

  /** Brings replicas together which don't know of each other: a stranger calls all that it has heard of. */
  private meet (): void {
    const { members, leaderId, isLeader } = this.replica
    // An election must not begin with opening streams.
    for (const name of members) if (name !== this.name) this.links.connect(name)
    if (isLeader) {
      // A seed without a disk can learn of the group only from a replica that calls it.
      for (const name of this.seeds) if (name !== this.name) this.links.connect(name)
      for (const name of new Set(this.callers.values())) if (!members.includes(name)) this.replica.mailbox.offer({ type: 'join', name })
    } else if (leaderId === undefined || !members.includes(this.name)) {
      for (const name of new Set([...this.seeds, ...members, ...this.told])) if (name !== this.name) this.links.connect(name)
    }
    this.tellReplicas()
  }

  private takeDirectory ({ members, leader, keepsLog, founder }: Directory, from: string): void {
    for (const name of members) this.told.add(name)
    if (leader !== undefined) this.told.add(leader)
    if (!keepsLog) this.replica.mailbox.offer({ type: 'excludeFounder', name: from })
    if (founder === this.name && this.options.isFirstStart) this.replica.mailbox.offer({ type: 'found' })
  }

  /** A replica which called before this one knew the group would otherwise never hear of it. */
  private tellReplicas (): void {
    const directory = this.directory()
    const text = JSON.stringify(directory)
    if (text === this.lastDirectory) return
    this.lastDirectory = text
    for (const stream of this.callers.keys()) stream.send(directory)
  }

  private leadershipChanged (isLeader: boolean, term: number): void {
    this.options.logger.info('leadership_changed', { leader: isLeader, term })
    if (!isLeader) this.leaderTask.mailbox.post({ type: 'follow' })
    else this.leadWhenCurrent(term)
  }

  /** Serves only once all earlier entries are applied, also those of its own that were on their way when it ceased to serve. */
  private async leadWhenCurrent (term: number): Promise<void> {
    while (this.replica.isLeader && this.replica.term === term && this.leaderTask.servedTerm !== term) {
      if (await this.appliesAll() && this.replica.isLeader && this.replica.term === term) {
        this.leaderTask.mailbox.post({ type: 'lead', term })
        return
      }
      await new Promise(resolve => setTimeout(resolve, this.options.heartbeatMs / 4))
    }
  }

  /** Resolves once everything that was proposed here before is applied; false if that is not known. */
  private async appliesAll (): Promise<boolean> {
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
            .catch((error: unknown) => this.answerFailed(error))
            .then(answer => stream.send({ type: 'answer', id: message.id, answer }))
        } else if (session !== undefined) {
          this.leaderTask.mailbox.offer({ ...message, session })
        }
      },
      onEnd: reason => {
        if (reason === 'malformed') this.options.logger.warn('stream_malformed', { peer })
        this.clients.delete(stream)
        if (session !== undefined) this.leaderTask.mailbox.offer({ type: 'agentLost', session })
        this.callers.delete(stream)
      }
    })
  }

  /** One call must not end the process; what became of it isn't known. */
  private answerFailed (error: unknown): CallerAnswer {
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
    return job === undefined ? { type: 'noJob' } : { type: 'state', state: job.state }
  }

  private closeClients (): void {
    for (const stream of [...this.clients]) stream.close()
  }
}

const refusedWithoutLeader: CallerAnswer = { type: 'refused', reason: 'noLeader', retryAfterMs: retryAfterNoLeaderMs }
