import { expect } from 'chai'
import { JobBook, JobScheduler } from '../..'
import { UsualRates } from '..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from '../../__tests__/fixtures'

const capacity = { processors: 64, memoryMb: 100_000, accelerators: 0 }
const job = { queue: queueOf() }

/** Learns from tasks whose durations are the declared one times each factor. */
function learned (factors: readonly number[]): UsualRates {
  const rates = new UsualRates()
  for (const factor of factors) rates.observe(job, stepOf({ estimateMs: 2000 }), 100 / (2000 * factor))
  return rates
}

describe('the usual rates of tasks', () => {
  it('are unknown before eight tasks of the queue and image have ended', () => {
    const factors = [1, 1, 1, 1, 1, 1, 1]
    expect(learned(factors).rateOf(job, stepOf({ estimateMs: 2000 }))).to.equal(undefined)
    const rates = learned([...factors, 1])
    expect(rates.rateOf(job, stepOf({ estimateMs: 1000 }))?.rate).to.be.closeTo(0.1, 1e-9)
    expect(rates.rateOf(job, stepOf({ estimateMs: 1000, image: 'other' }))).to.equal(undefined)
    expect(rates.rateOf({ queue: queueOf({ name: 'other' }) }, stepOf({ estimateMs: 1000 }))).to.equal(undefined)
  })

  it('tell by which factor tasks deviate from the declared rate', () => {
    const found = learned(Array.from({ length: 40 }, (_, index) => index % 2 === 0 ? 0.5 : 2)).rateOf(job, stepOf({ estimateMs: 1000 }))
    expect(found?.rate).to.be.closeTo(0.1, 0.02)
    expect(found?.spread).to.be.closeTo(2, 0.2)
  })

  it('are unknown for tasks that are paced, never end or declare no duration', () => {
    const rates = new UsualRates()
    for (const step of [stepOf({ isFilling: true }), stepOf({ isLongRunning: true }), stepOf({ estimateMs: 0 })]) {
      for (let count = 0; count < 10; count += 1) rates.observe(job, step, 0.1)
      expect(rates.rateOf(job, step)).to.equal(undefined)
    }
  })
})

describe('the review of runs with few peers', () => {
  /** Stop reasons of the runs of the first job, which advance by the given percents in a second, after ten tasks of the queue ended with their declared duration. */
  function stopsOf (packsJobs: boolean, percents: readonly number[]): readonly string[] {
    const scheduler = new JobScheduler({
      leases: { durationMs: 60_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
      health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 },
      packsJobs
    })
    scheduler.begin(new JobBook(), 0)
    scheduler.reportWorker('agent', reportOf('w1', { capacity }), 0)
    const nameOf = (number: number, index: number): string => `${jobIdOf(number)}.0.0.${index}`
    const listed = (number: number, found: readonly number[]) => found.map((percent, index) => ({ task: nameOf(number, index), run: 1, checkpoint: '', percent }))
    const ten = Array.from({ length: 10 }, (_, index) => index)
    // An unproven worker is assigned at most eight runs in a plan, so ten tasks need two plans.
    scheduler.accept(submissionOf(2, [stepOf({ count: 10 })]), queueOf(), 0)
    for (const now of [0, 10]) scheduler.plan({ now, wallClock: now })
    scheduler.look({ worker: 'w1', clockMs: 5100, running: listed(2, ten.map(() => 0)), ends: [] }, { now: 100, wallClock: 100 })
    const ends = ten.map(index => ({ sequence: index + 1, task: nameOf(2, index), run: 1, end: 'done' as const, checkpoint: '' }))
    scheduler.look({ worker: 'w1', clockMs: 6100, running: [], ends }, { now: 1100, wallClock: 1100 })
    scheduler.accept(submissionOf(1, [stepOf({ count: percents.length })]), queueOf(), 1200)
    scheduler.plan({ now: 1200, wallClock: 1200 })
    scheduler.look({ worker: 'w1', clockMs: 6300, running: listed(1, percents.map(() => 0)), ends: [] }, { now: 1300, wallClock: 1300 })
    scheduler.look({ worker: 'w1', clockMs: 7300, running: listed(1, percents), ends: [] }, { now: 2300, wallClock: 2300 })
    scheduler.review({ now: 2300, wallClock: 2300 })
    return scheduler.takeStops().map(({ reason }) => reason)
  }

  it('detects a straggler by the usual rate of its queue and image if packing is enabled', () => {
    expect(stopsOf(true, [10])).to.deep.equal(['straggler'])
    expect(stopsOf(false, [10])).to.deep.equal([])
  })

  it('detects stragglers that are all on the same slow worker, where their median is no reference', () => {
    expect(stopsOf(true, [10, 11, 10, 12])).to.deep.equal(['straggler', 'straggler', 'straggler', 'straggler'])
  })

  it('does not stop runs that are slower than declared by no more than declarations usually deviate', () => {
    expect(stopsOf(true, [40])).to.deep.equal([])
  })
})
