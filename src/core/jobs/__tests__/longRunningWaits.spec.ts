import { expect } from 'chai'
import { JobBook, JobScheduler, type RunFinding } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from './fixtures'

function createScheduler (): JobScheduler {
  const scheduler = new JobScheduler({
    leases: { durationMs: 20_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(new JobBook(), 0)
  // Tasks that wait in the first plan of a leadership count as waiting for longer.
  scheduler.plan({ now: 0, wallClock: 0 })
  return scheduler
}

function plan (scheduler: JobScheduler, now: number): ReadonlyArray<Extract<RunFinding, { readonly type: 'waiting' }>> {
  scheduler.plan({ now, wallClock: now })
  return scheduler.takeFindings().filter(finding => finding.type === 'waiting')
}

describe('the report of long-running tasks that wait', () => {
  it('names since when they wait, what each worker of the pool lacks, and the room of the usable ones', () => {
    const scheduler = createScheduler()
    const labels = ['a', 'r1', 'cake']
    scheduler.reportWorker('full', reportOf('full/w@1', { labels, capacity: { processors: 1, memoryMb: 10_000, accelerators: 0 } }), 0)
    scheduler.reportWorker('plain', reportOf('plain/w@1'), 0)
    scheduler.reportWorker('leaving', reportOf('leaving/w@1', { labels, isDraining: true }), 0)
    scheduler.reportWorker('lost', reportOf('lost/w@1', { labels }), 0)
    scheduler.workerLost('lost/w@1', true)
    scheduler.reportWorker('elsewhere', reportOf('elsewhere/w@1', { labels, pool: 'others' }), 0)
    scheduler.accept(submissionOf(1, [stepOf({ count: 3, isLongRunning: true, requiredLabel: 'cake' })]), queueOf(), 0)
    expect(plan(scheduler, 0)).to.deep.equal([])
    expect(plan(scheduler, 1900)).to.deep.equal([])
    const lacks = new Map([['full/w@1', 'room'], ['plain/w@1', 'label'], ['leaving/w@1', 'leaving'], ['lost/w@1', 'connection']])
    const [none, all] = [{ processors: 0, memoryMb: 9900, accelerators: 0 }, { processors: 4, memoryMb: 10_000, accelerators: 0 }]
    const rooms = new Map([['full/w@1', { free: none, reclaimable: none }], ['plain/w@1', { free: all, reclaimable: all }]])
    const needed = { processors: 1, memoryMb: 100, accelerators: 0 }
    expect(plan(scheduler, 2000)).to.deep.equal([{ type: 'waiting', step: `${jobIdOf(1)}.0.0`, tasks: 2, waitingMs: 2000, needed, lacks, rooms }])
    expect(plan(scheduler, 3900)).to.deep.equal([])
    expect(plan(scheduler, 4100).map(({ waitingMs }) => waitingMs)).to.deep.equal([4100])
  })

  it('tells the room that others than long-running tasks take', () => {
    const scheduler = createScheduler()
    scheduler.reportWorker('one', reportOf('one/w@1'), 0)
    scheduler.accept(submissionOf(1, [stepOf({ processors: 1, isLongRunning: true })]), queueOf(), 0)
    scheduler.accept(submissionOf(2, [stepOf({ processors: 2 })]), queueOf(), 0)
    plan(scheduler, 0)
    scheduler.accept(submissionOf(3, [stepOf({ processors: 3, isLongRunning: true })]), queueOf(), 0)
    plan(scheduler, 100)
    const [{ lacks, rooms } = {}] = plan(scheduler, 2100)
    expect(lacks).to.deep.equal(new Map([['one/w@1', 'room']]))
    expect(rooms?.get('one/w@1')).to.deep.equal({ free: { processors: 1, memoryMb: 9800, accelerators: 0 }, reclaimable: { processors: 3, memoryMb: 9900, accelerators: 0 } })
  })

  it('begins anew for a task that has started since', () => {
    const scheduler = createScheduler()
    scheduler.accept(submissionOf(1, [stepOf({ isLongRunning: true })]), queueOf(), 0)
    plan(scheduler, 0)
    scheduler.reportWorker('one', reportOf('one/w@1'), 1000)
    expect(plan(scheduler, 1000)).to.deep.equal([])
    plan(scheduler, 1050)
    scheduler.workerEnded('one/w@1', 2500)
    expect(plan(scheduler, 2500)).to.deep.equal([])
    expect(plan(scheduler, 4500).map(({ waitingMs }) => waitingMs)).to.deep.equal([2000])
  })
})
