import { loadAt, loadOf, noticeablePressure } from './pressureModel'
import type { WeightEstimate } from './onlineRegression'

/** The latest tail latency of a serving task, as its worker lists it. */
export interface ServingTask {
  readonly image: string
  readonly tailLatencyMs: number
  /** Upper limit of its tail latency, in milliseconds. */
  readonly targetMs: number
}

/** The filling tasks of one image on a worker; shares are of the worker's processors. */
export interface FillingImage {
  readonly image: string
  /** What they used when the tail latencies were measured. */
  readonly usedShare: number
  /** What they use at full speed. */
  readonly fullShare: number
}

/** Looks up how much the filling tasks of an image add to the load of a serving one, per share of the worker that they use. */
export type PressureOfPair = (servingImage: string, fillingImage: string) => WeightEstimate

/** Share of its target up to which filling tasks may raise the tail latency of a serving task; the rest is a margin for swings within a sample. */
const limitShareOfTarget = 0.75
const fullPercent = 100
/** Consecutive samples above a target after which every image is halted: two seconds, half of the time within which filling tasks must yield. */
const haltAfterSamples = 4

/**
 * Controls the speed of the filling tasks of each image on a worker, as a percent of full speed, so that the serving tasks on
 * the same worker stay below their latency targets. Load pattern: the load of serving tasks swings by half within seconds,
 * and filling tasks that press on them use what it leaves at each moment. The images that press least come first.
 */
export class FillPacing {
  private percents: ReadonlyMap<string, number> = new Map()
  /** Consecutive samples in which some serving task was above its target. */
  private samplesAbove = 0

  /** The speed of the tasks of an image, in percent of full speed. */
  percentOf (image: string): number { return this.percents.get(image) ?? (this.mustHalt ? 0 : fullPercent) }

  /** Updates the speeds from the latest samples of the serving tasks and the filling tasks on the worker. */
  observe (serving: readonly ServingTask[], filling: readonly FillingImage[], pressureOf: PressureOfPair): void {
    this.samplesAbove = serving.some(task => task.tailLatencyMs > task.targetMs) ? this.samplesAbove + 1 : 0
    const weightOf = (servingImage: string, fillingImage: string): number => Math.max(0, pressureOf(servingImage, fillingImage).mean)
    const rooms = findRooms(serving, filling, weightOf)
    const strongest = (image: string): number => Math.max(0, ...[...rooms.keys()].map(servingImage => weightOf(servingImage, image)))
    const percents = new Map<string, number>()
    for (const filled of [...filling].sort((a, b) => strongest(a.image) - strongest(b.image))) {
      const { image, fullShare } = filled
      const share = takeRoom(rooms, filled, servingImage => weightOf(servingImage, image))
      percents.set(image, this.mustHalt ? 0 : fullShare > 0 ? Math.floor(fullPercent * share / fullShare) : fullPercent)
    }
    this.percents = percents
  }

  private get mustHalt (): boolean { return this.samplesAbove >= haltAfterSamples }
}

type WeightOf = (servingImage: string, fillingImage: string) => number

/** What the tasks of a serving image bear. */
interface Room {
  /** The load that all filling tasks together may still add, by the highest own load among the serving tasks. */
  readonly load: number
  /** Whether one of them is above its target. */
  readonly isExceeded: boolean
}

function findRooms (serving: readonly ServingTask[], filling: readonly FillingImage[], weightOf: WeightOf): Map<string, Room> {
  const rooms = new Map<string, Room>()
  for (const { image, tailLatencyMs, targetMs } of serving) {
    const pressure = filling.reduce((sum, other) => sum + weightOf(image, other.image) * other.usedShare, 0)
    const ownLoad = Math.max(0, loadOf(tailLatencyMs, targetMs) - pressure)
    const known = rooms.get(image) ?? { load: Number.POSITIVE_INFINITY, isExceeded: false }
    rooms.set(image, { load: Math.min(known.load, loadAt(limitShareOfTarget) - ownLoad), isExceeded: known.isExceeded || tailLatencyMs > targetMs })
  }
  return rooms
}

/** Returns the share of a worker that an image may use, at most its full share, and takes the load that it adds from the rooms. */
function takeRoom (rooms: Map<string, Room>, { usedShare, fullShare }: FillingImage, weightOf: (servingImage: string) => number): number {
  let share = fullShare
  for (const [servingImage, { load, isExceeded }] of rooms) {
    const weight = weightOf(servingImage)
    if (weight < noticeablePressure) continue
    share = Math.min(share, Math.max(0, load) / weight)
    // The pressure may be overestimated, in which case the own load is underestimated.
    if (isExceeded) share = Math.min(share, usedShare / 2)
  }
  for (const [servingImage, room] of rooms) rooms.set(servingImage, { ...room, load: room.load - weightOf(servingImage) * share })
  return share
}
