import { pairOf, priorPressure, standingOf, usedShare, type FillingImage, type RunningTask, type ServingTask, type WeightEstimate } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { OrderContext, WorkerDriver } from '../../workers'
import { pacingIntervalMs, type AgentBoot } from './agentBoot'

/** Dependencies of `FillPacer`. */
export interface FillPacerOptions {
  readonly driver: WorkerDriver
  /** The fencing context (worker id and term) sent with every call to the worker of a boot. */
  readonly context: (boot: AgentBoot) => OrderContext
  /** Steady time in milliseconds. */
  readonly now: () => number
  readonly logger: Logger
  readonly counters: Counters
}

/** Marks a pace that a failed call may or may not have set, so that it is sent again. */
const unknownPace = -1

/** Paces the filling tasks of a worker by the tail latencies of the serving tasks beside them. */
export class FillPacer {
  constructor (private readonly options: FillPacerOptions) {}

  /** Sends each filling task its pace, recomputed from the latencies of the serving tasks at most once per `pacingIntervalMs`. */
  pace (boot: AgentBoot, running: readonly RunningTask[]): void {
    const { trackedRuns } = boot
    const now = this.options.now()
    if (now - boot.lastPacedAt >= pacingIntervalMs) {
      boot.lastPacedAt = now
      this.update(boot, running)
    }
    for (const task of running) {
      const run = trackedRuns.find(task.task, task.run)
      if (run?.order.isFilling !== true) continue
      const percent = boot.pacing.percentOf(run.order.image)
      if (run.pace === percent) continue
      run.pace = percent
      this.options.driver.pace(task.task, task.run, percent, this.options.context(boot)).then(outcome => {
        if (outcome.type !== 'done') run.pace = unknownPace
      })
    }
  }

  private update (boot: AgentBoot, running: readonly RunningTask[]): void {
    const serving = running.flatMap(task => {
      const order = boot.trackedRuns.find(task.task, task.run)?.order
      return order !== undefined && order.targetMs > 0 && task.percent >= 100 ? [{ image: order.image, tailLatencyMs: task.tailLatencyMs ?? 0, targetMs: order.targetMs }] : []
    })
    const filling = fillingImagesOf(boot, running)
    const former = new Map(filling.map(({ image }) => [image, boot.pacing.percentOf(image)]))
    boot.pacing.observe(serving, filling, (servingImage, fillingImage) => pressureOf(boot, servingImage, fillingImage))
    this.logHalts(boot, former, serving)
  }

  /** Logs only halts and the first pace after one; paces in between change with every figure. */
  private logHalts (boot: AgentBoot, former: ReadonlyMap<string, number>, serving: readonly ServingTask[]): void {
    for (const [image, before] of former) {
      const percent = boot.pacing.percentOf(image)
      if ((percent === 0) === (before === 0)) continue
      const worst = serving.reduce<ServingTask | undefined>((found, task) => found === undefined || task.tailLatencyMs / task.targetMs > found.tailLatencyMs / found.targetMs ? task : found, undefined)
      this.options.counters.add('filling_paces_total', { change: percent === 0 ? 'halted' : 'resumed' })
      this.options.logger.info('filling_paced', {
        worker: boot.worker,
        image,
        percent,
        serving_image: worst?.image,
        tail_ms: worst?.tailLatencyMs,
        target_ms: worst?.targetMs,
        standing: worst === undefined ? undefined : standingOf(pressureOf(boot, worst.image, image))
      })
    }
  }
}

function pressureOf (boot: AgentBoot, servingImage: string, fillingImage: string): WeightEstimate {
  return boot.pressures.get(pairOf({ servingImage, fillingImage })) ?? priorPressure
}

/** The filling tasks on a worker by image. A leader of an earlier version does not say what they declare; then what they use counts as full speed. */
function fillingImagesOf ({ trackedRuns, registration }: AgentBoot, running: readonly RunningTask[]): readonly FillingImage[] {
  const { processors: capacity } = registration.capacity
  const images = new Map<string, FillingImage>()
  for (const { task, run, usedProcessors = 0 } of running) {
    const order = trackedRuns.find(task, run)?.order
    if (order?.isFilling !== true) continue
    const known = images.get(order.image) ?? { image: order.image, usedShare: 0, fullShare: 0 }
    const full = order.processors === undefined ? usedProcessors : order.processors * usedShare
    images.set(order.image, { image: order.image, usedShare: known.usedShare + shareOf(usedProcessors, capacity), fullShare: known.fullShare + shareOf(full, capacity) })
  }
  return [...images.values()]
}

function shareOf (processors: number, capacity: number): number { return capacity > 0 ? processors / capacity : 0 }
