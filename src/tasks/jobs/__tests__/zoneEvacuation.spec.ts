import { expect } from 'chai'
import type { CallerAnswer } from '../../../core/jobs'
import { jobIdOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import type { EvacuationChange, EvacuationOutcome } from '../leaderMessage'
import { LeaderFixture, type RecordedSession } from './leaderFixture'
import { orderOf, runningOf, SupervisorFixture, task as heldTask, worker as heldWorker } from './supervisorFixture'

const worker = 'agent-1/w@1'
const task = `${jobIdOf(1)}.0.0.0`

/** Sends an operator's evacuation order for zone `a`, and collects its outcomes. */
function order (fixture: LeaderFixture, change: EvacuationChange, outcomes: EvacuationOutcome[] = []): EvacuationOutcome[] {
  fixture.handle({ type: 'evacuation', zone: 'a', change, reply: outcome => outcomes.push(outcome) })
  return outcomes
}

/** The messages of the leader on a stream, in order: for `starts` whether they are allowed, otherwise the type. */
function describeMessages ({ received }: RecordedSession): readonly (string | boolean)[] {
  return received.map(message => message.type === 'starts' ? message.areAllowed : message.type)
}

describe('a job leader with an evacuated zone', () => {
  it('refuses a job that only workers of the zone could run, with a delay for the retry', () => {
    const fixture = new LeaderFixture()
    fixture.committed.apply({ type: 'startEvacuation', zone: 'a', at: 0 })
    fixture.lead()
    fixture.connect('agent-1')
    fixture.advance(3100)
    const answers: CallerAnswer[] = []
    fixture.handle({ type: 'call', call: { type: 'submit', host: 'a.example', path: `/plans/${jobIdOf(7)}`, submission: submissionOf(7) }, reply: answer => answers.push(answer) })
    expect(answers).to.deep.equal([{ type: 'refused', reason: 'evacuated', retryAfterMs: 10_000 }])
  })

  it('keeps the zone evacuated when it takes over after the commit, and tells the agents before it sends their lists', () => {
    const fixture = new LeaderFixture()
    fixture.committed.apply({ type: 'startEvacuation', zone: 'a', at: 0 })
    fixture.lead()
    const [closed, open] = [fixture.connect('agent-1'), fixture.connect('agent-2', { zone: 'b' })]
    expect([closed, open].map(describeMessages)).to.deep.equal([[false, 'lease', 'orders'], [true, 'lease', 'orders']])
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', worker: 'agent-2/w@1' })
  })

  it('acknowledges an order only once it is committed, and then tells the agents of the zone', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const [closed, open] = [fixture.connect('agent-1'), fixture.connect('agent-2', { zone: 'b' })]
    fixture.commit()
    const before = [closed, open].map(session => session.received.length)
    const outcomes = order(fixture, 'start')
    expect([closed, open].map(session => session.received.length)).to.deep.equal(before)
    expect(outcomes).to.deep.equal([])
    fixture.commit()
    expect(outcomes).to.deep.equal(['committed'])
    expect([describeMessages(closed).at(-1), describeMessages(open).filter(said => said === false)]).to.deep.equal([false, []])
  })

  it('acknowledges a repeated order or one whose answer was lost again, and counts it as no change', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    for (const change of ['start', 'start', 'end', 'end'] as const) {
      const outcomes = order(fixture, change)
      fixture.commit()
      expect(outcomes, change).to.deep.equal(['committed'])
    }
    const counted = fixture.counters.render().split('\n').filter(line => line.includes('evacuations_total'))
    expect(counted).to.deep.equal(['ended"} 1', 'none"} 2', 'started"} 1'].map(end => `heatherdrum_evacuations_total{change="${end}`))
  })

  it('does not acknowledge an order that was not committed, so that it is sent again', () => {
    const fixture = new LeaderFixture()
    expect(order(fixture, 'start')).to.deep.equal(['notLeading'])
    fixture.lead()
    fixture.acceptsProposals = false
    expect(order(fixture, 'start')).to.deep.equal(['unknown'])
    expect([...fixture.committed.evacuatedZones.keys()]).to.deep.equal([])
  })

  it('assigns a task elsewhere whose run was assigned in the zone and not sent to its worker', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const session = fixture.connect('agent-1')
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', run: 1, worker })
    fixture.connect('agent-2', { zone: 'b' })
    order(fixture, 'start')
    fixture.commit()
    fixture.handle({ type: 'absent', session, worker, task, run: 1, reason: 'noRoom' })
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', run: 2, worker: 'agent-2/w@1' })
  })

  it('reopens the zone immediately when the order is withdrawn, and tells its agents before it orders a run there', () => {
    const fixture = new LeaderFixture()
    fixture.committed.apply({ type: 'startEvacuation', zone: 'a', at: 0 })
    fixture.lead()
    const session = fixture.connect('agent-1')
    order(fixture, 'end')
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', worker })
    expect(describeMessages(session).slice(-2)).to.deep.equal([true, 'orders'])
  })
})

