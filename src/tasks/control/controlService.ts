import type { CatalogueUpdate } from '../../core/catalogue'
import type { ConsensusMessage } from '../../core/consensus'
import { Failure } from '../../core/failures'
import type { Claim, Ledger, LedgerCommand, LedgerReply } from '../../core/ledger'
import { Err, type Result } from '../../core/results'
import { Histograms } from '../../observability'
import type { ReplicaStore, StoredReplica } from '../../storage'
import { ConnectionPool, createPeerHandler, openListener, peerListenerBounds, toPeerAnswer, type Address, type Listener, type PeerAnswer } from '../../transport'
import { createControlRouter, type CatalogueWatch, type ChangeProgress, type ControlPeer, type ControlQuery, type ControlStatus, type ControlView } from './controlRouter'
import { Enforcement } from './enforcement'
import { PeerSender } from './peerSender'
import { openStore } from './openStore'
import { ReplicaTask } from './replicaTask'
import { openStatusListener } from '../statusListener'
import { SchedulerTask, type SchedulerOptions } from './schedulerTask'

/** Options of a control replica. Times are in milliseconds. */
export interface ControlOptions extends Omit<SchedulerOptions, 'ledger' | 'propose'> {
  readonly name: string
  readonly listen: Address
  /** Address of the listener that reports the state of this replica; none is opened if absent. */
  readonly status?: Address
  /** Addresses of all replicas of the group by name, including this one. */
  readonly members: ReadonlyMap<string, Address>
  readonly folder: string
  readonly peerKey: string
  readonly electionTimeoutMs: number
  readonly heartbeatMs: number
  readonly callTimeoutMs: number
  readonly snapshotAfter: number
  /** Number of characters of applied commands after which a snapshot is written earlier. */
  readonly snapshotAfterCharacters: number
  readonly catalogueLeaseMs: number
}

/** A running control replica. */
export interface Control {
  readonly address: Address
  isLeader (): boolean
  /** Transfers leadership, waits for one heartbeat interval and stops. */
  drain (): Promise<void>
  /** Stops immediately, without a leadership transfer, as in a crash. */
  kill (): void
}

/** Opens the data folder and starts a control replica; rejects with a Failure. */
export async function createControl (options: ControlOptions): Promise<Control> {
  const { store, stored } = await openStore(options.folder, {}, options.logger)
  if (stored.isDamaged) options.logger.error('storage_damaged', { folder: options.folder })
  const service = new ControlService(options, await Histograms.create())
  await service.start(store, stored)
  return service
}

interface PendingWatch {
  readonly since: number
  readonly wake: () => void
}

class ControlService implements Control, ControlPeer {
  private readonly pool = new ConnectionPool({ idleMs: 15_000, maximumPerAddress: 4 })
  private readonly senders = new Map<string, PeerSender>()
  private readonly watchers = new Set<PendingWatch>()
  private readonly enforcement: Enforcement
  private listener: Listener | undefined
  private statusListener: Listener | undefined
  private replica: ReplicaTask | undefined
  private scheduler: SchedulerTask | undefined
  private isStopped = false

  constructor (private readonly options: ControlOptions, private readonly commitLatencies: Histograms) {
    this.enforcement = new Enforcement(options.catalogueLeaseMs)
  }

  get address (): Address {
    if (this.listener === undefined) throw new Failure('control/unavailable')
    return this.listener.address
  }

  isLeader (): boolean {
    return !this.isStopped && (this.replica?.isLeader ?? false)
  }

