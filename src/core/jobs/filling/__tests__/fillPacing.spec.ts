import { expect } from 'chai'
import { FillPacing, type FillingImage, type ServingTask } from '../..'
import { loadAt } from '../pressureModel'

const targetMs = 18
const idleMs = 0.2 * targetMs
const sampleMs = 500
const above: readonly ServingTask[] = [{ image: 's', tailLatencyMs: 1.1 * targetMs, targetMs }]
const below: readonly ServingTask[] = [{ image: 's', tailLatencyMs: 0.4 * targetMs, targetMs }]

function servingAt (load: number): readonly ServingTask[] {
  return [{ image: 's', tailLatencyMs: idleMs / (1 - Math.min(0.99, load)), targetMs }]
}

/** The own load of a serving task, which swings by half with a period of 10 s. */
function ownLoadAt (now: number): number { return 0.42 + 0.21 * Math.sin(2 * Math.PI * now / 10_000) }

/** Share of the worker that three filling tasks use at full speed. */
const fullShare = 0.27

interface Run {
  /** Share of their full speed that the filling tasks had on average. */
  readonly progress: number
  /** The share that would have kept the serving task exactly at its target. */
  readonly possible: number
  /** The most consecutive samples with the serving task above its target. */
  readonly longestAbove: number
}

/** Runs filling tasks beside a serving one for 30 s, with the pressure that it has and the one that is believed. */
function run (weight: number, believed = weight): Run {
  const pacing = new FillPacing()
  let [usedShare, sum, possible, samples, aboveNow, longestAbove] = [fullShare, 0, 0, 0, 0, 0]
  for (let now = 0; now < 30_000; now += sampleMs) {
    const load = ownLoadAt(now) + weight * usedShare
    aboveNow = load > loadAt(1) ? aboveNow + 1 : 0
    longestAbove = Math.max(longestAbove, aboveNow)
    pacing.observe(servingAt(load), [{ image: 'f', usedShare, fullShare }], () => ({ mean: believed, deviation: 0.1 }))
    usedShare = fullShare * pacing.percentOf('f') / 100
    sum += pacing.percentOf('f')
    possible += Math.min(1, (loadAt(1) - ownLoadAt(now)) / (weight * fullShare))
    samples += 1
  }
  return { progress: sum / samples / 100, possible: possible / samples, longestAbove }
}

describe('the pacing of filling tasks', () => {
  it('lets a pressing image use what the swinging load of a serving task leaves, without keeping that above its target', () => {
    const { progress, possible, longestAbove } = run(2.5)
    expect(progress).to.be.above(0.75 * possible)
    expect(longestAbove).to.be.below(4)
  })

  it('keeps serving tasks below their targets for most of the time also when it believes half or twice of the true pressure', () => {
    for (const believed of [1.25, 5]) expect(run(2.5, believed).longestAbove, `believed ${believed}`).to.be.below(4)
  })

  it('keeps a harmless image at full speed', () => {
    expect(run(0)).to.include({ progress: 1, longestAbove: 0 })
  })

  it('keeps them at full speed on a worker without serving tasks, and before anything is measured', () => {
    const pacing = new FillPacing()
    expect(pacing.percentOf('f')).to.equal(100)
    pacing.observe([], [{ image: 'f', usedShare: 0.5, fullShare: 0.5 }], () => ({ mean: 3, deviation: 0 }))
    expect(pacing.percentOf('f')).to.equal(100)
  })

  it('gives what is left to the images that press least', () => {
    const pacing = new FillPacing()
    const weights: Readonly<Record<string, number>> = { light: 0.5, heavy: 3 }
    const filling: readonly FillingImage[] = ['heavy', 'light'].map(image => ({ image, usedShare: 0, fullShare: 0.2 }))
    pacing.observe(servingAt(0.6), filling, (_serving, image) => ({ mean: weights[image] ?? 0, deviation: 0 }))
    expect(pacing.percentOf('light')).to.equal(100)
    expect(pacing.percentOf('heavy')).to.be.within(1, 20)
  })

  it('halts also harmless images, and those that come meanwhile, when a serving task stays above its target', () => {
    const pacing = new FillPacing()
    const percents = [above, above, above, above].map(serving => {
      pacing.observe(serving, [{ image: 'f', usedShare: 0.1, fullShare: 0.1 }], () => ({ mean: 0, deviation: 0.1 }))
      return pacing.percentOf('f')
    })
    expect(percents).to.deep.equal([100, 100, 100, 0])
    expect(pacing.percentOf('new')).to.equal(0)
    pacing.observe(below, [{ image: 'f', usedShare: 0, fullShare: 0.1 }], () => ({ mean: 0, deviation: 0.1 }))
    expect([pacing.percentOf('f'), pacing.percentOf('new')]).to.deep.equal([100, 100])
  })
})
