import { BoundedMap } from '../../boundedMap'
import type { WorkerHealth } from '../../health'
import { type DecisionLog, type Job, type JobTask, nameTask, type Step } from '../book'
import type { Moment } from '../placement'
import type { RunProgress } from './runProgress'
import type { UsualRate, UsualRates } from './usualRates'
import { isStalled, isStraggler, relativeSpeed, medianRate } from './stragglers'
import { type KnownWorker, stopReserveMs, type WorkerRoster, type WorkerSpeeds } from '../workers'

/** Dependencies of the run review. */
export interface RunReviewParts {
  readonly decisions: DecisionLog
  readonly roster: WorkerRoster
  readonly health: WorkerHealth
  readonly progress: RunProgress
  readonly speeds: WorkerSpeeds
  /** The usual rates of tasks, with which runs with too few peers are compared; absent to skip such runs. */
  readonly usualRates?: UsualRates | undefined
}

/** Number of workers over which the peers of a run must be spread for their rate to be a reference. */
const minimumPeerWorkers = 3

/** Maximum number of restarted tasks that are remembered. */
const maximumRestartedTasks = 4096

/** Stops runs that are stalled or slow on their worker, or whose worker is about to leave. */
export class RunReview {
  /** The run of each task that was stopped as a straggler, by the name of the task. */
  private readonly restartedRuns = new BoundedMap<string, number>(maximumRestartedTasks)

  constructor (private readonly parts: RunReviewParts) {}

  /** Reviews all live runs. */
  review (moment: Moment): void {
    for (const job of this.parts.decisions.book.openJobs()) this.reviewJob(job, moment)
    for (const known of this.parts.roster.all()) if (known.report.isDraining && known.report.isDrainUnconfirmed !== true) this.stopRunsOnDrainingWorker(known, moment)
  }

  private reviewJob (job: Job, moment: Moment): void {
    const listed = job.tasks.filter(task => task.state === 'live' && this.isListed(task))
    if (listed.length === 0) return
    const peerRates = new Map<string, number | undefined>()
    for (const task of listed) {
      const step = job.steps[task.step]
      if (step === undefined) continue
      const key = `${task.occurrence}.${task.step}`
      if (!step.isFilling && !peerRates.has(key)) peerRates.set(key, this.peerRate(tasksOfStep(job, task)))
      const usual = this.referenceRate(peerRates.get(key), job, step)
      const isSlow = usual !== undefined && isStraggler(task, job, usual.rate, this.parts.progress, usual.spread)
      const speed = relativeSpeed(task, usual?.rate, this.parts.progress)
      if (usual !== undefined && speed !== undefined && !(isSlow && this.isSlowByItself(task))) this.observeSpeed(task, speed * usual.spread, moment, isSlow)
      if (isStalled(task, step, this.parts.progress)) this.stopStalled(task, moment)
      else if (isSlow && !this.isSlowByItself(task)) this.stopStraggler(task)
    }
  }

  /** Whether a former run of a task was a straggler, too: then its worker is not the cause, and the task would never end if it was restarted each time. */
  private isSlowByItself (task: JobTask): boolean {
    const restarted = this.restartedRuns.get(nameTask(task))
    return restarted !== undefined && restarted !== task.run
  }

  private stopStraggler (task: JobTask): void {
    this.restartedRuns.set(nameTask(task), task.run)
    this.parts.decisions.stop(task, 'straggler')
  }

  /** The rate with which a run is compared: that of its peers, or else the usual rate of its queue and image. */
  private referenceRate (peerRate: number | undefined, job: Job, step: Step): UsualRate | undefined {
    return peerRate === undefined ? this.parts.usualRates?.rateOf(job, step) : { rate: peerRate, spread: 1 }
  }

  private observeSpeed (task: JobTask, speed: number, { now }: Moment, isStraggler: boolean): void {
    this.parts.speeds.observe({ worker: task.worker, run: `${nameTask(task)} ${task.run}`, speed, isStraggler }, now)
  }

  /** The rate of the peers of a run; undefined if steps are packed and the peers are on few workers, all of which may be slow. */
  private peerRate (siblings: readonly JobTask[]): number | undefined {
    const workers = new Set(siblings.flatMap(({ state, worker }) => state === 'live' ? [worker] : []))
    const isInconclusive = this.parts.usualRates !== undefined && workers.size < minimumPeerWorkers
    return isInconclusive ? undefined : medianRate(siblings, this.parts.progress)
  }

  /** Stops the runs of a draining worker: long-running tasks at once, others only if they won't end before the worker leaves. */
  private stopRunsOnDrainingWorker ({ report, running }: KnownWorker, moment: Moment): void {
    const leavesInMs = (report.remainingMs ?? 0) - (moment.now - this.parts.roster.reportedAt(report.worker))
    for (const [name, task] of this.parts.decisions.book.liveOn(report.worker)) {
      const step = this.parts.decisions.book.job(task.jobId)?.steps[task.step]
      const listed = running.get(name)
      if (step === undefined || listed?.run !== task.run) continue
      const rate = this.parts.progress.rate(name, task.run)
      const leftMs = rate === undefined || rate <= 0 ? step.estimateMs : (100 - listed.percent) / rate
      if (step.isLongRunning || leftMs > leavesInMs - stopReserveMs) this.parts.decisions.stop(task, 'draining')
    }
  }

  /** Stops a stalled run and counts it as a failure of its worker, because a worker that stalls runs is as unhealthy as one that fails them. */
  private stopStalled (task: JobTask, { now }: Moment): void {
    const { decisions } = this.parts
    if (decisions.isStopping(nameTask(task), task.run)) return
    this.parts.health.failed(task.worker, nameTask(task), now)
    this.parts.decisions.stop(task, 'stalled')
  }

  private isListed (task: JobTask): boolean {
    return this.parts.roster.find(task.worker)?.running.get(nameTask(task))?.run === task.run
  }
}

function tasksOfStep (job: Job, { step, occurrence }: JobTask): readonly JobTask[] {
  return job.tasks.filter(task => task.step === step && task.occurrence === occurrence)
}
