import { expect } from 'chai'
import { JobBook, JobScheduler, type RunningTask, type Step, type WorkerLook } from '../..'
import { jobIdOf, queueOf, reportOf, stepOf, submissionOf } from '../../__tests__/fixtures'

const capacity = { processors: 64, memoryMb: 100_000, accelerators: 0 }

function createScheduler (): JobScheduler {
  const scheduler = new JobScheduler({
    leases: { durationMs: 60_000, maximumDrift: 0.02, formerLeaderMs: 1000 },
    health: { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 }
  })
  scheduler.begin(new JobBook(), 0)
  return scheduler
}

function nameOf (index: number): string {
  return `${jobIdOf(1)}.0.0.${index}`
}

function runningOf (index: number, percent: number): RunningTask {
  return { task: nameOf(index), run: 1, checkpoint: '', percent, tailLatencyMs: 0, usedProcessors: 0 }
}

/** Creates a scheduler with one job on one worker, which lists the given percents at each time. */
function watch (steps: readonly Step[], percentsAt: ReadonlyArray<readonly [now: number, percents: readonly number[]]>, remainingMs?: number): JobScheduler {
  const scheduler = createScheduler()
  scheduler.reportWorker('agent', reportOf('w1', { capacity }), 0)
  scheduler.accept(submissionOf(1, steps), queueOf(), 0)
  scheduler.plan({ now: 10, wallClock: 10 })
  for (const [now, percents] of percentsAt) {
    scheduler.look({ worker: 'w1', clockMs: 5000 + now, running: percents.map((percent, index) => runningOf(index, percent)), ends: [] }, { now, wallClock: now })
    if (remainingMs !== undefined) scheduler.reportWorker('agent', reportOf('w1', { capacity, isDraining: true, remainingMs }), now)
    scheduler.review({ now, wallClock: now })
  }
  return scheduler
}

function stopsOf (scheduler: JobScheduler): ReadonlyArray<readonly [task: string, reason: string]> {
  return scheduler.takeStops().map(({ task, reason }) => [task, reason])
}

