import { BoundedMap } from '../../boundedMap'

/** How a run got on at a worker. */
export interface SpeedObservation {
  readonly worker: string
  /** Names the run; a later observation of it takes the place of the former one. */
  readonly run: string
  /** Its rate as a share of the usual one. */
  readonly speed: number
  /** Whether it is taken down for its slowness, which is beyond chance. */
  readonly isStraggler?: boolean
}

/** How fast workers are, as a share of the usual speed of what they ran. Times are in milliseconds. */
export abstract class WorkerSpeeds {
  /** Takes how a run gets on. */
  abstract observe (observation: SpeedObservation, now: number): void
  /** The speed of a worker from 0 to 1; 1 if nothing else is known. */
  abstract speedOf (worker: string, now: number): number
}

interface Speed {
  value: number
  observedAt: number
}

/** Weight of one observation; a few runs decide. */
const weight = 0.3
/** After this time without a run a worker is taken to be as fast as others again, in milliseconds, so that it is tried. */
const rememberedMs = 10_000

/** Speeds as they were last seen, for a while. */
export class RecentSpeeds extends WorkerSpeeds {
  private readonly speeds = new Map<string, Speed>()

  override observe ({ worker, speed }: SpeedObservation, now: number): void {
    const known = this.speeds.get(worker)
    const bounded = Math.min(1, speed)
    if (known === undefined) this.speeds.set(worker, { value: bounded, observedAt: now })
    else Object.assign(known, { value: known.value + weight * (bounded - known.value), observedAt: now })
  }

  override speedOf (worker: string, now: number): number {
    const known = this.speeds.get(worker)
    return known === undefined || now - known.observedAt > rememberedMs ? 1 : known.value
  }
}

interface SeenRun {
  readonly speed: number
  readonly weight: number
  readonly seenAt: number
}

/** Observations that the usual speed weighs as much as; a single slow run is chance. */
const usualWeight = 2
/** Observations that a straggler weighs as much as; it must not go back to the same worker. */
const stragglerWeight = 3
/** After this time an observation weighs half, in milliseconds. */
const halvedAfterMs = 10_000
/** Newest runs of a worker which count; they outweigh the usual speed for half a minute if all were slow. */
const maximumRuns = 16
/** Workers of which something is remembered; more than those of a deployment. */
const maximumWorkers = 1024

/**
 * Speeds weighed by how many runs show them, and how long ago. Load pattern: a worker that is slow again and again, which
 * would be given as much as others each time its slowness is forgotten; and a single slow run, which says little.
 */
export class WeighedSpeeds extends WorkerSpeeds {
  private readonly workers = new BoundedMap<string, BoundedMap<string, SeenRun>>(maximumWorkers)

  override observe ({ worker, run, speed, isStraggler = false }: SpeedObservation, now: number): void {
    const runs = this.workers.get(worker) ?? new BoundedMap<string, SeenRun>(maximumRuns)
    runs.set(run, { speed: Math.min(1, speed), weight: isStraggler ? stragglerWeight : 1, seenAt: now })
    this.workers.set(worker, runs)
  }

  override speedOf (worker: string, now: number): number {
    let sum = usualWeight
    let weights = usualWeight
    for (const { speed, weight: own, seenAt } of this.workers.get(worker)?.values() ?? []) {
      const weight = own * 2 ** ((seenAt - now) / halvedAfterMs)
      sum += weight * speed
      weights += weight
    }
    return sum / weights
  }
}
