import { expect } from 'chai'
import { orderOf, runningOf, SupervisorFixture, task, worker } from './supervisorFixture'

describe('a run that was started', () => {
  it('is not given back while its stop is unanswered', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.order(orderOf({ isUnwanted: true }))
    const stop = fixture.driver.takeOrder()
    expect(stop.kind).to.equal('stop')
    await stop.answer({ type: 'unanswered' })
    fixture.advance(200)
    expect(fixture.sentOf('absent')).to.deep.equal([])
    const again = fixture.driver.takeOrder()
    expect(again.kind).to.equal('stop')
    await again.answer({ type: 'done' })
    await fixture.driver.list([runningOf()])
    expect(fixture.sentOf('absent')).to.deep.equal([])
  })

  it('is not given back while the worker lists only some of its ends', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.order(orderOf({ isUnwanted: true }))
    await fixture.driver.takeOrder().answer({ type: 'done' })
    await fixture.driver.list([])
    await fixture.driver.list([], [{ sequence: 1, task: 'other', run: 1, end: 'done', checkpoint: '' }], true)
    expect(fixture.sentOf('absent')).to.deep.equal([])
    fixture.advance(1000)
    await fixture.driver.list([])
    expect(fixture.sentOf('absent').length).to.equal(1)
  })

  it('is stopped and no longer listed before a later run of its task is started at the same worker', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.openLink(2)
    fixture.tell({ type: 'orders', worker, orders: [orderOf({ run: 2 })], isComplete: true })
    fixture.advance(200)
    const stop = fixture.driver.takeOrder()
    expect(stop).to.include({ kind: 'stop', run: 1 })
    await stop.answer({ type: 'done' })
    await fixture.driver.list([runningOf()])
    expect(fixture.driver.orders).to.deep.equal([])
    await fixture.driver.list([], [{ sequence: 1, task, run: 1, end: 'stopped', checkpoint: '' }])
    fixture.advance(200)
    expect(fixture.driver.takeOrder()).to.include({ kind: 'start', run: 2 })
  })

  it('is stopped if a complete list does not contain it, even when its start has no answer yet', async () => {
    for (const outcome of [{ type: 'done' }, { type: 'unanswered' }] as const) {
      const fixture = new SupervisorFixture()
      fixture.connect()
      fixture.order(orderOf())
      const start = fixture.driver.takeOrder()
      fixture.openLink(2)
      fixture.tell({ type: 'orders', worker, orders: [], isComplete: true })
      await start.answer(outcome)
      fixture.advance(200)
      expect(fixture.driver.takeOrder()).to.include({ kind: 'stop', run: 1 })
    }
  })
})

describe('a run that was given back', () => {
  async function giveBack (): Promise<SupervisorFixture> {
    const fixture = new SupervisorFixture()
    fixture.connect()
    fixture.order(orderOf())
    await fixture.driver.takeOrder().answer({ type: 'refused', reason: 'noRoom' })
    expect(fixture.sentOf('absent')).to.deep.equal([{ type: 'absent', worker, task, run: 1, reason: 'noRoom' }])
    return fixture
  }

  it('is not started again by a complete list that was sent before the leader received the message', async () => {
    const fixture = await giveBack()
    fixture.openLink(1)
    fixture.tell({ type: 'orders', worker, orders: [orderOf()], isComplete: true })
    fixture.advance(200)
    expect(fixture.driver.orders).to.deep.equal([])
    expect(fixture.sentOf('absent').length).to.equal(2)
  })

  it('is not started again by an order that was sent before the leader received the message', async () => {
    const fixture = await giveBack()
    fixture.order(orderOf())
    fixture.advance(200)
    expect(fixture.driver.orders).to.deep.equal([])
  })

  it('is given back again until the leader has committed it, because a leader drops messages while it hears no quorum', async () => {
    const fixture = await giveBack()
    fixture.advance(1000)
    expect(fixture.sentOf('absent').length).to.equal(2)
    fixture.tell({ type: 'released', worker, task, run: 1 })
    fixture.advance(5000)
    expect(fixture.sentOf('absent').length).to.equal(2)
  })

  it('is no longer given back once a complete list does not contain it', async () => {
    const fixture = await giveBack()
    fixture.openLink(2)
    fixture.tell({ type: 'orders', worker, orders: [], isComplete: true })
    fixture.advance(5000)
    expect(fixture.sentOf('absent').length).to.equal(1)
  })
})
