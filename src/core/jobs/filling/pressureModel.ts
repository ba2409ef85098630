import { BoundedMap } from '../../boundedMap'
import { type ImagePressure, maximumPairs, pairOf } from '../book'
import { OnlineRegression, type WeightEstimate } from './onlineRegression'

/** A long-running task with a target for its tail latency (milliseconds), as its worker lists it. */
export interface ServingSample {
  readonly jobId: string
  readonly image: string
  readonly tailLatencyMs: number
  readonly targetMs: number
}

/** Whether the tasks of a filling image interfere with those of a serving image on the same worker. */
export type PairStanding =
  /** The filling image adds too little to the load of the serving one to be distinguished from its own variation. */
  | 'harmless'
  | 'pressing'
  | 'unknown'

/** The serving and filling tasks of one worker at one moment. */
export interface WorkerSample {
  readonly serving: readonly ServingSample[]
  /** Share of the worker's processors that filling tasks use, by image. */
  readonly filling: ReadonlyMap<string, number>
}

/**
 * Tail latency of an idle task as a share of its target. Where the true share differs, the derived load is off by a factor,
 * which the learned weights compensate.
 */
const idleShareOfTarget = 0.2
/** Above this load the request queue of a serving task grows, and its tail latency no longer indicates how strong the pressure is. */
const saturatedLoad = 0.95
/** Prior estimate of the own load of the tasks of one job; it varies by half within seconds. */
const ownLoadPrior: WeightEstimate = { mean: 0.4, deviation: 0.3 }
/** Variance that this variation adds to the load per millisecond; a standard deviation of 0.1 per second. */
const ownLoadVariancePerMs = 0.01 / 1000
/** Variance of an observed load around the expected one: tail latencies lag by half a second, are rounded to milliseconds, and single tasks deviate for seconds. */
const loadVariance = 0.004
/** Prior estimate for a pair of images: between no pressure and a filling task that adds more load than the processors it uses. */
export const priorPressure: WeightEstimate = { mean: 0.7, deviation: 1 }
/** Least deviation of estimates that a former leader has learned, as they may be outdated. */
const minimumInheritedDeviation = 0.3
/** A weight below this can't be told from the variation of the load itself. A pair is harmless if half a deviation above its mean is below. */
export const noticeablePressure = 0.3
/** A pair certainly presses if its weight is above this at one deviation below the mean. */
const pressingAbove = 0.4
/** Least change of the mean of a pair that is published if its standing is unchanged. */
const significantMeanChange = 0.15
/** Least interval between samples of one worker, in milliseconds; closer ones would cover the same half second twice. */
const sampleIntervalMs = 400
/** Filling images kept for one serving image; the oldest one is evicted first. */
const maximumFillingImages = 32
/** Jobs kept for one serving image; the least recently seen one is evicted first. */
const maximumServingJobs = 32
/** Serving images kept; the least recently seen one is evicted first. */
const maximumServingImages = 64

/** The learned state of one serving image. */
interface ServingImage {
  readonly regression: OnlineRegression
  /** The filling images among the features of the regression, in the order in which they were added. */
  readonly fillingImages: Set<string>
  /** When each job with tasks of the image was last observed, in milliseconds; the least recently seen one first. */
  readonly jobs: Map<string, number>
  /** Whether a sample was observed since the last call of `takeChanges`. */
  isObserved: boolean
}

/**
 * Learns how much the filling tasks of one image add to the load of the serving tasks of another, for each pair of images,
 * from the tail latencies that workers list. At a load of 1, the tail latency is unbounded. Load pattern: the tasks of one
 * serving job have the same users, so their own loads swing together on all workers, and only their differences between
 * workers are due to what fills beside them.
 */
export class PressureModel {
  private readonly models = new Map<string, ServingImage>()
  private readonly sampledAt = new Map<string, number>()
  /** The estimate of each pair that `takeChanges` last returned. */
  private readonly published = new BoundedMap<string, ImagePressure>(maximumPairs)

  /** Replaces the state by the estimates that a former leader has learned. */
  begin (learned: readonly ImagePressure[]): void {
    this.models.clear()
    this.sampledAt.clear()
    this.published.clear()
    for (const pressure of learned) {
      const { servingImage, fillingImage, mean, deviation } = pressure
      this.published.set(pairOf(pressure), pressure)
      addFilling(this.modelOf(servingImage), fillingImage, { mean, deviation: Math.max(deviation, minimumInheritedDeviation) })
    }
  }

  /** Records a sample of a worker at a time in milliseconds. */
  observe (worker: string, sample: WorkerSample, now: number): void {
    const sampledAt = this.sampledAt.get(worker) ?? now - sampleIntervalMs
    if (sample.serving.length === 0 || now - sampledAt < sampleIntervalMs) return
    this.sampledAt.set(worker, now)
    for (const { image, jobId, load } of medianLoads(sample.serving)) this.observeJob(image, jobId, load, sample.filling, now)
  }

  /** Discards the state of a worker that has ended. */
  forget (worker: string): void { this.sampledAt.delete(worker) }

