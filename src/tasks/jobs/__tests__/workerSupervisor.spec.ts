import { expect } from 'chai'
import { registrationOf, SupervisorFixture, worker } from './supervisorFixture'

describe('the supervisor of a worker', () => {
  it('reports its worker again until a complete list comes, as a leader drops words while it does not hear its quorum', () => {
    const fixture = new SupervisorFixture()
    fixture.supervisor.handle({ type: 'registered', registration: registrationOf() })
    fixture.link(1)
    const reports = fixture.sentOf('worker').length
    fixture.pass(1000)
    expect(fixture.sentOf('worker').length).to.equal(reports + 1)
    fixture.tell({ type: 'orders', worker, orders: [], isComplete: true })
    fixture.pass(5000)
    expect(fixture.sentOf('worker').length).to.equal(reports + 1)
  })
})
