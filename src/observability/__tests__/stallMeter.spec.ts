import { expect } from 'chai'
import { StallMeter, stallTickMs } from '..'

describe('the stall meter', () => {
  let now: number
  let meter: StallMeter

  beforeEach(() => {
    now = 0
    meter = new StallMeter(() => now)
  })

  function run (ticks: number): void {
    for (let tick = 0; tick < ticks; tick += 1) {
      now += stallTickMs
      meter.tick()
    }
  }

  it('reports no wait while the process runs, also with late timers', () => {
    run(3)
    now += 1.9 * stallTickMs
    expect(meter.unreadMs()).to.equal(0)
    meter.tick()
    expect(meter.unreadMs()).to.equal(0)
  })

  it('reports the length of a stall to what is read right after it, whether its timer fires before or after', () => {
    run(3)
    now += 7000
    expect(meter.unreadMs()).to.equal(7000)
    meter.tick()
    expect(meter.unreadMs()).to.equal(7000)
    run(1)
    expect(meter.unreadMs()).to.equal(0)
  })
})
