import type { WorkerHealth } from '../../health'
import { type DecisionLog, type Job, type JobTask, nameTask } from '../book'
import type { Moment } from '../placement'
import type { RunProgress } from './runProgress'
import { isStalled, isStraggler, relativeSpeed, usualRate } from './stragglers'
import type { KnownWorker, WorkerRoster, WorkerSpeeds } from '../workers'

/** What a review is made from. */
export interface RunReviewParts {
  readonly decisions: DecisionLog
  readonly roster: WorkerRoster
  readonly health: WorkerHealth
  readonly progress: RunProgress
  readonly speeds: WorkerSpeeds
}

/** Time that is kept for stopping what does not end before its worker leaves, in milliseconds; a stop takes up to a second. */
const evacuationReserveMs = 1200

/** Takes runs down which don't get on where they are, or whose worker is about to leave. */
export class RunReview {
  constructor (private readonly parts: RunReviewParts) {}

  /** Reviews all live runs. */
  review (moment: Moment): void {
    for (const job of this.parts.decisions.book.openJobs()) this.reviewJob(job, moment)
    for (const known of this.parts.roster.all()) if (known.report.isDraining) this.evacuate(known, moment)
  }

  private reviewJob (job: Job, moment: Moment): void {
    const listed = job.tasks.filter(task => task.state === 'live' && this.isListed(task))
    if (listed.length === 0) return
    const usualRates = new Map<string, number | undefined>()
    for (const task of listed) {
      const step = job.steps[task.step]
      if (step === undefined) continue
      const key = `${task.occurrence}.${task.step}`
      if (!step.isFilling && !usualRates.has(key)) usualRates.set(key, usualRate(tasksOfStep(job, task), this.parts.progress))
      const usual = usualRates.get(key)
      const speed = relativeSpeed(task, usual, this.parts.progress)
      if (speed !== undefined) this.parts.speeds.observe(task.worker, speed, moment.now)
      if (isStalled(task, step, this.parts.progress)) this.stallFound(task, moment)
      else if (isStraggler(task, job, usual, this.parts.progress)) this.parts.decisions.stop(task, 'straggler')
    }
  }

  /** Long-running tasks move at once; others stay if they end before the worker leaves. */
  private evacuate ({ report, running }: KnownWorker, moment: Moment): void {
    const leavesInMs = (report.remainingMs ?? 0) - (moment.now - this.parts.roster.reportedAt(report.worker))
    for (const [name, task] of this.parts.decisions.book.liveOn(report.worker)) {
      const step = this.parts.decisions.book.job(task.jobId)?.steps[task.step]
      const listed = running.get(name)
      if (step === undefined || listed?.run !== task.run) continue
      const rate = this.parts.progress.rate(name, task.run)
      const leftMs = rate === undefined || rate <= 0 ? step.estimateMs : (100 - listed.percent) / rate
      if (step.isLongRunning || leftMs > leavesInMs - evacuationReserveMs) this.parts.decisions.stop(task, 'draining')
    }
  }

  /** A worker on which tasks stand still is as bad as one that fails them. */
  private stallFound (task: JobTask, { now }: Moment): void {
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
