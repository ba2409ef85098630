import { Replica, type ConsensusMessage, type Envelope, type LogEntry, type MemberState, type ReplicaEffects, type ReplicaOptions, type StateSnapshot } from '../../core/consensus'
import { Failure, isFailure } from '../../core/failures'
import { Ledger, type LedgerCommand, type LedgerSnapshot } from '../../core/ledger'
import { Err, Ok, type Result } from '../../core/results'
import type { Logger } from '../../observability'
import type { ReplicaStore, StoredReplica } from '../../storage'
import { Mailbox, awaitPromise, startTask, startTicker, type TaskBody, type TaskStep, type Timer } from '../mailbox'
import type { ControlMessage, ProposalReply } from './controlMessage'
import { storageRetryMs } from './openStore'

/** Options of the task of a control replica. */
export interface ReplicaTaskOptions {
  readonly replica: Omit<ReplicaOptions, 'hardState' | 'snapshot' | 'entries' | 'incarnation'>
  readonly store: ReplicaStore
  readonly stored: StoredReplica
  /** Number of applied entries after which a snapshot is written. */
  readonly snapshotAfter: number
  /** Number of characters of applied entries after which a snapshot is written earlier, unless the last snapshot is larger than a part of this. */
  readonly snapshotAfterCharacters: number
  readonly now: () => number
  readonly send: (envelope: Envelope) => void
  /** Called after commands were applied to the ledger. */
  readonly onApplied: () => void
  readonly onLeadership: (isLeader: boolean, term: number) => void
  /** Called when the disk refuses a write, and when it accepts writes again. */
  readonly onStorage: (isAvailable: boolean) => void
  readonly logger: Logger
}

interface PendingProposal {
  readonly term: number
  readonly reply: ProposalReply
}

const tickMs = 20
/** Number of incarnations to draw from. */
const incarnations = 2 ** 32
/** Maximum number of messages that share one sync to disk. */
const maximumBatchMessages = 2048
/** Characters of entries per character of the newest snapshot that are applied before the next one; bounds what snapshots add to the writes of the log. */
const charactersPerSnapshotCharacter = 4

/**
 * The task that owns a control replica: its consensus state, its files and its ledger. When the disk refuses a write,
 * the replica behaves as after a crash without ending the process: it discards all state that is not on disk, neither
 * votes, leads nor answers, and restarts from the disk once it accepts writes.
 */
export class ReplicaTask {
  readonly mailbox = new Mailbox<ControlMessage>('control')
  readonly ledger = new Ledger()
  /** Resolves once the task has ended and its files are closed. */
  readonly closed: Promise<void>
  private resolveClosed: () => void = () => {}
  private replica: Replica
  /** Time of the next attempt to write, in milliseconds of the steady clock; undefined while the disk accepts writes. */
  private storageRetryAt: number | undefined
  /** Processes that keep no log and, below, whether this replica founds the group. A restarted replica needs both before anything is on disk. */
  private readonly excludedFounders = new Set<string>()
  private isFounder = false
  private readonly ticker: Timer
  private readonly proposals = new Map<number, PendingProposal>()
  private readonly reads = new Map<number, (outcome: Result<Ledger, Failure>) => void>()
  private lastReadId = 0
  private appliedIndex = 0
  private appliedTerm = 0
  private snapshotIndex = 0
  /** Characters of the entries applied since the newest snapshot, and of that snapshot. */
  private appliedCharacters = 0
  private snapshotCharacters = 0
  private wasLeader = false
  private lastMembers: string
  private lastLearners = ''

