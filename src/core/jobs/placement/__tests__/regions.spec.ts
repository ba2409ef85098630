import { expect } from 'chai'
import { JobBook, JobScheduler, type Queue } from '../..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf, workersOf } from '../../__tests__/fixtures'

const regions: Readonly<Record<string, string>> = { a: 'north', b: 'north', c: 'south' }

describe('a queue with regions', () => {
  function createScheduler (...zones: readonly string[]): JobScheduler {
    const scheduler = new JobScheduler({
      leases: { durationMs: 5000, maximumDrift: 0.02, formerLeaderMs: 1000 },
      health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
      regionOf: zone => regions[zone]
    })
    scheduler.begin(new JobBook(), 0)
    for (const zone of zones) scheduler.reportWorker(`agent-${zone}`, reportOf(`w-${zone}`, { zone }), 0)
    return scheduler
  }

  const queueIn = (...allowedRegions: readonly string[]): Queue => queueOf({ allowedRegions })

  it('starts its tasks in those regions only, even if all workers elsewhere are empty', () => {
    const scheduler = createScheduler('a', 'c', 'unknown')
    scheduler.accept(submissionOf(1, [stepOf({ count: 6 })]), queueIn('south'), 0)
    scheduler.plan({ now: 10, wallClock: 10 })
    expect(workersOf(scheduler.job(jobIdOf(1)))).to.deep.equal(['w-c', 'w-c', 'w-c', 'w-c'])
  })

  it('starts its tasks in any zone if it lists no regions', () => {
    const scheduler = createScheduler('a', 'unknown')
    for (const [number, queue] of [[1, queueIn()], [2, queueOf()]] as const) scheduler.accept(submissionOf(number, [stepOf({ count: 4 })]), queue, 0)
    scheduler.plan({ now: 10, wallClock: 10 })
    expect([1, 2].flatMap(number => workersOf(scheduler.job(jobIdOf(number)))).sort()).to.deep.equal([...Array(4).fill('w-a'), ...Array(4).fill('w-unknown')])
  })

  it('preempts no task in other regions for a long-running task', () => {
    const scheduler = createScheduler('a')
    scheduler.accept(submissionOf(1, [stepOf({ isFilling: true, isCheckpointed: true, memoryMb: 9000 })]), queueOf(), 0)
    scheduler.plan({ now: 0, wallClock: 0 })
    scheduler.accept(submissionOf(2, [stepOf({ isLongRunning: true, memoryMb: 9000 })]), queueIn('south'), 0)
    for (const now of [10, 3000]) {
      scheduler.reportWorker('agent-a', reportOf('w-a', { clockMs: 5000 + now }), now)
      scheduler.plan({ now, wallClock: now })
    }
    expect(scheduler.takeStops()).to.deep.equal([])
  })

  it('treats a job as hopeless if no worker of its regions could ever run it, and recognizes one that needs an evacuated zone there', () => {
    const scheduler = createScheduler('a', 'c')
    const findings = (queue: Queue): readonly boolean[] => [scheduler.isHopeless(submissionOf(1), queue), scheduler.needsEvacuatedZone(submissionOf(1), queue)]
    expect([queueIn('north'), queueIn('east')].map(findings)).to.deep.equal([[false, false], [true, false]])
    scheduler.startEvacuation('c', 10)
    expect([queueIn('north'), queueIn('south')].map(findings)).to.deep.equal([[false, false], [true, true]])
  })
})
