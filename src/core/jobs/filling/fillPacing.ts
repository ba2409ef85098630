import type { PairStanding } from './pressureModel'

/** One serving task as its worker shows it. */
export interface ServingTask {
  readonly image: string
  readonly tailLatencyMs: number
  /** What its tail latency must stay below, in milliseconds. */
  readonly targetMs: number
}

/** What is known of a filling image beside a serving one. */
export type StandingOfPair = (servingImage: string, fillingImage: string) => PairStanding

interface Pace {
  percent: number
  /** Figures in a row above the target. */
  figuresAbove: number
}

/** Percent at which tasks of unknown images work after this many figures in a row above a target; the last one stays. */
const percentAfterFigures = [100, 40, 0] as const
/** Share of the target below which tasks are given more. */
const speedUpBelow = 0.9
/** The same for images that press for certain: the load of a serving task swings by half, and may be at its lowest. */
const pressingSpeedUpBelow = 0.6
/** Share of the target above which tasks of images that press for certain are halved. */
const pressingSlowAbove = 0.8
/** Percent by which tasks are given more at a time; back at full speed after four figures. */
const speedUpPercent = 25
const fullPercent = 100
/** Figures in a row above a target after which every image is halted: two seconds, half of the time in which filling tasks must give way. */
const haltAfterFigures = 4

/**
 * Decides at which percent the filling tasks of each image work on a worker, so that tasks which serve beside them do
 * not stay above their targets. Images that press on a serving one for certain are slowed down before it is above its
 * target, unknown ones after its second figure above, as load swings by itself, and harmless ones only if slowing the
 * others did not help.
 */
export class FillPacing {
  private readonly paces = new Map<string, Pace>()
  /** Figures in a row in which some serving task was above its target. */
  private figuresAbove = 0

  /** The percent at which tasks of an image work. */
  percentOf (image: string): number { return this.paces.get(image)?.percent ?? this.percentOfNew }

  private get percentOfNew (): number { return this.figuresAbove >= haltAfterFigures ? 0 : fullPercent }

  /** Takes the newest figures of the serving tasks, and the images of the filling ones beside them. */
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

/** Sets the pace of an image by the highest relative tail latency of the serving tasks on which it presses, or may press. */
function paceBy (pace: Pace, pressed: number, unknown: number): void {
  pace.figuresAbove = unknown > 1 ? pace.figuresAbove + 1 : 0
  const lastStep = percentAfterFigures.length - 1
  const unknownLimit = pace.figuresAbove === 0 ? fullPercent : percentAfterFigures[Math.min(pace.figuresAbove - 1, lastStep)] ?? 0
  const pressedLimit = pressed > 1 ? 0 : pressed > pressingSlowAbove ? Math.floor(pace.percent / 2) : fullPercent
  const limit = Math.min(unknownLimit, pressedLimit)
  const maySpeedUp = unknown < speedUpBelow && pressed < pressingSpeedUpBelow
  pace.percent = limit < pace.percent ? limit : maySpeedUp ? Math.min(fullPercent, pace.percent + speedUpPercent) : pace.percent
}