  constructor (private readonly options: ReplicaTaskOptions) {
    const { stored } = options
    this.replica = createReplica(options, stored)
    this.closed = new Promise(resolve => { this.resolveClosed = resolve })
    if (stored.snapshot !== undefined) this.restore(stored.snapshot)
    this.lastMembers = [...this.replica.members].sort().join(',')
    this.replica.start(options.now())
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  get isLeader (): boolean { return this.isStorageAvailable && this.replica.isLeader }

  get leaderId (): string | undefined { return this.isStorageAvailable ? this.replica.leaderId : undefined }

  private get isStorageAvailable (): boolean { return this.storageRetryAt === undefined }

  /** The members of the group as known to this replica. */
  memberStates (): readonly MemberState[] { return this.replica.memberStates() }

  get term (): number { return this.replica.term }

  /** The names of all members of the group. */
  get members (): readonly string[] { return this.replica.members }

  /** Whether this replica leads and a quorum has answered it recently. */
  hasActiveQuorum (): boolean { return this.isLeader && this.replica.isQuorumActiveAt(this.options.now()) }

  get committedIndex (): number { return this.replica.committedIndex }

  /** Size of the entries that were applied since the newest snapshot, and of that snapshot, in characters. */
  get sizes (): { readonly log: number, readonly snapshot: number } { return { log: this.appliedCharacters, snapshot: this.snapshotCharacters } }

  private * run (): TaskBody {
    for (;;) {
      const first = yield * this.mailbox.take()
      if (first === undefined) return
      const isStopped = this.handleBatch(first)
      if (this.isStorageAvailable) yield * this.processEffects()
      else yield * this.recoverIfDue()
      if (isStopped) return yield * this.close()
    }
  }

  private * close (): TaskStep<void> {
    this.ticker.stop()
    this.mailbox.close()
    this.failProposals(() => true)
    yield * awaitPromise(this.options.store.close())
    this.resolveClosed()
  }

  private handleBatch (first: ControlMessage): boolean {
    const now = this.options.now()
    const proposals: Array<Extract<ControlMessage, { type: 'propose' }>> = []
    let message: ControlMessage | undefined = first
    let isStopped = false
    for (let count = 1; message !== undefined; count += 1) {
      if (message.type === 'propose') proposals.push(message)
      else if (message.type === 'stop') isStopped = true
      else this.handleMessage(message, now)
      // A polled message has left the mailbox, so no message may be polled beyond the end of this batch.
      message = isStopped || count >= maximumBatchMessages ? undefined : this.mailbox.poll()
    }
    this.propose(proposals, now)
    return isStopped
  }

  private handleMessage (message: ControlMessage, now: number): void {
    if (message.type === 'excludeFounder') this.excludedFounders.add(message.name)
    if (message.type === 'found') this.isFounder = true
    if (!this.isStorageAvailable) {
      if (message.type === 'read') message.reply(Err(this.createNotLeaderFailure()))
      return
    }
    if (message.type === 'tick') this.replica.tick(now)
    if (message.type === 'join') this.replica.join(message.name, now)
    if (message.type === 'excludeFounder') this.replica.excludeFounder(message.name, now)
    if (message.type === 'found') this.replica.found(now)
    if (message.type === 'transfer') this.replica.transferLeadership()
    if (message.type === 'deliver') this.deliver(message.from, message.messages, now)
    if (message.type === 'read') {
      this.lastReadId += 1
      this.reads.set(this.lastReadId, message.reply)
      this.replica.read(this.lastReadId, now)
    }
  }

  private deliver (from: string, messages: readonly ConsensusMessage[], now: number): void {
    for (const message of messages) this.replica.receive(from, message, now)
  }

  private propose (proposals: ReadonlyArray<Extract<ControlMessage, { type: 'propose' }>>, now: number): void {
    if (proposals.length === 0) return
    const first = this.isStorageAvailable ? this.replica.propose(proposals.map(proposal => JSON.stringify(proposal.command)), now) : undefined
    proposals.forEach((proposal, position) => {
      if (first === undefined) proposal.reply(Err(this.createNotLeaderFailure()))
      else this.proposals.set(first + position, { term: this.replica.term, reply: proposal.reply })
    })
  }

  private createNotLeaderFailure (): Failure {
    return new Failure('control/not-leader', { ...(this.leaderId === undefined ? {} : { expected: this.leaderId }) })
  }

  /** Syncs durable changes to disk before any effect that depends on them is applied, answered or sent. */
  private * processEffects (): TaskStep<void> {
    const effects = this.replica.takeEffects()
    try {
      if (effects.durable !== undefined) yield * awaitPromise(this.options.store.write(effects.durable))
    } catch (error) {
      this.handleStorageFailure(error)
      return
    }
    this.performEffects(effects)
    yield * this.compactIfDue()
  }

  /** Discards all messages and answers that depend on the failed write; only the request to transfer leadership is sent. */
  private handleStorageFailure (error: unknown): void {
    if (!isFailure(error)) throw error
    this.options.logger.error('storage_unavailable', { failure: error.code, message: error.message, leader: this.isLeader, term: this.term, index: this.appliedIndex })
    this.replica.forceLeadershipTransfer()
    const { messages } = this.replica.takeEffects()
    this.storageRetryAt = this.options.now() + storageRetryMs
    for (const envelope of messages) if (envelope.message.type === 'transferRequest') this.options.send(envelope)
    for (const [id] of [...this.reads]) this.answerRead(id, Err(this.createNotLeaderFailure()))
    // The batch that made this replica the leader may have accepted proposals before onLeadership was called.
    this.failProposals(() => true)
    this.reportLeadership()
    this.options.onStorage(false)
  }

  private * recoverIfDue (): TaskStep<void> {
    if (this.storageRetryAt === undefined || this.options.now() < this.storageRetryAt) return
    try {
      const stored = yield * awaitPromise(this.options.store.recover())
      this.restartReplica(stored)
    } catch (error) {
      if (!isFailure(error)) throw error
      this.storageRetryAt = this.options.now() + storageRetryMs
    }
  }

  private restartReplica (stored: StoredReplica): void {
    const now = this.options.now()
    this.replica = createReplica({ ...this.options, replica: { ...this.options.replica, mayHaveLostVotes: stored.isDamaged } }, stored)
    this.replica.start(now)
    for (const name of this.excludedFounders) this.replica.excludeFounder(name, now)
    if (this.isFounder) this.replica.found(now)
    this.storageRetryAt = undefined
    this.options.onStorage(true)
    this.options.logger.info('storage_available', { term: this.term, index: this.replica.lastIndex })
  }

  private performEffects (effects: ReplicaEffects): void {
    if (effects.restore !== undefined) this.restore(effects.restore)
    for (const entry of effects.committed) this.apply(entry)
    if (effects.committed.length > 0) this.options.onApplied()
    for (const id of effects.confirmedReads) this.answerRead(id, Ok(this.ledger))
    for (const id of effects.refusedReads) this.answerRead(id, Err(this.createNotLeaderFailure()))
    for (const envelope of effects.messages) this.options.send(envelope)
    this.reportLeadership()
    this.logMembers()
    this.logLearners()
  }

  private apply (entry: LogEntry): void {
    // A restarted replica does not know the commit index and receives committed entries again.
    if (entry.index <= this.appliedIndex) return
    const command: LedgerCommand = entry.payload === '' ? { type: 'noOperation' } : JSON.parse(entry.payload) as LedgerCommand
    const outcome = this.ledger.apply(command)
    this.appliedIndex = entry.index
    this.appliedTerm = entry.term
    this.appliedCharacters += entry.payload.length
    const proposal = this.proposals.get(entry.index)
    if (proposal === undefined) return
    this.proposals.delete(entry.index)
    proposal.reply(proposal.term === entry.term ? outcome : Err(this.createNotLeaderFailure()))
  }

  private restore (snapshot: StateSnapshot): void {
    if (snapshot.index <= this.appliedIndex) return
    this.ledger.load(JSON.parse(snapshot.payload) as LedgerSnapshot)
    this.appliedIndex = snapshot.index
    this.appliedTerm = snapshot.term
    this.recordSnapshot(snapshot)
  }

  private answerRead (id: number, outcome: Result<Ledger, Failure>): void {
    this.reads.get(id)?.(outcome)
    this.reads.delete(id)
  }

  private reportLeadership (): void {
    if (this.isLeader === this.wasLeader) return
    this.wasLeader = this.isLeader
    // Only the next leader knows whether these proposals are committed, so callers retry there.
    if (!this.wasLeader) this.failProposals(() => true)
    this.options.onLeadership(this.wasLeader, this.replica.term)
  }

  private logMembers (): void {
    const members = [...this.replica.members].sort().join(',')
    if (members === this.lastMembers) return
    this.lastMembers = members
    this.options.logger.info('members_changed', { members, term: this.replica.term, index: this.replica.lastIndex })
  }

  /** Logs, at the leader, which members don't count in quorums: until they do, the group bears the loss of fewer. */
  private logLearners (): void {
    const members = this.isLeader ? this.replica.memberStates().filter(({ isMember }) => isMember) : []
    const learners = members.filter(({ isVoter }) => !isVoter).map(({ name }) => name).sort().join(',')
    if (learners === this.lastLearners) return
    this.lastLearners = learners
    if (!this.isLeader) return
    this.options.logger.warn('voters_changed', { voters: members.filter(({ isVoter }) => isVoter).length, members: members.length, learners, term: this.term })
  }

  private failProposals (matches: (proposal: PendingProposal) => boolean): void {
    for (const [index, proposal] of this.proposals) {
      if (!matches(proposal)) continue
      this.proposals.delete(index)
      proposal.reply(Err(this.createNotLeaderFailure()))
    }
  }

  private recordSnapshot ({ index, payload }: StateSnapshot): void {
    this.snapshotIndex = index
    this.snapshotCharacters = payload.length
    this.appliedCharacters = 0
  }

  private get isSnapshotDue (): boolean {
    const { snapshotAfter, snapshotAfterCharacters } = this.options
    return this.appliedIndex - this.snapshotIndex >= snapshotAfter ||
      this.appliedCharacters >= Math.max(snapshotAfterCharacters, charactersPerSnapshotCharacter * this.snapshotCharacters)
  }

  private * compactIfDue (): TaskStep<void> {
    if (!this.isSnapshotDue || this.appliedIndex > this.replica.committedIndex) return
    const snapshot: StateSnapshot = {
      index: this.appliedIndex,
      term: this.appliedTerm,
      payload: JSON.stringify(this.ledger.save()),
      members: this.replica.membersAt(this.appliedIndex)
    }
    this.replica.compact(snapshot)
    this.recordSnapshot(snapshot)
    try {
      yield * awaitPromise(this.options.store.compact(snapshot, this.replica.entriesAfter(snapshot.index)))
      this.options.logger.info('snapshot_written', { index: snapshot.index, bytes: snapshot.payload.length })
    } catch (error) {
      // The log on disk is still complete; the next snapshot may succeed.
      if (!isFailure(error)) throw error
      this.options.logger.warn('snapshot_failed', { index: snapshot.index, message: error.message })
    }
  }
}

function createReplica ({ replica }: Pick<ReplicaTaskOptions, 'replica'>, { hardState, snapshot, entries }: StoredReplica): Replica {
  const incarnation = 1 + Math.floor(replica.random() * incarnations)
  return new Replica({ ...replica, incarnation, hardState, ...(snapshot === undefined ? {} : { snapshot }), entries })
}