describe('a worker supervisor in an evacuated zone', () => {
  const forbid = (fixture: SupervisorFixture): void => fixture.tell({ type: 'starts', worker: heldWorker, areAllowed: false })
  const givenBack = (fixture: SupervisorFixture): readonly unknown[] => fixture.sentOf('absent').map(({ task, run, reason }) => [task, run, reason])

  it('gives back a run that it has not sent to its worker, and starts runs again once it may', () => {
    const fixture = new SupervisorFixture()
    fixture.connect()
    forbid(fixture)
    fixture.order(orderOf())
    expect([fixture.driver.orders, givenBack(fixture)]).to.deep.equal([[], [[heldTask, 1, 'noRoom']]])
    fixture.tell({ type: 'released', worker: heldWorker, task: heldTask, run: 1 })
    fixture.tell({ type: 'starts', worker: heldWorker, areAllowed: true })
    fixture.order(orderOf({ run: 2 }))
    expect(fixture.driver.takeOrder()).to.include({ kind: 'start', run: 2 })
  })

  it('does not stop a run that is already running', async () => {
    const fixture = new SupervisorFixture()
    await fixture.startFirstRun()
    forbid(fixture)
    fixture.advance(200)
    await fixture.driver.list([runningOf()])
    expect([fixture.driver.orders, givenBack(fixture)]).to.deep.equal([[], []])
  })

  /** Leaves the start of a run unanswered, then forbids starts. */
  async function loseStart (): Promise<SupervisorFixture> {
    const fixture = new SupervisorFixture()
    fixture.connect()
    await fixture.driver.list([])
    fixture.order(orderOf())
    await fixture.driver.takeOrder().answer({ type: 'unanswered' })
    forbid(fixture)
    fixture.advance(200)
    await fixture.driver.list([])
    fixture.advance(200)
    return fixture
  }

  it('does not repeat an unanswered start, and does not stop its run if a look finds it', async () => {
    const fixture = await loseStart()
    await fixture.driver.list([runningOf()])
    fixture.advance(200)
    expect([fixture.driver.orders, givenBack(fixture)]).to.deep.equal([[], []])
  })

  it('gives back a run with an unanswered start only once the worker has confirmed that it can not start', async () => {
    const fixture = await loseStart()
    expect(fixture.driver.orders, 'before a look that began later').to.deep.equal([])
    await fixture.driver.list([])
    fixture.advance(200)
    const stop = fixture.driver.takeOrder()
    expect(stop).to.include({ kind: 'stop', run: 1 })
    expect(givenBack(fixture)).to.deep.equal([])
    await stop.answer({ type: 'done' })
    while (fixture.driver.looks.length > 0 && givenBack(fixture).length === 0) await fixture.driver.list([])
    expect(givenBack(fixture)).to.deep.equal([[heldTask, 1, 'noRoom']])
  })

  it('starts nothing after its stream has ended, nor on the next stream before it is told whether it may', async () => {
    const fixture = new SupervisorFixture()
    fixture.connect()
    fixture.order(orderOf())
    await fixture.driver.takeOrder().answer({ type: 'refused', reason: 'late' })
    fixture.supervisor.handle({ type: 'linkLost' })
    fixture.advance(500)
    expect(fixture.driver.orders, 'without a stream').to.deep.equal([])
    fixture.openLink(2)
    fixture.advance(500)
    expect(fixture.driver.orders, 'before the list').to.deep.equal([])
    forbid(fixture)
    fixture.tell({ type: 'orders', worker: heldWorker, orders: [orderOf()], isComplete: true })
    fixture.advance(500)
    expect([fixture.driver.orders, givenBack(fixture)]).to.deep.equal([[], [[heldTask, 1, 'noRoom']]])
  })

  it('treats the complete list of a leader of an earlier version as permission to start, as such a leader knows no evacuations', () => {
    const fixture = new SupervisorFixture()
    fixture.connect()
    forbid(fixture)
    fixture.supervisor.handle({ type: 'linkLost' })
    fixture.openLink(2)
    fixture.tell({ type: 'orders', worker: heldWorker, orders: [], isComplete: true })
    fixture.order(orderOf())
    expect(fixture.driver.takeOrder()).to.include({ kind: 'start', run: 1 })
  })
})