  async start (store: ReplicaStore, stored: StoredReplica): Promise<void> {
    const { options } = this
    for (const [name, address] of options.members) {
      if (name === options.name) continue
      this.senders.set(name, new PeerSender({ self: options.name, address, pool: this.pool, peerKey: options.peerKey, timeoutMs: options.callTimeoutMs }))
    }
    const replica = new ReplicaTask({
      replica: {
        id: options.name,
        members: [...options.members.keys()],
        electionTimeoutMs: options.electionTimeoutMs,
        heartbeatMs: options.heartbeatMs,
        random: options.random,
        mayHaveLostVotes: stored.isDamaged
      },
      store,
      stored,
      snapshotAfter: options.snapshotAfter,
      snapshotAfterCharacters: options.snapshotAfterCharacters,
      now: options.now,
      send: ({ to, message }) => this.senders.get(to)?.send(message),
      onApplied: () => this.handleApplied(),
      onLeadership: (isLeader, term) => this.handleLeadershipChange(isLeader, term),
      onStorage: isAvailable => options.metrics.count('storage.changes', 1, { available: String(isAvailable) }),
      logger: options.logger
    })
    this.replica = replica
    this.scheduler = new SchedulerTask({
      ...options,
      ledger: replica.ledger,
      propose: async command => await this.proposeLocally(command)
    })
    this.listener = await openListener({
      address: options.listen,
      handle: createPeerHandler({
        peerKey: options.peerKey,
        router: createControlRouter(this),
        fallback: (_request, response) => { response.writeHead(404).end() }
      }),
      ...peerListenerBounds
    })
    if (options.status !== undefined) this.statusListener = await openStatusListener(options.status, () => this.describeReplica())
    options.logger.info('control_started', { address: `${this.address.host}:${this.address.port}` })
  }

  async drain (): Promise<void> {
    this.replica?.mailbox.post({ type: 'transfer' })
    this.wakeWatchers()
    const drained = this.listener?.drain()
    await new Promise(resolve => setTimeout(resolve, this.options.heartbeatMs))
    this.stop()
    this.listener?.destroy()
    await drained
  }

  kill (): void {
    this.stop()
    this.listener?.destroy()
  }

  async propose (command: LedgerCommand): Promise<PeerAnswer<LedgerReply>> {
    const receivedAt = this.options.now()
    const outcome = await this.proposeLocally(this.setTimestamps(command))
    if (outcome.ok) this.commitLatencies.record('control', command.type, this.options.now() - receivedAt)
    return toPeerAnswer(outcome)
  }

  async query (query: ControlQuery): Promise<PeerAnswer<ControlView>> {
    const read = await this.read()
    return toPeerAnswer(read.map(ledger => this.createView(ledger, query)))
  }

  /** Answers once there is a newer revision or the wait time has elapsed. The read is linearizable, so the age of the answer is zero. */
  async watch (watch: CatalogueWatch): Promise<PeerAnswer<CatalogueUpdate>> {
    if (!this.isLeader()) return toPeerAnswer(Err(new Failure('control/not-leader', { expected: this.replica?.leaderId ?? '' })))
    this.recordReports(watch)
    await this.waitForRevision(watch)
    const read = await this.read()
    return toPeerAnswer(read.map(ledger => ({ revision: ledger.revision, ageMs: 0, versions: ledger.entryVersionsSince(watch.since) })))
  }

  deliver (from: string, messages: readonly ConsensusMessage[]): void {
    this.replica?.mailbox.offer({ type: 'deliver', from, messages })
  }

  /** Replaces the sender's timestamps by the leader's wall clock, so that all times in the ledger come from one clock. */
  private setTimestamps (command: LedgerCommand): LedgerCommand {
    if (!('at' in command)) return command
    const at = this.options.wallClock()
    if (command.type === 'openClaim') return { ...command, at, expiresAt: at + (command.expiresAt - command.at) }
    return { ...command, at }
  }

  private async proposeLocally (command: LedgerCommand): Promise<Result<LedgerReply, Failure>> {
    return await new Promise(resolve => {
      const isQueued = this.replica?.mailbox.offer({ type: 'propose', command, reply: resolve }) ?? false
      if (!isQueued) resolve(Err(new Failure('control/unavailable')))
    })
  }

  private async read (): Promise<Result<Ledger, Failure>> {
    return await new Promise(resolve => {
      const isQueued = this.replica?.mailbox.offer({ type: 'read', reply: resolve }) ?? false
      if (!isQueued) resolve(Err(new Failure('control/unavailable')))
    })
  }

