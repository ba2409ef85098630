import { BoundedMap } from '../../boundedMap'
import { OnlineRegression, type Weight } from './onlineRegression'

/** A long-running task with a target for its tail latency, as its worker shows it. */
export interface ServingSample {
  readonly image: string
  readonly tailLatencyMs: number
  readonly targetMs: number
}

/** What is known of a pair of images. */
export type PairStanding =
  /** The filling image adds too little to the load of the serving one to be told from its swing. */
  | 'harmless'
  | 'pressing'
  | 'unknown'

/** How much filling tasks of one image press on serving tasks of another. */
export interface ImagePressure extends Weight {
  readonly servingImage: string
  readonly fillingImage: string
}

/** What runs on one worker at one moment. */
export interface WorkerSample {
  readonly serving: readonly ServingSample[]
  /** Share of the worker's processors which filling tasks of an image use, by image. */
  readonly filling: ReadonlyMap<string, number>
}

/**
 * Tail latency of an idle task as a share of its target. The load that follows from it is off by a factor where the
 * true share differs, which the learned weights take up.
 */
const idleShareOfTarget = 0.2
/** Loads above this are those of a queue that grows: they say no more how strong the pressure is. */
const saturatedLoad = 0.95
/** The load of the serving tasks of one image on one worker, which swings by half of it within seconds. */
const ownLoad: Weight = { mean: 0.4, deviation: 0.3 }
/** By how much that swing changes the variance of the load each millisecond; 0.1 in a second. */
const ownLoadDriftPerMs = 0.01 / 1000
/** Variance of a load around what its parts explain; tail latencies lag by half a second and jitter by a tenth. */
const loadVariance = 0.01
/** Before it was seen, a pair of images counts as something between one that does not press and one in which the filling task takes more than it uses. */
const unseenPressure: Weight = { mean: 0.7, deviation: 1 }
/** What a former leader has learned may have changed since. */
const inheritedDeviation = 0.3
/** Weights below this, at half a deviation above what is believed, add no load that shows. */
const harmlessBelow = 0.3
/** Weights above this, at a deviation below what is believed, certainly press. */
const pressingAbove = 0.4
/** A weight which moved by less than this is no news. */
const newsAbove = 0.15
/** Samples of one worker closer than this, in milliseconds, show the same half second twice. */
const sampleEveryMs = 400
/** Images of filling tasks kept for one serving image; the one that came first goes first. */
const maximumFillingImages = 32
/** Pairs of images of which something is remembered; more than the images of a pool make in an hour. */
export const maximumPairs = 4096
/** Serving images kept; the one that was seen longest ago goes first. */
const maximumServingImages = 64

/** What is known of one serving image. */
interface ServingImage {
  readonly regression: OnlineRegression
  /** The filling images which are among its features, in the order in which they came. */
  readonly fillingImages: Set<string>
  /** Whether anything was observed since the last time that changes were taken. */
  isObserved: boolean
}

/**
 * How much the filling tasks of one image add to the load of serving tasks of another, learned for each pair of images
 * from the tail latencies that workers list. A load of 1 is where the tail latency has no bound.
 */
export class PressureModel {
  private readonly models = new Map<string, ServingImage>()
  private readonly sampledAt = new Map<string, number>()
  /** What was last given out of each pair. */
  private readonly told = new BoundedMap<string, ImagePressure>(maximumPairs)

  /** Begins with what a former leader has learned. */
  begin (learned: readonly ImagePressure[]): void {
    this.models.clear()
    this.sampledAt.clear()
    this.told.clear()
    for (const pressure of learned) {
      const { servingImage, fillingImage, mean, deviation } = pressure
      this.told.set(pairOf(pressure), pressure)
      addFilling(this.modelOf(servingImage), fillingImage, { mean, deviation: Math.max(deviation, inheritedDeviation) })
    }
  }

  /** Takes what a worker shows at a moment, in milliseconds. */
  observe (worker: string, sample: WorkerSample, now: number): void {
    const sampledAt = this.sampledAt.get(worker) ?? now - sampleEveryMs
    if (sample.serving.length === 0 || now - sampledAt < sampleEveryMs) return
    this.sampledAt.set(worker, now)
    for (const [image, load] of meanLoads(sample.serving)) this.observeImage(image, worker, load, sample.filling, now - sampledAt)
  }

