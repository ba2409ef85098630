import { JobBook, type JobOperation } from '../../../core/jobs'
import { Counters } from '../../../observability'
import type { ClientMessage } from '../controlProtocol'
import { JobLeader } from '../jobLeader'
import type { JobLeaderMessage } from '../leaderMessage'
import type { ModelStream } from './runProtocolStream'
import type { World } from './runProtocolWorker'

/** The time of day at which histories begin, in milliseconds since 1970. */
export const epochMs = 1_800_000_000_000

/** How long a deposed leader may take itself for one, in milliseconds; as in the wiring of nodes. */
export const formerLeaderMs = 2200
const leaderTickMs = 100
const heardWithinMs = 2500
// Bad luck with one worker must not keep tasks waiting at the end of a history.
const health = { quarantineAfter: 50, quarantineMs: 500, maximumQuarantineMs: 1000 }

/** What a replica needs of its group. */
export interface ReplicaGroup {
  readonly propose: (replica: ModelReplica, operations: readonly JobOperation[], reply: (isCommitted: boolean) => void) => void
  readonly confirm: (replica: ModelReplica, reply: (isConfirmed: boolean) => void) => void
}

/** One life of a control replica: a job book with what is committed, as far as it knows, and a leader. */
export class ModelReplica {
  term = 0
  /** Entries of the group's log which its book holds. */
  applied = 0
  /** Until when it doesn't hear its quorum. */
  deafUntil = 0
  /** From when on it doesn't hear its quorum any more, as it is deposed. */
  deafFrom = Number.POSITIVE_INFINITY
  private isUp = true
  private readonly book = new JobBook()
  private readonly leader: JobLeader
  private readonly streams = new Set<ModelStream>()
  private mailbox: JobLeaderMessage[] = []

  constructor (private readonly world: World, readonly name: string, group: ReplicaGroup) {
    const { time, history } = world
    this.leader = new JobLeader({
      leases: { durationMs: world.leaseMs, maximumDrift: 0.02, formerLeaderMs, heardWithinMs, suspensionMs: world.suspensionMs },
      health,
      committed: this.book,
      propose: (operations, reply) => group.propose(this, operations, reply),
      confirmLeadership: reply => group.confirm(this, reply),
      hearsQuorum: () => this.hearsQuorum,
      onLeadershipUncertain: term => group.propose(this, [], isCommitted => { if (isCommitted && this.term === term) this.post({ type: 'lead', term }) }),
      onServingChange: isServing => { if (!isServing) this.closeStreams() },
      post: message => this.post(message),
      now: () => time.now,
      wallClock: () => epochMs + Math.floor(time.now),
      logger: history.logger(name),
      counters: new Counters()
    })
    time.every(leaderTickMs, () => {
      this.post({ type: 'tick' })
      return this.isUp
    })
  }

  private get hearsQuorum (): boolean { return this.world.time.now >= this.deafUntil && this.world.time.now < this.deafFrom }

  get isServing (): boolean { return this.isUp && this.leader.isServing }

  /** Applies committed operations. */
  apply (operations: readonly JobOperation[]): void {
    for (const operation of operations) this.book.apply(structuredClone(operation))
    this.applied += 1
  }

  get committed (): JobBook { return this.book }

  post (message: JobLeaderMessage): void {
    this.mailbox.push(message)
    if (this.mailbox.length > 1) return
    this.world.time.after(0, () => {
      const batch = this.mailbox
      this.mailbox = []
      if (this.isUp) this.leader.handleBatch(batch)
    })
  }

  lead (term: number): void {
    this.term = term
    this.deafFrom = Number.POSITIVE_INFINITY
    this.deafUntil = 0
    this.post({ type: 'lead', term })
  }

  /** Its process is killed. */
  kill (): void {
    this.isUp = false
    this.closeStreams()
  }

  accepted (stream: ModelStream): void { this.streams.add(stream) }

  lost (stream: ModelStream, isSilent: boolean): void {
    this.streams.delete(stream)
    this.world.history.count('agent lost')
    this.world.history.note(stream.session.agent, `stream ended at ${this.name}`)
    this.post({ type: 'agentLost', session: stream.session, isSilent })
  }

  /** Takes a message of an agent as the control service does; each comes with its session, whether the leader needs it or not. */
  take ({ session }: ModelStream, message: ClientMessage): void {
    if (message.type === 'absent') this.world.history.count(`absent ${message.reason}`)
    if ('task' in message && typeof message.task === 'string') this.world.history.note(this.name, `receives ${JSON.stringify(message)}`, message.task)
    if (message.type === 'worker') this.world.history.note(session.agent, `report reaches ${this.name}${this.hearsQuorum ? '' : ', which hears no quorum'}`)
    if (message.type === 'hello' || message.type === 'call' || message.type === 'consensus') return
    this.post({ ...message, session })
  }

  private closeStreams (): void {
    for (const stream of [...this.streams]) stream.closeAtReplica()
  }
}
