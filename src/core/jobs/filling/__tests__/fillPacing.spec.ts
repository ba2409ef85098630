import { expect } from 'chai'
import { FillPacing, type PairStanding, type ServingTask } from '../..'

const above = [{ image: 's', tailLatencyMs: 160, targetMs: 150 }]
const near = [{ image: 's', tailLatencyMs: 125, targetMs: 150 }]
const below = [{ image: 's', tailLatencyMs: 60, targetMs: 150 }]

/** The percent of an image after each of the samples. */
function percents (samples: ReadonlyArray<readonly ServingTask[]>, standing: PairStanding, pacing = new FillPacing()): readonly number[] {
  return samples.map(serving => {
    pacing.observe(serving, new Set(['f']), () => standing)
    return pacing.percentOf('f')
  })
}

describe('the pacing of filling tasks', () => {
  it('halts them before a serving task was above its target for four samples', () => {
    const [first, , third] = percents([above, above, above], 'unknown')
    expect([first, third]).to.deep.equal([100, 0])
  })

  it('ignores a single sample above the target, as load also varies by itself', () => {
    expect(percents([above, below, above, below], 'unknown')).to.deep.equal([100, 100, 100, 100])
  })

  it('speeds them up in steps once the serving tasks are below their targets', () => {
    expect(percents([above, above, above, below, below, below, below], 'unknown').slice(3)).to.deep.equal([25, 50, 75, 100])
  })

  it('keeps them at full speed on a worker without serving tasks', () => {
    expect(percents([[]], 'pressing')).to.deep.equal([100])
  })

  it('slows down an image that certainly presses before the target is exceeded, and halts it at the first sample above', () => {
    expect(percents([near, above, near, below], 'pressing')).to.deep.equal([50, 0, 0, 25])
  })

  it('keeps a harmless image at full speed while a pressing one is halted', () => {
    const pacing = new FillPacing()
    for (const serving of [above, above, above]) {
      pacing.observe(serving, new Set(['light', 'heavy']), (_serving, filling) => filling === 'heavy' ? 'pressing' : 'harmless')
    }
    expect([pacing.percentOf('light'), pacing.percentOf('heavy')]).to.deep.equal([100, 0])
  })

  it('halts also harmless images, and those that come meanwhile, when a serving task stays above its target', () => {
    const pacing = new FillPacing()
    expect(percents([above, above, above, above], 'harmless', pacing)).to.deep.equal([100, 100, 100, 0])
    expect(pacing.percentOf('new')).to.equal(0)
    expect(percents([below, below], 'harmless', pacing)).to.deep.equal([25, 50])
  })
})
