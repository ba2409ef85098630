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
  figuresAbove: number
}

/** Percent at which tasks of unknown images work after 1, 2, ... consecutive samples above a target; the last value applies to all further ones. */
const percentAfterFigures = [100, 40, 0] as const
/** Share of the target below which filling tasks are sped up. */
const speedUpBelow = 0.9
/** The same for images that certainly press; it is lower because the load of a serving task varies by half, and may be at its minimum. */
const pressingSpeedUpBelow = 0.6
/** Share of the target above which the percent of images that certainly press is halved. */
const pressingSlowAbove = 0.8
/** Percentage points by which filling tasks are sped up per sample; full speed is reached after four samples. */
const speedUpPercent = 25
const fullPercent = 100
/** Consecutive samples above a target after which every image is halted: two seconds, half of the time within which filling tasks must yield. */
const haltAfterFigures = 4

/**
 * Controls the speed of the filling tasks of each image on a worker, as a percent of full speed, so that the serving tasks on
 * the same worker do not stay above their latency targets. An image that certainly presses on a serving one is slowed down
 * before the target is exceeded, an unknown one after the second sample above it, as the load also varies by itself, and a
 * harmless one only if slowing the others down did not help.
 */
export class FillPacing {
  private readonly paces = new Map<string, Pace>()
  /** Consecutive samples in which some serving task was above its target. */
  private figuresAbove = 0

  /** The speed of the tasks of an image, in percent of full speed. */
  percentOf (image: string): number { return this.paces.get(image)?.percent ?? this.percentOfNew }

  private get percentOfNew (): number { return this.figuresAbove >= haltAfterFigures ? 0 : fullPercent }

  /** Updates the speeds from the latest samples of the serving tasks and the images of the filling tasks on the worker. */
  observe (serving: readonly ServingTask[], fillingImages: ReadonlySet<string>, standing: StandingOfPair): void {
    for (const image of [...this.paces.keys()]) if (!fillingImages.has(image)) this.paces.delete(image)
    for (const image of fillingImages) if (!this.paces.has(image)) this.paces.set(image, { percent: this.percentOfNew, figuresAbove: 0 })
    this.figuresAbove = serving.some(task => relativeTail(task) > 1) ? this.figuresAbove + 1 : 0
    for (const [image, pace] of this.paces) {
      const loadOf = (wanted: PairStanding): number => Math.max(0, ...serving.filter(task => standing(task.image, image) === wanted).map(relativeTail))
      paceBy(pace, loadOf('pressing'), loadOf('unknown'))
    }
    if (this.figuresAbove >= haltAfterFigures) for (const pace of this.paces.values()) pace.percent = 0
  }
}

function relativeTail ({ tailLatencyMs, targetMs }: ServingTask): number {
  return tailLatencyMs / targetMs
}

/**
 * Adjusts the speed of an image. `pressed` and `unknown` are the highest tail latencies, relative to their targets, of the
 * serving tasks on which it certainly presses, and of those for which that is unknown.
 */
function paceBy (pace: Pace, pressed: number, unknown: number): void {
  pace.figuresAbove = unknown > 1 ? pace.figuresAbove + 1 : 0
  const lastStep = percentAfterFigures.length - 1
  const unknownLimit = pace.figuresAbove === 0 ? fullPercent : percentAfterFigures[Math.min(pace.figuresAbove - 1, lastStep)] ?? 0
  const pressedLimit = pressed > 1 ? 0 : pressed > pressingSlowAbove ? Math.floor(pace.percent / 2) : fullPercent
  const limit = Math.min(unknownLimit, pressedLimit)
  const maySpeedUp = unknown < speedUpBelow && pressed < pressingSpeedUpBelow
  pace.percent = limit < pace.percent ? limit : maySpeedUp ? Math.min(fullPercent, pace.percent + speedUpPercent) : pace.percent
}
