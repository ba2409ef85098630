import { expect } from 'chai'
import { JobBook, type CallerAnswer } from '../../../core/jobs'
import { manifestOf } from '../../../core/jobs/__tests__/fixtures'
import { Counters, createLogger } from '../../../observability'
import { LeaderTask, type LeaderTaskOptions } from '../leaderTask'

function createTask (options: Partial<LeaderTaskOptions> = {}): LeaderTask {
  return new LeaderTask({
    leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
    committed: new JobBook(),
    propose: () => {},
    confirmLeadership: reply => reply(true),
    hearsQuorum: () => true,
    onLeadershipUncertain: () => {},
    onServingChange: () => {},
    now: () => 0,
    wallClock: () => 0,
    logger: createLogger({ level: 'error', write: () => {} }),
    counters: new Counters(),
    ...options
  })
}

describe('the leader task', () => {
  it('handles every message, even when more arrive than it handles before one plan', async () => {
    const task = createTask()
    const count = 2000
    const answered: number[] = []
    await new Promise<void>(resolve => {
      for (let number = 0; number < count; number += 1) {
        const reply = (): void => {
          answered.push(number)
          if (number === count - 1) resolve()
        }
        task.mailbox.post({ type: 'call', call: { type: 'cancel', host: 'h', path: '/' }, reply })
      }
    })
    task.mailbox.post({ type: 'stop' })
    expect(answered).to.deep.equal(Array.from({ length: count }, (_, number) => number))
  })

  it('decides nothing from the state of a former term while its replica leads in a later term', async () => {
    const committed = new JobBook()
    committed.apply({ type: 'putManifest', manifest: manifestOf(1) })
    const proposed: unknown[] = []
    let termOfReplica = 1
    const task = createTask({
      committed,
      hearsQuorum: term => term === termOfReplica,
      propose: (operations, reply) => {
        proposed.push(operations)
        reply(true)
      }
    })
    const cancel = async (): Promise<CallerAnswer> => await new Promise(resolve => {
      task.mailbox.post({ type: 'call', call: { type: 'cancel', host: 'a.example', path: '/plans/0000000000000001' }, reply: resolve })
    })
    task.mailbox.post({ type: 'lead', term: 1 })
    expect([await cancel(), task.servedTerm]).to.deep.equal([{ type: 'noJob' }, 1])
    // The replica was deposed and elected again; the messages about it are still queued behind others.
    termOfReplica = 3
    proposed.length = 0
    expect(await cancel()).to.include({ type: 'refused', reason: 'noLeader' })
    expect(proposed).to.deep.equal([])
    task.mailbox.post({ type: 'follow' })
    task.mailbox.post({ type: 'lead', term: 3 })
    expect([await cancel(), task.servedTerm]).to.deep.equal([{ type: 'noJob' }, 3])
    task.mailbox.post({ type: 'stop' })
  })
})
