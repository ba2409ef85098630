import { expect } from 'chai'
import type { Step } from '..'
import { fixtureWith, type CrashFixture } from './crashFixture'
import { jobIdOf, stepOf, workersOf } from './fixtures'

/** How long a long-running task may wait once it has been released, in milliseconds: the platform's 6 s less detection, election and start. */
const maximumWaitMs = 2000

/** Plans until the time has passed. Returns how many tasks of jobs run then. */
function countRunning (fixture: CrashFixture, jobs: readonly number[], waitMs = maximumWaitMs): number {
  for (const endAt = fixture.now + waitMs; fixture.now < endAt;) fixture.plan()
  return jobs.reduce((sum, job) => sum + workersOf(fixture.committed.job(jobIdOf(job))).length, 0)
}

function lasting (changes: Partial<Step> = {}): Step { return stepOf({ isLongRunning: true, ...changes }) }

describe('a long-running task with room for it', () => {
  it('starts in time when all of many VMs crashed under such tasks and more are suspected than may start apart', () => {
    const fixture = fixtureWith(6, ...Array.from({ length: 6 }, () => [lasting({ processors: 3 })]))
    for (let vm = 1; vm <= 6; vm += 1) fixture.lose(vm)
    for (let vm = 11; vm <= 16; vm += 1) fixture.report(vm)
    expect(countRunning(fixture, [1, 2, 3, 4, 5, 6])).to.equal(6)
  })

  it('starts in time when the few VMs with its label are all held for suspects', () => {
    const fixture = fixtureWith(3, [lasting({ requiredLabel: 'x' })])
    fixture.label('x', [4])
    countRunning(fixture, [1], 100)
    fixture.crash(4)
    expect(countRunning(fixture, [1], 300)).to.equal(1)
    fixture.accept(2, [lasting({ requiredLabel: 'x' })])
    expect(countRunning(fixture, [2])).to.equal(1)
  })

  it('starts in time when it is suspected and follows other suspects on the only VM with its label', () => {
    const fixture = fixtureWith(3, ...[1, 2, 3].map(() => [lasting({ requiredLabel: 'x' })]))
    fixture.label('x', [4])
    countRunning(fixture, [1], 100)
    fixture.crash(4)
    expect(countRunning(fixture, [1, 2, 3])).to.equal(3)
  })

  it('starts in time when a leader is elected while it waits for suspects', () => {
    const fixture = fixtureWith(3, ...[1, 2, 3].map(() => [lasting({ requiredLabel: 'x' })]))
    fixture.label('x', [4])
    countRunning(fixture, [1], 100)
    fixture.crash(4)
    countRunning(fixture, [1, 2, 3], 1200)
    fixture.changeLeader()
    expect(countRunning(fixture, [1, 2, 3], maximumWaitMs - 1200)).to.equal(3)
  })

  it('starts in time behind a task of its step that has waited for less and finds no worker without suspects', () => {
    const fixture = fixtureWith(3, [lasting({ requiredLabel: 'x' })])
    fixture.label('x', [4, 5])
    countRunning(fixture, [1], 100)
    const held = fixture.vmOf(`${jobIdOf(1)}.0.0.0`) ?? 0
    fixture.crash(held)
    countRunning(fixture, [1], 300)
    const other = fixture.vmOf(`${jobIdOf(1)}.0.0.0`) === 4 ? 5 : 4
    fixture.accept(2, [lasting({ count: 2, maximumPerWorker: 1, requiredLabel: 'x' })])
    expect(countRunning(fixture, [2], 1400)).to.equal(1)
    expect(fixture.vmOf(`${jobIdOf(2)}.0.0.0`)).to.equal(other)
    fixture.lose(other, () => 20_000)
    countRunning(fixture, [2], maximumWaitMs - 1400)
    expect(fixture.vmOf(`${jobIdOf(2)}.0.0.1`)).not.to.equal(undefined)
  })

  it('starts apart from suspects if it can', () => {
    const fixture = fixtureWith(4, [lasting({ processors: 3 })], [lasting({ processors: 3 })])
    const [vm = 0, other = 0] = [1, 2].map(job => fixture.vmOf(`${jobIdOf(job)}.0.0.0`) ?? 0)
    fixture.crash(vm)
    fixture.crash(other)
    expect(countRunning(fixture, [1, 2])).to.equal(2)
    expect(fixture.vmOf(`${jobIdOf(1)}.0.0.0`)).to.not.equal(fixture.vmOf(`${jobIdOf(2)}.0.0.0`))
  })

  it('gets room by preemption when it is suspected and the only VM with room may take no more tasks of its step', () => {
    const fixture = fixtureWith(2, [lasting({ count: 2, maximumPerWorker: 1 })])
    fixture.report(3)
    fixture.accept(2, [stepOf({ processors: 4, isCheckpointed: true })])
    fixture.plan()
    expect(fixture.vmOf(`${jobIdOf(2)}.0.0.0`)).to.equal(3)
    fixture.lose(fixture.vmOf(`${jobIdOf(1)}.0.0.1`) ?? 0)
    countRunning(fixture, [1])
    expect(fixture.stopped).to.deep.equal([`${jobIdOf(2)}.0.0.0`])
  })
})
