import { expect } from 'chai'
import { orderOf, runningOf, SupervisorFixture, worker } from './supervisorFixture'

const later = '0000000000000002.0.0.0'
const latest = '0000000000000003.0.0.0'

/** Lets the looks of the worker fail until its boot counts as ended. */
async function crash (fixture: SupervisorFixture): Promise<void> {
  for (let refusal = 0; refusal < 3; refusal += 1) {
    await fixture.driver.looks.shift()?.answer({ type: 'notListening' })
    fixture.advance(200)
  }
}

describe('the evidence of a worker crash', () => {
  it('tells the ages of runs when the worker stopped answering, not when its end was detected', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.advance(3000)
    fixture.order(orderOf({ task: later }))
    await fixture.driver.takeOrder().answer({ type: 'done' })
    fixture.advance(10)
    await crash(fixture)
    const { sinceMs, runs } = fixture.sentOf('ended')[0]?.crash ?? { sinceMs: 0, runs: [] }
    expect(sinceMs).to.equal(400)
    expect(runs.map(({ ageMs }) => ageMs)).to.deep.equal([3210, 10])
  })

  it('leaves out runs that never reached the worker, and those that have ended', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    await fixture.driver.list([], [{ sequence: 1, task: orderOf().task, run: 1, end: 'done', checkpoint: '' }])
    fixture.advance(400)
    fixture.order(orderOf({ task: later }))
    await fixture.driver.takeOrder().answer({ type: 'notListening' })
    // No start is sent where nothing listens until the same boot has answered.
    fixture.order(orderOf({ task: latest }))
    fixture.advance(200)
    expect(fixture.driver.orders).to.deep.equal([])
    await crash(fixture)
    expect(fixture.sentOf('ended')[0]?.crash?.runs).to.deep.equal([])
  })

  it('is absent when the worker had announced that it leaves', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.register({ sequence: 2, isDraining: true })
    await crash(fixture)
    expect(fixture.sentOf('ended')).to.deep.equal([{ type: 'ended', worker, reason: 'not listening', crash: undefined }])
  })

  it('counts from the moment at which the worker stopped answering, also if its next boot has answered since under the same id', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.advance(3000)
    fixture.order(orderOf({ task: later }))
    await fixture.driver.takeOrder().answer({ type: 'done' })
    fixture.advance(10)
    await fixture.driver.looks.shift()?.answer({ type: 'unanswered' })
    fixture.advance(500)
    fixture.driver.bornMs = 2
    await fixture.driver.list([])
    fixture.register({ bornMs: 2 })
    for (const order of fixture.driver.orders.splice(0)) await order.answer({ type: 'done' })
    await fixture.waitOutLateCalls()
    await fixture.waitOutLateCalls()
    const crash = fixture.sentOf('worker').at(-1)?.report.formerBoots?.[0]?.crash
    expect(crash?.runs.map(({ ageMs }) => ageMs)).to.deep.equal([3210, 10])
  })

  it('takes a start that the worker had not confirmed when it crashed for one that had just begun', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.order(orderOf({ task: later }))
    fixture.advance(300)
    await fixture.driver.takeOrder().answer({ type: 'unanswered' })
    await crash(fixture)
    expect(fixture.sentOf('ended')[0]?.crash?.runs.map(({ ageMs }) => ageMs)).to.deep.equal([500, 0])
  })

  it('tells that a start was left unanswered until the worker crashed, unless it was sent just before', async () => {
    for (const [waitMs, isUnconfirmed] of [[300, true], [40, undefined]] as const) {
      const fixture = new SupervisorFixture()
      await fixture.startFirstRun()
      fixture.order(orderOf({ task: later }))
      fixture.advance(waitMs)
      await fixture.driver.takeOrder().answer({ type: 'unanswered' })
      await crash(fixture)
      expect(fixture.sentOf('ended')[0]?.crash?.runs.map(run => run.isUnconfirmed)).to.deep.equal([undefined, isUnconfirmed])
    }
  })

  it('tells that a start was left unanswered until its call timed out, as the worker may have crashed before it was sent', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.order(orderOf({ task: later }))
    fixture.advance(501)
    await fixture.driver.takeOrder().answer({ type: 'unanswered' })
    await crash(fixture)
    expect(fixture.sentOf('ended')[0]?.crash?.runs.map(run => run.isUnconfirmed)).to.deep.equal([undefined, true])
  })

  it('starts anew when the worker answers again, as a reset connection is no crash', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    await fixture.driver.looks.shift()?.answer({ type: 'unanswered' })
    fixture.advance(1000)
    await fixture.driver.list([runningOf()])
    fixture.advance(1000)
    await crash(fixture)
    expect(fixture.sentOf('ended')[0]?.crash?.runs.map(({ ageMs }) => ageMs)).to.deep.equal([2200])
  })
})
