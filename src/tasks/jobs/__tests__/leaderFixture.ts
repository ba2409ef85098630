import { JobBook, type JobOperation, type WorkerReport } from '../../../core/jobs'
import { manifestOf, queueOf, reportOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { Counters, createLogger } from '../../../observability'
import { JobLeader, type JobLeaderOptions } from '../jobLeader'
import type { MessageToAgent, AgentSession, JobLeaderMessage } from '../leaderMessage'

/** A stream of an agent that records the messages of the leader. */
export interface RecordedSession extends AgentSession {
  readonly received: MessageToAgent[]
}

interface Proposal {
  readonly operations: readonly JobOperation[]
  readonly reply: (isCommitted: boolean) => void
}

/** A leader in virtual time; the spec takes the role of its consensus group and agents. */
export class LeaderFixture {
  readonly committed = new JobBook()
  readonly leader: JobLeader
  readonly counters = new Counters()
  /** Whether the group accepts proposals; otherwise each fails immediately. */
  acceptsProposals = true
  /** Whether the group still follows the leader; otherwise it was deposed, which it may not know yet. */
  isLawful = true
  private isHeard = true
  private uncertainTerm: number | undefined
  private readonly proposals: Proposal[] = []
  private now = 0
  private nextSession = 1

  constructor (changes: Partial<JobLeaderOptions> = {}) {
    this.leader = new JobLeader({
      leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
      health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
      committed: this.committed,
      propose: (operations, reply) => {
        if (this.acceptsProposals) this.proposals.push({ operations, reply })
        else reply(false)
      },
      confirmLeadership: reply => reply(this.isLawful),
      hearsQuorum: () => this.isHeard,
      onLeadershipUncertain: term => { this.uncertainTerm = term },
      onServingChange: () => {},
      post: message => this.leader.handleBatch([message]),
      now: () => this.now,
      wallClock: () => this.now,
      logger: createLogger({ level: 'error', write: () => {} }),
      counters: this.counters,
      ...changes
    })
  }

  /** Whether a quorum answers the leader. If the leader stopped serving because none did, setting this to true makes it lead again in the same term, as its replica does after a read. */
  get hearsQuorum (): boolean { return this.isHeard }

  set hearsQuorum (isHeard: boolean) {
    this.isHeard = isHeard
    if (!isHeard || this.uncertainTerm === undefined) return
    this.handle({ type: 'lead', term: this.uncertainTerm })
    this.uncertainTerm = undefined
  }

  /** Starts a leadership, with a committed job of one task. */
  lead (): void {
    this.committed.apply({ type: 'putManifest', manifest: manifestOf(1) })
    this.committed.apply({ type: 'acceptJob', submission: submissionOf(1), queue: queueOf(), at: 0 })
    this.handle({ type: 'lead', term: 1 })
  }

  /** Opens a stream of an agent and reports its worker on it. */
  connect (agent: string, changes: Partial<WorkerReport> = {}): RecordedSession {
    const received: MessageToAgent[] = []
    const session: RecordedSession = { agent, number: this.nextSession++, received, send: message => { received.push(message) } }
    this.handle({ type: 'worker', session, report: reportOf(`${agent}/w@1`, changes) })
    return session
  }

  /** Advances the clock and ticks the leader. */
  advance (ms: number): void {
    this.now += ms
    this.handle({ type: 'tick' })
  }

  handle (message: JobLeaderMessage): void { this.leader.handleBatch([message]) }

  /** Commits all pending proposals. */
  commit (): void {
    for (const { operations, reply } of this.proposals.splice(0)) {
      for (const operation of operations) this.committed.apply(operation)
      reply(true)
    }
  }
}
