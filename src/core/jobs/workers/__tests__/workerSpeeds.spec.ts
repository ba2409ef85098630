import { expect } from 'chai'
import { WeightedSpeeds } from '..'

/** Placement avoids workers below this speed. */
const usualSpeed = 0.7

/** Speeds after `count` slow runs of one worker, all observed at 0. */
function afterSlowRuns (count: number): WeightedSpeeds {
  const speeds = new WeightedSpeeds()
  for (let number = 0; number < count; number += 1) speeds.observe({ worker: 'w', run: `r${number}`, speed: 0.2 }, 0)
  return speeds
}

describe('the weighted speeds of workers', () => {
  it('do not avoid a worker after one slow run, which may occur by chance', () => {
    expect(afterSlowRuns(1).speedOf('w', 0)).to.be.within(usualSpeed, 0.8)
    expect(afterSlowRuns(3).speedOf('w', 0)).to.be.below(usualSpeed)
  })

  it('avoid a worker after one straggler, whose task must not be placed there again', () => {
    const speeds = new WeightedSpeeds()
    speeds.observe({ worker: 'w', run: 'r', speed: 0.2, isStraggler: true }, 0)
    expect(speeds.speedOf('w', 5000)).to.be.below(usualSpeed)
  })

  it('count a run once, regardless of how often it is observed', () => {
    const speeds = new WeightedSpeeds()
    for (let now = 0; now <= 2000; now += 250) speeds.observe({ worker: 'w', run: 'r', speed: 0.2 }, now)
    expect(speeds.speedOf('w', 2000)).to.be.above(usualSpeed)
  })

  it('avoid a worker the longer the more often it was slow, and eventually try each worker again', () => {
    const avoidedMs = (count: number): number => {
      const speeds = afterSlowRuns(count)
      for (let now = 0; now < 120_000; now += 1000) if (speeds.speedOf('w', now) >= usualSpeed) return now
      return Number.POSITIVE_INFINITY
    }
    expect(avoidedMs(2)).to.be.below(10_000)
    expect(avoidedMs(6)).to.be.within(15_000, 25_000)
    expect(avoidedMs(16)).to.be.within(25_000, 60_000)
  })

  it('stop avoiding a worker once it runs as fast as others', () => {
    const speeds = afterSlowRuns(6)
    for (let number = 0; number < 16; number += 1) speeds.observe({ worker: 'w', run: `fast ${number}`, speed: 1 }, 5000)
    expect(speeds.speedOf('w', 5000)).to.equal(1)
  })
})
