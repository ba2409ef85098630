/** Differences below this, in milliseconds, come from reading the two clocks one after the other. */
const shortestSuspensionMs = 100

/**
 * A steady clock which also counts time in which the whole VM was suspended. The runtime's steady clock stands
 * still then and the wall clock goes on. A wall clock that is set forward counts as a suspension, so this clock may
 * run ahead of the steady one, but never behind it.
 */
export class SuspensionClock {
  private suspendedMs = 0
  private lastSteady: number
  private lastWall: number

  constructor (private readonly steady: () => number, private readonly wall: () => number) {
    this.lastSteady = steady()
    this.lastWall = wall()
  }

  /** The time in milliseconds. */
  now (): number {
    const steady = this.steady()
    const wall = this.wall()
    const missingMs = (wall - this.lastWall) - (steady - this.lastSteady)
    if (missingMs > shortestSuspensionMs) this.suspendedMs += missingMs
    this.lastSteady = steady
    this.lastWall = wall
    return steady + this.suspendedMs
  }
}
