interface Speed {
  value: number
  observedAt: number
}

/** Weight of one observation; a few runs decide. */
const weight = 0.3
/** After this time without a run a worker is taken to be as fast as others again, in milliseconds, so that it is tried. */
const rememberedMs = 10_000

/** How fast workers are, as a share of the usual speed of the steps which they ran. */
export class WorkerSpeeds {
  private readonly speeds = new Map<string, Speed>()

  /** Takes the relative speed of one run. */
  observe (worker: string, speed: number, now: number): void {
    const known = this.speeds.get(worker)
    const bounded = Math.min(1, speed)
    if (known === undefined) this.speeds.set(worker, { value: bounded, observedAt: now })
    else Object.assign(known, { value: known.value + weight * (bounded - known.value), observedAt: now })
  }

  /** The speed of a worker, 1 if nothing else is known. */
  speedOf (worker: string, now: number): number {
    const known = this.speeds.get(worker)
    return known === undefined || now - known.observedAt > rememberedMs ? 1 : known.value
  }
}
