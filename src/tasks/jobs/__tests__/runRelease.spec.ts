import { expect } from 'chai'
import { orderOf, runningOf, SupervisorFixture } from './supervisorFixture'

describe('a run that was started', () => {
  it('is not given back while its stop has no answer', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    fixture.order(orderOf({ isUnwanted: true }))
    const stop = fixture.driver.next()
    expect(stop.kind).to.equal('stop')
    await stop.answer({ type: 'unanswered' })
    fixture.pass(200)
    expect(fixture.sentOf('absent')).to.deep.equal([])
    const again = fixture.driver.next()
    expect(again.kind).to.equal('stop')
    await again.answer({ type: 'done' })
    await fixture.driver.list([runningOf()])
    expect(fixture.sentOf('absent')).to.deep.equal([])
  })
})