  private async waitForRevision (watch: CatalogueWatch): Promise<void> {
    if ((this.replica?.ledger.revision ?? 0) > watch.since || watch.waitMs <= 0) return
    await new Promise<void>(resolve => {
      const timer = setTimeout(() => watcher.wake(), watch.waitMs)
      const watcher: PendingWatch = {
        since: watch.since,
        wake: () => {
          clearTimeout(timer)
          this.watchers.delete(watcher)
          resolve()
        }
      }
      this.watchers.add(watcher)
    })
  }

  private recordReports (watch: CatalogueWatch): void {
    const now = this.options.wallClock()
    this.enforcement.report(watch.reports, now)
    this.enforcement.updateInForce(this.replica?.ledger.revision ?? 0, now)
  }

  private handleApplied (): void {
    const revision = this.replica?.ledger.revision ?? 0
    for (const watcher of this.watchers) if (watcher.since < revision) watcher.wake()
    if (this.isLeader()) this.scheduler?.wake()
  }

  private handleLeadershipChange (isLeader: boolean, term: number): void {
    this.options.logger.info('leadership_changed', { leader: isLeader, term })
    if (isLeader) this.scheduler?.lead(term)
    else this.scheduler?.follow()
    if (!isLeader) this.wakeWatchers()
  }

  private wakeWatchers (): void {
    for (const watcher of this.watchers) watcher.wake()
  }

  private createView (ledger: Ledger, query: ControlQuery): ControlView {
    switch (query.type) {
      case 'entry': return toOptionalProperty('entry', ledger.entryVersion(query.name))
      case 'entries': return { entries: ledger.entryVersionsSince(0) }
      case 'changes': return { changes: ledger.changes().map(change => this.createProgress(change)) }
      case 'claim': return this.createClaimView(ledger.claim(query.key))
      case 'task': return toOptionalProperty('task', ledger.task(query.taskId))
      case 'tasks': return { tasks: ledger.allTasks() }
      case 'status': return { status: this.status(ledger) }
    }
  }

  private createClaimView (claim: Claim | undefined): ControlView {
    if (claim === undefined) return {}
    return { claim, ...(claim.openedAt === undefined ? {} : { claimAgeMs: Math.max(0, this.options.wallClock() - claim.openedAt) }) }
  }

  private createProgress (change: ChangeProgress['change']): ChangeProgress {
    const { revision } = change.version
    const inForceSince = this.enforcement.inForceSince(revision)
    return {
      change,
      ...(inForceSince === undefined ? {} : { inForceSince }),
      lagging: this.enforcement.lagging(revision)
    }
  }

  private status (ledger: Ledger): ControlStatus {
    const live = ledger.liveTasks()
    return {
      leader: this.options.name,
      term: this.replica?.term ?? 0,
      committedIndex: this.replica?.committedIndex ?? 0,
      replicas: this.replica?.memberStates() ?? [],
      revision: ledger.revision,
      queuedTasks: ledger.queuedTasks().length,
      liveTasks: live.length,
      workers: ledger.workers().map(worker => ({
        worker,
        reserved: ledger.reservedOn(worker.name),
        tasks: live.filter(task => task.assignment?.worker === worker.name).length
      })),
      nodes: this.enforcement.nodes()
    }
  }

  private describeReplica (): object {
    return {
      replica: this.options.name,
      isLeader: this.isLeader(),
      leader: this.replica?.leaderId,
      term: this.replica?.term,
      committedIndex: this.replica?.committedIndex,
      replicas: this.replica?.memberStates(),
      commits: this.commitLatencies.summarize()
    }
  }

  private stop (): void {
    this.isStopped = true
    this.statusListener?.destroy()
    this.scheduler?.stop()
    this.replica?.mailbox.offer({ type: 'stop' })
    for (const sender of this.senders.values()) sender.stop()
    this.pool.close()
  }
}

function toOptionalProperty<Key extends string, Value> (key: Key, value: Value | undefined): { readonly [Name in Key]?: Value } {
  return value === undefined ? {} : { [key]: value } as { readonly [Name in Key]: Value }
}
