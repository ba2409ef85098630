import { type DecisionLog, type JobTask, nameTask } from '../book'
import type { WorkerRoster } from '../workers'
import { reportIntervalMs } from './longRunningWaits'

interface Absence {
  readonly task: JobTask
  readonly since: number
}

/** Reports live long-running tasks that their workers don't list as at work, once per interval and step; soft state of one leader. */
export class LongRunningAbsences {
  /** Since when runs have not been at work, in milliseconds of the steady clock. */
  private absentSince: ReadonlyMap<string, number> = new Map()
  /** When steps were last reported, in milliseconds of the steady clock, by their names. */
  private readonly reportedAt = new Map<string, number>()

  constructor (private readonly decisions: DecisionLog, private readonly roster: WorkerRoster) {}

  /** Drops all absences at the beginning of a leadership. */
  clear (): void {
    this.absentSince = new Map()
    this.reportedAt.clear()
  }

  /** Adds findings for the steps that are due. */
  review (now: number): void {
    for (const [step, at] of this.reportedAt) if (now - at >= reportIntervalMs) this.reportedAt.delete(step)
    const absentSince = new Map<string, number>()
    const steps = new Map<string, Absence[]>()
    for (const task of this.absentTasks()) {
      const run = `${nameTask(task)}#${task.run}`
      const since = this.absentSince.get(run) ?? now
      absentSince.set(run, since)
      if (now - since < reportIntervalMs) continue
      const step = `${task.jobId}.${task.occurrence}.${task.step}`
      steps.set(step, [...steps.get(step) ?? [], { task, since }])
    }
    this.absentSince = absentSince
    for (const [step, absences] of steps) this.report(step, absences, now)
  }

  private * absentTasks (): Iterable<JobTask> {
    for (const job of this.decisions.book.openJobs()) {
      if (!job.steps.some(step => step.isLongRunning)) continue
      for (const task of job.tasks) {
        if (task.state !== 'live' || job.steps[task.step]?.isLongRunning !== true) continue
        const listed = this.roster.find(task.worker)?.running.get(nameTask(task))
        if (listed?.run !== task.run || listed.percent < 100) yield task
      }
    }
  }

  private report (step: string, absences: readonly Absence[], now: number): void {
    if (this.reportedAt.has(step)) return
    this.reportedAt.set(step, now)
    const { task, since } = absences.reduce((longest, absence) => absence.since < longest.since ? absence : longest)
    const known = this.roster.find(task.worker)
    const listed = known?.running.get(nameTask(task))
    this.decisions.addFinding({
      type: 'notAtWork',
      step,
      tasks: absences.length,
      task: nameTask(task),
      run: task.run,
      worker: task.worker,
      absentMs: now - since,
      isConnected: known?.isConnected === true,
      listedRun: listed?.run,
      percent: listed?.percent
    })
  }
}