describe('the review of runs', () => {
  it('stops a stalled run once', () => {
    const scheduler = watch([stepOf()], [[100, [20]], [3000, [20]], [3200, [20]], [3400, [20]]])
    expect(stopsOf(scheduler)).to.deep.equal([[nameOf(0), 'stalled']])
  })

  it('does not stop a run whose worker was paused or unreachable for longer than a stall, because no stall was observed', () => {
    const scheduler = watch([stepOf()], [[100, [20]], [900, [30]], [4500, [30]], [4700, [30]], [5700, [40]]])
    expect(stopsOf(scheduler)).to.deep.equal([])
    const hung = watch([stepOf()], [[100, [20]], [900, [30]], [4500, [30]], [6000, [30]], [7400, [30]], [7700, [30]]])
    expect(stopsOf(hung)).to.deep.equal([[nameOf(0), 'stalled']])
  })

  it('does not stop the runs of a paused worker although their siblings made progress in the meantime', () => {
    const scheduler = watch([stepOf({ count: 4, estimateMs: 20_000 })], [])
    const look = (now: number, worker: string, percents: ReadonlyArray<readonly [number, number]>): void => {
      scheduler.look({ worker, clockMs: 5000 + now, running: percents.map(([index, percent]) => runningOf(index, percent)), ends: [] }, { now, wallClock: now })
      scheduler.review({ now, wallClock: now })
    }
    // Each run advances by 1 % in 200 ms; the fourth is paused from 600 ms on and listed again at 8600 ms.
    for (let now = 100; now <= 8600; now += 500) {
      const isPaused = now > 600 && now < 8600
      const percent = (now - 100) / 200
      const listed = [0, 1, 2].map(index => [index, percent] as const)
      look(now, 'w1', isPaused ? listed : [...listed, [3, Math.min(2.5, percent)]])
    }
    expect(stopsOf(scheduler)).to.deep.equal([])
  })

  it('does not stop a run that makes slow progress', () => {
    const scheduler = watch([stepOf()], [[100, [20]], [2500, [21]], [5000, [22]], [7400, [23]]])
    expect(stopsOf(scheduler)).to.deep.equal([])
  })

  it('does not stop a long-running task that is at work, and stops one that never gets to work', () => {
    const longRunning = [stepOf({ isLongRunning: true })]
    expect(stopsOf(watch(longRunning, [[100, [100]], [9000, [100]]]))).to.deep.equal([])
    expect(stopsOf(watch(longRunning, [[100, [30]], [3000, [30]], [6000, [30]], [9000, [30]]]))).to.deep.equal([[nameOf(0), 'stalled']])
  })

  it('never stops a long-running task that is at work on a worker that does not drain, regardless of its siblings and of other tasks on the worker', () => {
    const steps = [stepOf({ count: 4, isLongRunning: true, targetMs: 100, image: 's', maximumUnavailable: 1 })]
    const scheduler = watch(steps, [[100, [100, 100, 100, 0]], [3200, [100, 100, 100, 20]], [6000, [100, 100, 100, 20]], [9000, [100, 100, 100, 20]]])
    scheduler.accept(submissionOf(2, [stepOf({ count: 200, processors: 8, isFilling: true, isCheckpointed: true, image: 'f' })]), queueOf({ priority: 0 }), 9000)
    scheduler.accept(submissionOf(3, [stepOf({ processors: 64, isLongRunning: true })]), queueOf({ priority: 0 }), 9000)
    for (const now of [9100, 11_000, 14_000]) scheduler.plan({ now, wallClock: now })
    expect(stopsOf(scheduler).filter(([task]) => task.startsWith(jobIdOf(1)))).to.deep.equal([[nameOf(3), 'stalled']])
  })

  it('stops a run that is much slower than its siblings', () => {
    const scheduler = watch([stepOf({ count: 4 })], [[100, [0, 0, 0, 0]], [1100, [40, 42, 38, 4]]])
    expect(stopsOf(scheduler)).to.deep.equal([[nameOf(3), 'straggler']])
  })

  it('restarts a slow task once, as one that is as slow again is slow by itself and would never end', () => {
    const scheduler = watch([stepOf({ count: 4, estimateMs: 20_000 })], [[100, [0, 0, 0, 0]], [1100, [10, 11, 9, 1]]])
    expect(stopsOf(scheduler)).to.deep.equal([[nameOf(3), 'straggler']])
    const look = (now: number, run: number, percents: readonly number[], ends: WorkerLook['ends'] = []): void => {
      const running = percents.map((percent, index) => ({ ...runningOf(index, percent), run: index === 3 ? run : 1 }))
      scheduler.look({ worker: 'w1', clockMs: 5000 + now, running, ends }, { now, wallClock: now })
      scheduler.plan({ now, wallClock: now })
      scheduler.review({ now, wallClock: now })
    }
    look(1300, 1, [12, 13, 11], [{ sequence: 1, task: nameOf(3), run: 1, end: 'stopped', checkpoint: '' }])
    for (let now = 1500; now <= 5500; now += 500) look(now, 2, [now / 100, now / 100, now / 100, (now - 1500) / 1000])
    expect(stopsOf(scheduler)).to.deep.equal([])
  })

  it('does not stop a slow run that is nearly done', () => {
    const scheduler = watch([stepOf({ count: 4 })], [[100, [0, 0, 0, 94]], [1100, [40, 42, 38, 98]]])
    expect(stopsOf(scheduler)).to.deep.equal([])
  })

  it('moves long-running tasks off a draining worker at once', () => {
    const scheduler = watch([stepOf({ isLongRunning: true })], [[100, [100]]], 20_000)
    expect(stopsOf(scheduler)).to.deep.equal([[nameOf(0), 'draining']])
  })

  it('moves runs that do not end before a draining worker leaves, and lets the others end', () => {
    const scheduler = watch([stepOf({ count: 2 })], [[100, [0, 50]], [1100, [10, 90]]], 4000)
    expect(stopsOf(scheduler)).to.deep.equal([[nameOf(0), 'draining']])
  })
})
