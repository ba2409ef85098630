import { expect } from 'chai'
import { JobBook, JobScheduler, type RunFinding } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from './fixtures'

const task = `${jobIdOf(1)}.0.0.0`

function createScheduler (): JobScheduler {
  const scheduler = new JobScheduler({
    leases: { durationMs: 20_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(new JobBook(), 0)
  scheduler.reportWorker('one', reportOf('one/w@1'), 0)
  scheduler.accept(submissionOf(1, [stepOf({ count: 2, isLongRunning: true })]), queueOf(), 0)
  scheduler.accept(submissionOf(2, [stepOf()]), queueOf(), 0)
  return scheduler
}

function plan (scheduler: JobScheduler, now: number): readonly RunFinding[] {
  scheduler.plan({ now, wallClock: now })
  return scheduler.takeFindings().filter(({ type }) => type === 'notAtWork')
}

function list (scheduler: JobScheduler, tasks: ReadonlyArray<{ readonly task: string, readonly run: number, readonly percent: number }>, now: number): void {
  scheduler.look({ worker: 'one/w@1', clockMs: 5000 + now, ends: [], running: tasks.map(running => ({ ...running, checkpoint: '' })) }, { now, wallClock: now })
}

describe('the report of live long-running tasks that are not at work', () => {
  it('names the task that its worker has not listed for longest, every two seconds', () => {
    const scheduler = createScheduler()
    expect(plan(scheduler, 0)).to.deep.equal([])
    expect(plan(scheduler, 1900)).to.deep.equal([])
    const found = { type: 'notAtWork', step: `${jobIdOf(1)}.0.0`, tasks: 2, task, run: 1, worker: 'one/w@1', absentMs: 2000, isConnected: true, listedRun: undefined, percent: undefined }
    expect(plan(scheduler, 2000)).to.deep.equal([found])
    expect(plan(scheduler, 3900)).to.deep.equal([])
    list(scheduler, [{ task, run: 1, percent: 40 }, { task: `${jobIdOf(1)}.0.0.1`, run: 1, percent: 100 }], 3950)
    expect(plan(scheduler, 4000)).to.deep.equal([{ ...found, tasks: 1, absentMs: 4000, listedRun: 1, percent: 40 }])
  })

  it('begins anew once the task was at work', () => {
    const scheduler = createScheduler()
    plan(scheduler, 0)
    const atWork = [0, 1].map(index => ({ task: `${jobIdOf(1)}.0.0.${index}`, run: 1, percent: 100 }))
    list(scheduler, atWork, 1000)
    expect(plan(scheduler, 2500)).to.deep.equal([])
    list(scheduler, atWork.slice(1), 2600)
    expect(plan(scheduler, 2600)).to.deep.equal([])
    expect(plan(scheduler, 4600).map(finding => finding.type === 'notAtWork' ? finding.absentMs : 0)).to.deep.equal([2000])
  })
})
