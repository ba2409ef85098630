/** Smaller differences are caused by reading the two clocks one after the other. */
const shortestSuspensionMs = 100

/**
 * A monotonic clock which includes the time for which the VM was suspended. During a suspension the runtime's
 * monotonic clock stops while the wall clock advances. A wall clock that is set forward counts as a suspension, so this
 * clock may run ahead of the monotonic one, but never behind it.
 */
export class SuspensionClock {
  private suspendedMs = 0
  private lastMonotonic: number
  private lastWall: number

  constructor (private readonly monotonic: () => number, private readonly wall: () => number) {
    this.lastMonotonic = monotonic()
    this.lastWall = wall()
  }

  /** Returns the time in milliseconds since an arbitrary origin. */
  now (): number {
    const monotonic = this.monotonic()
    const wall = this.wall()
    const missingMs = (wall - this.lastWall) - (monotonic - this.lastMonotonic)
    if (missingMs > shortestSuspensionMs) this.suspendedMs += missingMs
    this.lastMonotonic = monotonic
    this.lastWall = wall
    return monotonic + this.suspendedMs
  }
}
