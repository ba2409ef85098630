import { expect } from 'chai'
import { JobBook, type JobOperation } from '../../../core/jobs'
import { jobIdOf, manifestOf, queueOf, reportOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { Counters, createLogger } from '../../../observability'
import { JobLeader } from '../jobLeader'
import type { AgentOrder, AgentSession, JobLeaderMessage } from '../leaderMessage'

const task = `${jobIdOf(1)}.0.0.0`
const worker = 'agent/w1@1'

describe('a leader of jobs one of whose proposals failed while it leads on', () => {
  it('acknowledges no end which no committed operation records', () => {
    const committed = new JobBook()
    const begun: readonly JobOperation[] = [
      { type: 'putManifest', manifest: manifestOf(1) },
      { type: 'acceptJob', submission: submissionOf(1), queue: queueOf(), at: 0 },
      { type: 'assignRun', task, run: 1, worker }
    ]
    for (const operation of begun) committed.apply(operation)
    const posted: JobLeaderMessage[] = []
    let isTaken = true
    const leader = new JobLeader({
      leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
      health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
      committed,
      // As jobControl answers while the mailbox of the replica is full.
      propose: (operations, reply) => {
        if (isTaken) for (const operation of operations) committed.apply(operation)
        reply(isTaken)
      },
      hearsQuorum: () => true,
      post: message => posted.push(message),
      onUncertain: () => {},
      onServing: () => {},
      now: () => 0,
      wallClock: () => 0,
      logger: createLogger({ level: 'error', write: () => {} }),
      counters: new Counters()
    })
    const handle = (...messages: readonly JobLeaderMessage[]): void => {
      leader.handleBatch(messages)
      while (posted.length > 0) leader.handleBatch(posted.splice(0))
    }
    const sent: AgentOrder[] = []
    const session: AgentSession = { agent: 'agent', send: order => sent.push(order) }
    const look: JobLeaderMessage = { type: 'look', session, look: { worker, clockMs: 6000, running: [], ends: [{ sequence: 1, task, run: 1, end: 'done', checkpoint: '' }] } }
    handle({ type: 'lead', term: 1 }, { type: 'worker', session, report: reportOf(worker) })
    isTaken = false
    handle(look)
    isTaken = true
    handle(look)
    const isAcknowledged = sent.some(order => order.type === 'acknowledged')
    expect([isAcknowledged, committed.task(task)?.state]).not.to.deep.equal([true, 'live'])
  })
})
