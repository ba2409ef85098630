import type { PairStanding } from './pressureModel'

/** The latest tail latency of a serving task, as its worker lists it. */
export interface ServingTask {
  readonly image: string
  readonly tailLatencyMs: number
  /** Upper limit of its tail latency, in milliseconds. */
  readonly targetMs: number
}

/** Looks up what is known of the interference of a filling image with a serving one. */
export type StandingOfPair = (servingImage: string, fillingImage: string) => PairStanding

interface Pace {
  percent: number
  /** Consecutive samples above the target, of serving tasks with which the interference of the image is unknown. */
  samplesAbove: number
}

/** Percent at which tasks of unknown images work after 1, 2, ... consecutive samples above a target; the last value applies to all further ones. */
const percentAfterSamples = [100, 40, 0] as const
/** Share of the target below which filling tasks are sped up. */
const speedUpBelowShare = 0.9
/** The same for images that certainly press; it is lower because the load of a serving task varies by half, and may be at its minimum. */
const pressingSpeedUpBelowShare = 0.6
/** Share of the target above which the percent of images that certainly press is halved. */
const pressingSlowAboveShare = 0.8
/** Percentage points by which filling tasks are sped up per sample; full speed is reached after four samples. */
const speedUpPercent = 25
const fullPercent = 100
/** Consecutive samples above a target after which every image is halted: two seconds, half of the time within which filling tasks must yield. */
const haltAfterSamples = 4

/**
 * Controls the speed of the filling tasks of each image on a worker, as a percent of full speed, so that the serving tasks on
 * the same worker do not stay above their latency targets. An image that certainly presses on a serving one is slowed down
 * before the target is exceeded, an unknown one after the second sample above it, as the load also varies by itself, and a
 * harmless one only if slowing the others down did not help.
 */
export class FillPacing {
  private readonly paces = new Map<string, Pace>()
  /** Consecutive samples in which some serving task was above its target. */
  private samplesAbove = 0

  /** The speed of the tasks of an image, in percent of full speed. */
  percentOf (image: string): number { return this.paces.get(image)?.percent ?? this.percentOfNew }

  private get percentOfNew (): number { return this.samplesAbove >= haltAfterSamples ? 0 : fullPercent }

  /** Updates the speeds from the latest samples of the serving tasks and the images of the filling tasks on the worker. */
  observe (serving: readonly ServingTask[], fillingImages: ReadonlySet<string>, standing: StandingOfPair): void {
    for (const image of [...this.paces.keys()]) if (!fillingImages.has(image)) this.paces.delete(image)
    for (const image of fillingImages) if (!this.paces.has(image)) this.paces.set(image, { percent: this.percentOfNew, samplesAbove: 0 })
    this.samplesAbove = serving.some(task => relativeTail(task) > 1) ? this.samplesAbove + 1 : 0
    for (const [image, pace] of this.paces) {
      const highestTail = (wanted: PairStanding): number => Math.max(0, ...serving.filter(task => standing(task.image, image) === wanted).map(relativeTail))
      adjustPace(pace, highestTail('pressing'), highestTail('unknown'))
    }
    if (this.samplesAbove >= haltAfterSamples) for (const pace of this.paces.values()) pace.percent = 0
  }
}

function relativeTail ({ tailLatencyMs, targetMs }: ServingTask): number {
  return tailLatencyMs / targetMs
}

/**
 * Adjusts the speed of an image. `pressed` and `unknown` are the highest tail latencies, relative to their targets, of the
 * serving tasks on which it certainly presses, and of those for which that is unknown.
 */
function adjustPace (pace: Pace, pressed: number, unknown: number): void {
  pace.samplesAbove = unknown > 1 ? pace.samplesAbove + 1 : 0
  const lastStep = percentAfterSamples.length - 1
  const unknownLimit = pace.samplesAbove === 0 ? fullPercent : percentAfterSamples[Math.min(pace.samplesAbove - 1, lastStep)] ?? 0
  const pressedLimit = pressed > 1 ? 0 : pressed > pressingSlowAboveShare ? Math.floor(pace.percent / 2) : fullPercent
  const limit = Math.min(unknownLimit, pressedLimit)
  const maySpeedUp = unknown < speedUpBelowShare && pressed < pressingSpeedUpBelowShare
  pace.percent = limit < pace.percent ? limit : maySpeedUp ? Math.min(fullPercent, pace.percent + speedUpPercent) : pace.percent
}
