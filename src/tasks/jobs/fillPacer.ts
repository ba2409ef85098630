import { pairOf, type RunningTask, type ServingTask } from '../../core/jobs'
import type { Counters, Logger } from '../../observability'
import type { OrderContext, WorkerDriver } from '../../workers'
import { pacingLookMs, type AgentBoot } from './agentBoot'

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

  /** Sends each filling task its pace, recomputed from the latencies of the serving tasks at most once per `pacingLookMs`. */
  pace (boot: AgentBoot, running: readonly RunningTask[]): void {
    const { trackedRuns } = boot
    const serving = running.flatMap(task => {
      const order = trackedRuns.find(task.task, task.run)?.order
      return order !== undefined && order.targetMs > 0 && task.percent >= 100 ? [{ image: order.image, tailLatencyMs: task.tailLatencyMs ?? 0, targetMs: order.targetMs }] : []
    })
    const fillingImages = new Set(running.flatMap(task => {
      const order = trackedRuns.find(task.task, task.run)?.order
      return order?.isFilling === true ? [order.image] : []
    }))
    const now = this.options.now()
    const isUpdateDue = now - boot.lastPacedAt >= pacingLookMs
    if (isUpdateDue) boot.lastPacedAt = now
    if (isUpdateDue) {
      const former = new Map([...fillingImages].map(image => [image, boot.pacing.percentOf(image)]))
      boot.pacing.observe(serving, fillingImages, (servingImage, fillingImage) => boot.standings.get(pairOf({ servingImage, fillingImage })) ?? 'unknown')
      this.logHalts(boot, former, serving)
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
        standing: worst === undefined ? undefined : boot.standings.get(pairOf({ servingImage: worst.image, fillingImage: image })) ?? 'unknown'
      })
    }
  }
}
