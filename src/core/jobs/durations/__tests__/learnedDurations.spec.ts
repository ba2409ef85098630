import { expect } from 'chai'
import { queueOf, stepOf } from '../../__tests__/fixtures'
import { LearnedDurations } from '..'

const job = { queue: queueOf() }

/** Learns from steps that declare the first duration of a pair and take the second one, in milliseconds. */
function learn (pairs: ReadonlyArray<readonly [number, number]>): LearnedDurations {
  const durations = new LearnedDurations()
  for (const [estimateMs, durationMs] of pairs) {
    for (let task = 0; task < 4; task += 1) durations.observe(job, stepOf({ estimateMs, count: 4 }), durationMs)
  }
  return durations
}

function repeat<Item> (count: number, items: readonly Item[]): readonly Item[] {
  return Array.from({ length: count }, () => items).flat()
}

describe('the expected duration of tasks', () => {
  it('is the declared one before anything is learned, and for a queue of which nothing is known', () => {
    const durations = learn(repeat(10, [[1000, 4000]]))
    expect(new LearnedDurations().ofStep(job, stepOf({ estimateMs: 700 }))).to.equal(700)
    expect(durations.ofStep({ queue: queueOf({ name: 'other' }) }, stepOf({ estimateMs: 700 }))).to.equal(700)
  })

  it('follows declarations that are right, or off by the same factor', () => {
    expect(learn(repeat(10, [[500, 500], [8000, 8000]])).ofStep(job, stepOf({ estimateMs: 2000 }))).to.be.closeTo(2000, 1)
    expect(learn(repeat(40, [[500, 1000], [8000, 16_000]])).ofStep(job, stepOf({ estimateMs: 2000 }))).to.be.within(3600, 4000)
  })

  it('is close to the usual duration where declarations are off by factors in both directions', () => {
    const durations = learn(repeat(10, [[500, 3000], [3000, 3000], [18_000, 3000]]))
    for (const estimateMs of [500, 3000, 18_000]) expect(durations.ofStep(job, stepOf({ estimateMs }))).to.be.within(2200, 4100)
  })

  it('counts the tasks of a step as one observation, so that one wide step decides nothing', () => {
    const durations = learn(repeat(10, [[1000, 1000]]))
    for (let task = 0; task < 100; task += 1) durations.observe(job, stepOf({ estimateMs: 1000, count: 100 }), 50_000)
    expect(durations.ofStep(job, stepOf({ estimateMs: 1000 }))).to.be.below(1500)
  })

  it('ignores durations that say nothing', () => {
    const durations = learn([[0, 1000], [1000, 0], [1000, Number.NaN], [1000, Number.POSITIVE_INFINITY]])
    expect(durations.ofStep(job, stepOf({ estimateMs: 1000 }))).to.equal(1000)
  })
})
