import { expect } from 'chai'
import type { ImagePressure } from '../../../core/jobs'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { LeaderFixture, type RecordedSession } from './leaderFixture'

const worker = 'agent-1/w@1'
const task = `${jobIdOf(1)}.0.0.0`

/** The tasks of the newest complete list of orders received on a stream. */
function listedOn (session: RecordedSession): readonly string[] {
  const lists = session.received.flatMap(message => message.type === 'orders' && message.isComplete ? [message.orders.map(order => order.task)] : [])
  return lists.at(-1) ?? []
}

describe('the job leader', () => {
  it('ignores a message on an older stream of an agent that a run is over, as the run may have been started since', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const older = fixture.connect('agent-1')
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', run: 1, worker })
    const newer = fixture.connect('agent-1')
    expect(listedOn(newer)).to.deep.equal([task])
    for (const message of [{ type: 'absent', task, run: 1, reason: 'noRoom' }, { type: 'ended', reason: 'not listening' }] as const) {
      fixture.handle({ ...message, session: older, worker })
    }
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', run: 1, worker })
  })

  it('assigns nothing to a boot that a late report names and lists as ended, even if a new leader does not know that it has ended', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const session = fixture.connect('agent', { formerBoots: [{ worker: 'agent/w@1', ends: [] }] })
    fixture.commit()
    expect(session.received).to.deep.equal([])
    expect([...fixture.committed.workersWithRuns()]).to.deep.equal([])
  })

  it('stops serving when it hears no quorum, so that callers and agents look for the next leader even while its disk hangs', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    fixture.connect('agent-1')
    fixture.hearsQuorum = false
    fixture.handle({ type: 'tick' })
    expect(fixture.leader.isServing).to.equal(false)
    fixture.hearsQuorum = true
    expect(fixture.leader.isServing).to.equal(true)
    expect(listedOn(fixture.connect('agent-1'))).to.deep.equal([])
  })

  it('sends an agent only the learned pressures of the serving images at its worker', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const [serving, other] = ['a', 'b'].map(servingImage => ({ servingImage, fillingImage: 'f', mean: 1, deviation: 0.1 }))
    fixture.committed.apply({ type: 'learnPressures', pressures: [serving, other] as ImagePressure[] })
    fixture.committed.apply({ type: 'acceptJob', submission: submissionOf(2, [stepOf({ isLongRunning: true, targetMs: 100, image: 'a' })]), queue: queueOf(), at: 0 })
    fixture.handle({ type: 'follow' })
    fixture.handle({ type: 'lead', term: 2 })
    const session = fixture.connect('agent-1')
    const told = (): readonly unknown[] => session.received.flatMap(message => message.type === 'pressures' ? message.pressures : [])
    expect(told()).to.deep.equal([])
    fixture.commit()
    expect(told()).to.deep.equal([serving])
  })

  it('keeps a worker connected when an older stream of its agent ends late', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const older = fixture.connect('agent-1', { capacity: { processors: 0, memoryMb: 0, accelerators: 0 } })
    const newer = { agent: 'agent-1', number: older.number + 1, send: () => {} }
    fixture.leader.handleBatch([{ type: 'worker', session: newer, report: reportOf(worker) }, { type: 'agentLost', session: older, isSilent: false }])
    fixture.commit()
    expect(fixture.committed.task(task)).to.include({ state: 'live', worker })
  })

  it('confirms the release of a run that was given back only once the release is committed', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const session = fixture.connect('agent-1')
    fixture.commit()
    fixture.handle({ type: 'absent', session, worker, task, run: 1, reason: 'noRoom' })
    const confirmed = (): boolean => session.received.some(message => message.type === 'released' && message.task === task && message.run === 1)
    expect(confirmed()).to.equal(false)
    fixture.commit()
    expect(confirmed()).to.equal(true)
  })

  it('does not order a run again whose release has been decided but not committed', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const session = fixture.connect('agent-1')
    fixture.commit()
    fixture.connect('agent-2', { capacity: { processors: 4, memoryMb: 10_000, accelerators: 0 } })
    fixture.handle({ type: 'absent', session, worker, task, run: 1, reason: 'noRoom' })
    expect(listedOn(fixture.connect('agent-1'))).to.deep.equal([])
  })

  it('acknowledges no end that no committed operation records, even if a proposal failed while it continues to lead', () => {
    const fixture = new LeaderFixture()
    fixture.lead()
    const session = fixture.connect('agent-1')
    fixture.commit()
    const look = { type: 'look', session, look: { worker, clockMs: 6000, running: [], ends: [{ sequence: 1, task, run: 1, end: 'done', checkpoint: '' }] } } as const
    fixture.acceptsProposals = false
    fixture.handle(look)
    fixture.acceptsProposals = true
    fixture.handle(look)
    fixture.commit()
    expect(fixture.committed.task(task)?.state).to.equal('live')
    expect(session.received.filter(message => message.type === 'acknowledged')).to.deep.equal([])
  })
})
