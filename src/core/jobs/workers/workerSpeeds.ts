import { BoundedMap } from '../../boundedMap'

/** An observed speed of a run on a worker. */
export interface SpeedObservation {
  readonly worker: string
  /** Identifies the run; a later observation of the same run replaces the earlier one. */
  readonly run: string
  /** The rate of the run as a fraction of the usual one. */
  readonly speed: number
  /** Whether the run is stopped as a straggler, which means that it is slower than chance explains. */
  readonly isStraggler?: boolean
}

/** Estimates the speeds of workers as fractions of the usual speed of their runs. Times are in milliseconds. */
export abstract class WorkerSpeeds {
  /** Records the speed of a run. */
  abstract observe (observation: SpeedObservation, now: number): void
  /** The speed of a worker from 0 to 1; 1 without observations. */
  abstract speedOf (worker: string, now: number): number
}

interface Speed {
  value: number
  observedAt: number
}

/** Weight of a new observation in the moving average; a few runs determine the speed. */
const smoothingFactor = 0.3
/** Time without observations after which a worker counts as fast as the others, in milliseconds, so that it is tried again. */
const retentionMs = 10_000

/** Exponentially weighted moving average of the observed speeds, which expires after a time without observations. */
export class RecentSpeeds extends WorkerSpeeds {
  private readonly speeds = new Map<string, Speed>()

  override observe ({ worker, speed }: SpeedObservation, now: number): void {
    const known = this.speeds.get(worker)
    const bounded = Math.min(1, speed)
    if (known === undefined) this.speeds.set(worker, { value: bounded, observedAt: now })
    else Object.assign(known, { value: known.value + smoothingFactor * (bounded - known.value), observedAt: now })
  }

  override speedOf (worker: string, now: number): number {
    const known = this.speeds.get(worker)
    return known === undefined || now - known.observedAt > retentionMs ? 1 : known.value
  }
}

interface ObservedRun {
  readonly speed: number
  readonly weight: number
  readonly seenAt: number
}

/** Weight of the usual speed, in observations; a single slow run may occur by chance. */
const usualWeight = 2
/** Weight of a straggler, in observations; its task must not be placed on the same worker again. */
const stragglerWeight = 3
/** Time in which the weight of an observation halves, in milliseconds. */
const halfLifeMs = 10_000
/** Maximum number of newest runs of a worker that count; if all were slow, they outweigh the usual speed for half a minute. */
const maximumRuns = 16
/** Maximum number of workers whose runs are kept; more than a deployment has. */
const maximumWorkers = 1024

/**
 * Weights observed speeds by the number and the age of the runs. Load pattern: a worker that is slow repeatedly, which would
 * get as many runs as others each time its observations expire, and a single slow run, which is weak evidence.
 */
export class WeightedSpeeds extends WorkerSpeeds {
  private readonly workers = new BoundedMap<string, BoundedMap<string, ObservedRun>>(maximumWorkers)

  override observe ({ worker, run, speed, isStraggler = false }: SpeedObservation, now: number): void {
    const runs = this.workers.get(worker) ?? new BoundedMap<string, ObservedRun>(maximumRuns)
    runs.set(run, { speed: Math.min(1, speed), weight: isStraggler ? stragglerWeight : 1, seenAt: now })
    this.workers.set(worker, runs)
  }

  override speedOf (worker: string, now: number): number {
    let sum = usualWeight
    let weights = usualWeight
    for (const { speed, weight: own, seenAt } of this.workers.get(worker)?.values() ?? []) {
      const weight = own * 2 ** ((seenAt - now) / halfLifeMs)
      sum += weight * speed
      weights += weight
    }
    return sum / weights
  }
}
