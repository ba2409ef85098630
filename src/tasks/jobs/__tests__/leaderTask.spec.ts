import { expect } from 'chai'
import { JobBook } from '../../../core/jobs'
import { Counters, createLogger } from '../../../observability'
import { LeaderTask } from '../leaderTask'

function createTask (): LeaderTask {
  return new LeaderTask({
    leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
    committed: new JobBook(),
    propose: () => {},
    hearsQuorum: () => true,
    onServing: () => {},
    now: () => 0,
    wallClock: () => 0,
    logger: createLogger({ level: 'error', write: () => {} }),
    counters: new Counters()
  })
}

describe('the task of the leader of jobs', () => {
  it('handles every message, also when more have come than it takes for one plan', async () => {
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
})
