import { expect } from 'chai'
import { SuspensionClock } from '..'

describe('a suspension clock', () => {
  let steady = 0
  let wall = 0
  const createClock = (): SuspensionClock => {
    steady = 1000
    wall = 50_000
    return new SuspensionClock(() => steady, () => wall)
  }

  it('advances with the monotonic clock', () => {
    const clock = createClock()
    steady += 500
    wall += 520
    expect(clock.now()).to.equal(1500)
  })

  it('includes the time for which the monotonic clock was stopped', () => {
    const clock = createClock()
    wall += 5000
    expect(clock.now()).to.equal(6000)
    steady += 10
    wall += 10
    expect(clock.now()).to.equal(6010)
  })

  it('does not go backwards when the wall clock is set back', () => {
    const clock = createClock()
    steady += 100
    wall -= 2000
    expect(clock.now()).to.equal(1100)
  })
})
