import { expect } from 'chai'
import { jobIdOf, reportOf } from '../../../core/jobs/__tests__/fixtures'
import { LeaderFixture, type RecordedSession } from './leaderFixture'

const task = `${jobIdOf(1)}.0.0.0`
const first = 'agent-1/w@1'
const leases = { durationMs: 6000, maximumDrift: 0.02, formerLeaderMs: 2200, suspensionMs: 10_000 }

/** A leader whose task runs at the first of two workers; only the second is heard from then on. */
class SilentWorker extends LeaderFixture {
  readonly stream: RecordedSession
  private readonly other: RecordedSession

  constructor () {
    super({ leases })
    this.lead()
    this.stream = this.connect('agent-1')
    this.commit()
    this.other = this.connect('agent-2')
    // What a former leader may have granted has ended then.
    this.pass(9000)
    this.list()
  }

  /** The worker that the task is assigned to. */
  get worker (): string | undefined { return this.committed.task(task)?.worker }

  pass (ms: number): void {
    for (let elapsed = 0; elapsed < ms; elapsed += 250) {
      this.advance(250)
      this.handle({ type: 'worker', session: this.other, report: reportOf('agent-2/w@1') })
      this.commit()
    }
  }

  lose (isSilent: boolean): void { this.handle({ type: 'agentLost', session: this.stream, isSilent }) }

  /** The worker lists its run. */
  list (session = this.stream): void {
    this.handle({ type: 'look', session, look: { worker: first, clockMs: 5000, running: [{ task, run: 1, checkpoint: '', percent: 10 }], ends: [] } })
    this.commit()
  }
}

describe('a worker that may be suspended, whose lease does not end meanwhile', () => {
  it('keeps its run if it is heard again after 7 s', () => {
    const fixture = new SilentWorker()
    fixture.pass(1000)
    fixture.lose(true)
    fixture.pass(6000)
    expect(fixture.worker).to.equal(first)
    const session = fixture.connect('agent-1')
    fixture.list(session)
    fixture.pass(2000)
    expect(fixture.committed.task(task)).to.include({ worker: first, run: 1 })
  })

  it('loses its run 10 s after its last report, so that the task runs again', () => {
    const fixture = new SilentWorker()
    fixture.pass(1000)
    fixture.lose(true)
    fixture.pass(9000)
    expect(fixture.worker).to.equal(first)
    fixture.pass(750)
    expect(fixture.worker).to.equal('agent-2/w@1')
  })

  it('loses its run at the end of its lease if its VM has closed the connection, and so was not suspended', () => {
    const fixture = new SilentWorker()
    fixture.pass(1000)
    fixture.lose(false)
    fixture.pass(5000)
    expect(fixture.worker).to.equal(first)
    fixture.pass(750)
    expect(fixture.worker).to.equal('agent-2/w@1')
  })

  it('loses its run at once if its VM says that no worker runs there', () => {
    const fixture = new SilentWorker()
    fixture.lose(true)
    const session: RecordedSession = { agent: 'agent-1', number: 99, received: [], send: () => {} }
    fixture.handle({ type: 'vacant', session, formerBoots: [] })
    fixture.pass(500)
    expect(fixture.worker).to.equal('agent-2/w@1')
  })

  it('keeps its run for as long under a leader that has not heard it', () => {
    const fixture = new SilentWorker()
    fixture.handle({ type: 'follow' })
    fixture.handle({ type: 'lead', term: 2 })
    fixture.pass(12_000)
    expect(fixture.worker).to.equal(first)
    fixture.pass(750)
    expect(fixture.worker).to.equal('agent-2/w@1')
  })
})
