import { expect } from 'chai'
import { SuspensionClock } from '..'

describe('a clock which counts suspensions', () => {
  let steady = 0
  let wall = 0
  const createClock = (): SuspensionClock => {
    steady = 1000
    wall = 50_000
    return new SuspensionClock(() => steady, () => wall)
  }

  it('runs with the steady clock', () => {
    const clock = createClock()
    steady += 500
    wall += 520
    expect(clock.now()).to.equal(1500)
  })

  it('counts the time for which the steady clock stood still', () => {
    const clock = createClock()
    wall += 5000
    expect(clock.now()).to.equal(6000)
    steady += 10
    wall += 10
    expect(clock.now()).to.equal(6010)
  })

  it('never goes back when the wall clock is set back', () => {
    const clock = createClock()
    steady += 100
    wall -= 2000
    expect(clock.now()).to.equal(1100)
  })
})