  /** The load that filling tasks of an image add to a serving image, per share of the worker's processors that they use. */
  pressure (servingImage: string, fillingImage: string): WeightEstimate {
    return this.models.get(servingImage)?.regression.weight(fillingImage) ?? priorPressure
  }

  /** Returns the pairs whose estimates have changed significantly since they were last returned. */
  takeChanges (): readonly ImagePressure[] {
    const changes: ImagePressure[] = []
    for (const [servingImage, model] of this.models) {
      if (!model.isObserved) continue
      model.isObserved = false
      for (const fillingImage of model.fillingImages) {
        const pressure = { servingImage, fillingImage, ...this.pressure(servingImage, fillingImage) }
        if (!isSignificantChange(pressure, this.published.get(pairOf(pressure)))) continue
        this.published.set(pairOf(pressure), pressure)
        changes.push(pressure)
      }
    }
    return changes
  }

  private observeJob (image: string, jobId: string, load: number, filling: ReadonlyMap<string, number>, now: number): void {
    const model = this.modelOf(image)
    const { regression, fillingImages } = model
    const own = ownLoadFeature(jobId)
    model.isObserved = true
    regression.add(own, ownLoadPrior)
    regression.drift(own, ownLoadVariancePerMs * (now - (model.jobs.get(jobId) ?? now)), ownLoadPrior.deviation ** 2)
    markSeen(model, jobId, now)
    for (const fillingImage of filling.keys()) addFilling(model, fillingImage, priorPressure)
    const amounts = new Map([...filling, [own, 1]])
    if (load <= saturatedLoad || regression.expect(amounts) < load) regression.observe(amounts, load)
    const [first] = fillingImages
    if (fillingImages.size <= maximumFillingImages || first === undefined) return
    fillingImages.delete(first)
    regression.remove(first)
  }

  private modelOf (image: string): ServingImage {
    const model = this.models.get(image) ?? { regression: new OnlineRegression(loadVariance), fillingImages: new Set(), jobs: new Map(), isObserved: true }
    // Reinserted, so that the first key is the least recently seen image.
    this.models.delete(image)
    this.models.set(image, model)
    const [oldest] = this.models.keys()
    if (this.models.size > maximumServingImages && oldest !== undefined) this.models.delete(oldest)
    return model
  }
}

/** The load of a serving task, from 0 to 1, by its tail latency and its target in milliseconds; 0 without a tail latency. */
export function loadOf (tailLatencyMs: number, targetMs: number): number {
  return tailLatencyMs <= 0 ? 0 : Math.max(0, loadAt(tailLatencyMs / targetMs))
}

/** The load at which the tail latency of a serving task is a share of its target. */
export function loadAt (shareOfTarget: number): number { return 1 - idleShareOfTarget / shareOfTarget }

/** Classifies a pair of images by its estimated weight. */
export function standingOf ({ mean, deviation }: WeightEstimate): PairStanding {
  if (mean + deviation / 2 < noticeablePressure) return 'harmless'
  return mean - deviation > pressingAbove ? 'pressing' : 'unknown'
}

interface JobLoad {
  readonly image: string
  readonly jobId: string
  readonly load: number
}

/** The median load of the tasks of each serving job, which form one observation; a single task may deviate for seconds. */
function medianLoads (serving: readonly ServingSample[]): readonly JobLoad[] {
  const jobs = new Map<string, { readonly image: string, readonly jobId: string, readonly loads: number[] }>()
  for (const { image, jobId, tailLatencyMs, targetMs } of serving) {
    if (tailLatencyMs <= 0) continue
    const key = `${image} ${jobId}`
    const job = jobs.get(key) ?? { image, jobId, loads: [] }
    jobs.set(key, job)
    job.loads.push(loadOf(tailLatencyMs, targetMs))
  }
  return [...jobs.values()].map(({ loads, ...job }) => ({ ...job, load: loads.sort((a, b) => a - b)[Math.floor((loads.length - 1) / 2)] ?? 0 }))
}

/** Records when a job was seen, and evicts the one that was not seen for the longest time if there are too many. */
function markSeen ({ jobs, regression }: ServingImage, jobId: string, now: number): void {
  jobs.delete(jobId)
  jobs.set(jobId, now)
  const [oldest] = jobs.keys()
  if (jobs.size <= maximumServingJobs || oldest === undefined) return
  jobs.delete(oldest)
  regression.remove(ownLoadFeature(oldest))
}

/** The feature name of the own load of a serving job; it has spaces, so it equals no image. */
function ownLoadFeature (jobId: string): string { return `own load of ${jobId}` }

function addFilling ({ regression, fillingImages }: ServingImage, fillingImage: string, weight: WeightEstimate): void {
  fillingImages.add(fillingImage)
  regression.add(fillingImage, weight)
}

function isSignificantChange (pressure: ImagePressure, published: ImagePressure | undefined): boolean {
  return published === undefined || standingOf(published) !== standingOf(pressure) || Math.abs(published.mean - pressure.mean) > significantMeanChange
}
