import { expect } from 'chai'
import { FillPacing } from '..'

const above = [{ tailLatencyMs: 160, targetMs: 150 }]
const below = [{ tailLatencyMs: 60, targetMs: 150 }]

describe('the pacing of filling tasks', () => {
  it('halts them before a serving task was above its target for four figures', () => {
    const pacing = new FillPacing()
    const percents = [above, above, above].map(figures => pacing.observe(figures))
    expect(percents[0]).to.equal(100)
    expect(percents[2]).to.equal(0)
  })

  it('takes no notice of one figure above the target, as load swings by itself', () => {
    const pacing = new FillPacing()
    expect([above, below, above, below].map(figures => pacing.observe(figures))).to.deep.equal([100, 100, 100, 100])
  })

  it('gives back in steps once the serving tasks are below their targets', () => {
    const pacing = new FillPacing()
    for (let count = 0; count < 3; count += 1) pacing.observe(above)
    expect([below, below, below, below].map(figures => pacing.observe(figures))).to.deep.equal([25, 50, 75, 100])
  })

  it('lets them work at full speed where nothing serves', () => {
    expect(new FillPacing().observe([])).to.equal(100)
  })
})