  /** Forgets a worker that has gone. */
  forget (worker: string): void {
    this.sampledAt.delete(worker)
    for (const { regression } of this.models.values()) regression.remove(ownLoadOf(worker))
  }

  /** What a share of a worker's processors, used by filling tasks of an image, adds to the load of a serving image. */
  pressure (servingImage: string, fillingImage: string): Weight {
    return this.models.get(servingImage)?.regression.weight(fillingImage) ?? unseenPressure
  }

  /** Pairs of which something else is believed than when they were last taken. */
  takeChanges (): readonly ImagePressure[] {
    const changes: ImagePressure[] = []
    for (const [servingImage, model] of this.models) {
      if (!model.isObserved) continue
      model.isObserved = false
      for (const fillingImage of model.fillingImages) {
        const pressure = { servingImage, fillingImage, ...this.pressure(servingImage, fillingImage) }
        if (!isNews(pressure, this.told.get(pairOf(pressure)))) continue
        this.told.set(pairOf(pressure), pressure)
        changes.push(pressure)
      }
    }
    return changes
  }

  private observeImage (image: string, worker: string, load: number, filling: ReadonlyMap<string, number>, elapsedMs: number): void {
    const model = this.modelOf(image)
    const { regression, fillingImages } = model
    const own = ownLoadOf(worker)
    model.isObserved = true
    regression.add(own, ownLoad)
    regression.drift(own, ownLoadDriftPerMs * elapsedMs, ownLoad.deviation ** 2)
    for (const fillingImage of filling.keys()) addFilling(model, fillingImage, unseenPressure)
    const amounts = new Map([...filling, [own, 1]])
    if (load <= saturatedLoad || regression.expect(amounts) < load) regression.observe(amounts, load)
    const [first] = fillingImages
    if (fillingImages.size <= maximumFillingImages || first === undefined) return
    fillingImages.delete(first)
    regression.remove(first)
  }

  private modelOf (image: string): ServingImage {
    const model = this.models.get(image) ?? { regression: new OnlineRegression(loadVariance), fillingImages: new Set(), isObserved: true }
    // Set again, so that the first key is the image that was seen longest ago.
    this.models.delete(image)
    this.models.set(image, model)
    const [oldest] = this.models.keys()
    if (this.models.size > maximumServingImages && oldest !== undefined) this.models.delete(oldest)
    return model
  }
}

/** The key of a pair of images; images have no spaces. */
export function pairOf ({ servingImage, fillingImage }: Pick<ImagePressure, 'servingImage' | 'fillingImage'>): string {
  return `${servingImage} ${fillingImage}`
}

/** What a weight says of its pair of images. */
export function standingOf ({ mean, deviation }: Weight): PairStanding {
  if (mean + deviation / 2 < harmlessBelow) return 'harmless'
  return mean - deviation > pressingAbove ? 'pressing' : 'unknown'
}

/** The mean load of the tasks of each image: those of one job swing together. */
function meanLoads (serving: readonly ServingSample[]): ReadonlyMap<string, number> {
  const sums = new Map<string, { sum: number, count: number }>()
  for (const { image, tailLatencyMs, targetMs } of serving) {
    if (tailLatencyMs <= 0) continue
    const entry = sums.get(image) ?? { sum: 0, count: 0 }
    entry.sum += Math.max(0, 1 - idleShareOfTarget * targetMs / tailLatencyMs)
    entry.count += 1
    sums.set(image, entry)
  }
  return new Map([...sums].map(([image, { sum, count }]) => [image, sum / count]))
}

/** The feature of a worker's own load; images have no spaces. */
function ownLoadOf (worker: string): string { return `own load at ${worker}` }

function addFilling ({ regression, fillingImages }: ServingImage, fillingImage: string, weight: Weight): void {
  fillingImages.add(fillingImage)
  regression.add(fillingImage, weight)
}

function isNews (pressure: ImagePressure, told: ImagePressure | undefined): boolean {
  return told === undefined || standingOf(told) !== standingOf(pressure) || Math.abs(told.mean - pressure.mean) > newsAbove
}
