import { expect } from 'chai'
import { JobBook, JobScheduler } from '../../../core/jobs'
import { jobIdOf, queueOf, stepOf, submissionOf } from '../../../core/jobs/__tests__/fixtures'
import { registrationOf, SupervisorFixture } from './supervisorFixture'

const intervalMs = 1500
const tickMs = 50

/** A leader that follows the reports of an agent, whose worker lists one long-running run. */
class Following {
  readonly fixture = new SupervisorFixture()
  private readonly scheduler = new JobScheduler({
    leases: { durationMs: 60_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })

  private taken = 0
  private now = 0

  constructor () {
    this.fixture.connect()
    this.scheduler.begin(new JobBook(), 0)
    this.follow()
    this.scheduler.accept(submissionOf(1, [stepOf({ isLongRunning: true })]), queueOf({ pool: registrationOf().pool }), 0)
    this.scheduler.plan({ now: 0, wallClock: 0 })
    this.scheduler.look({ worker: 'agent-1/w@1', clockMs: 1000, running: [{ task: `${jobIdOf(1)}.0.0.0`, run: 1, checkpoint: '', percent: 100 }], ends: [] }, { now: 0, wallClock: 0 })
  }

  /** A heartbeat arrives; its clock is that of the worker. */
  hear (sequence: number, remainingMs?: number): void {
    this.fixture.hear({ sequence, clockMs: 1000 + this.now, isDraining: remainingMs !== undefined, remainingMs })
    this.follow()
  }

  /** Lets time pass; returns after how many milliseconds the run was stopped, undefined if it was not. */
  stoppedWithin (ms: number): number | undefined {
    const began = this.now
    while (this.now < began + ms) {
      this.now += tickMs
      this.fixture.advance(tickMs)
      this.follow()
      this.scheduler.review({ now: this.now, wallClock: this.now })
      if (this.scheduler.takeStops().length > 0) return this.now - began
    }
    return undefined
  }

  /** Whether the leader was told to start nothing more. */
  get isDraining (): boolean | undefined { return this.fixture.sentOf('worker').at(-1)?.report.isDraining }

  private follow (): void {
    const reports = this.fixture.sentOf('worker')
    for (const { report } of reports.slice(this.taken)) this.scheduler.reportWorker('agent-1', report, this.now)
    this.taken = reports.length
  }
}

describe('a draining heartbeat of another sender', () => {
  it('stops no long-running run of a sound worker whose next heartbeat contradicts it, however often', () => {
    const leader = new Following()
    for (let sequence = 2; sequence < 20; sequence += 2) {
      leader.hear(sequence, 4000)
      expect(leader.isDraining, 'no new starts').to.equal(true)
      expect(leader.stoppedWithin(intervalMs)).to.equal(undefined)
      leader.hear(sequence + 1)
      expect(leader.stoppedWithin(50)).to.equal(undefined)
    }
  })

  it('stops none by two in a row', () => {
    const leader = new Following()
    leader.hear(2, 4000)
    expect(leader.stoppedWithin(50)).to.equal(undefined)
    leader.hear(3, 4000)
    expect(leader.stoppedWithin(intervalMs - 50)).to.equal(undefined)
    leader.hear(4)
    expect(leader.stoppedWithin(6000)).to.equal(undefined)
  })
})

describe('a worker that drains', () => {
  it('loses its long-running runs as soon as it could have contradicted, and early enough to stop them', () => {
    for (const [remainingMs, movedMs] of [[20_000, 1800], [4000, 1800], [2500, 1300], [2000, 800], [1500, 300], [1200, tickMs], [0, tickMs]] as const) {
      const leader = new Following()
      leader.hear(2, remainingMs)
      expect(leader.stoppedWithin(1900), String(remainingMs)).to.equal(movedMs)
    }
  })
})
