import { expect } from 'chai'
import { JobBook, type JobOperation } from '../../../core/jobs'
import { jobIdOf, manifestOf, queueOf, reportOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { Counters, createLogger } from '../../../observability'
import { JobLeader } from '../jobLeader'
import type { AgentOrder, AgentSession, JobLeaderMessage } from '../leaderMessage'

const task = `${jobIdOf(1)}.0.0.0`
const worker = 'agent/w1@1'

describe('a leader of jobs whose release of a run is not committed yet', () => {
  it('does not order that run again from an agent which connects anew', () => {
    const committed = new JobBook()
    const begun: readonly JobOperation[] = [
      { type: 'putManifest', manifest: manifestOf(1) },
      { type: 'acceptJob', submission: submissionOf(1), queue: queueOf(), at: 0 },
      { type: 'assignRun', task, run: 1, worker }
    ]
    for (const operation of begun) committed.apply(operation)
    const leader = new JobLeader({
      leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
      health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
      committed,
      // The commit takes its time.
      propose: () => {},
      hearsQuorum: () => true,
      post: () => {},
      onUncertain: () => {},
      onServing: () => {},
      now: () => 0,
      wallClock: () => 0,
      logger: createLogger({ level: 'error', write: () => {} }),
      counters: new Counters()
    })
    const handle = (...messages: readonly JobLeaderMessage[]): void => leader.handleBatch(messages)
    const sent: AgentOrder[] = []
    const connect = (): AgentSession => ({ agent: 'agent', send: order => sent.push(order) })
    const session = connect()
    handle({ type: 'lead', term: 1 }, { type: 'worker', session, report: reportOf(worker) })
    handle({ type: 'absent', session, worker, task, run: 1, reason: 'noRoom' })
    sent.length = 0
    handle({ type: 'worker', session: connect(), report: reportOf(worker) })
    const ordered = sent.flatMap(message => message.type === 'orders' ? message.orders : []).filter(order => order.run === 1 && !order.isUnwanted)
    expect(ordered).to.deep.equal([])
  })
})
