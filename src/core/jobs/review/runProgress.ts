import type { RunningTask } from '../workers'

interface Progress {
  readonly run: number
  /** When this run was first listed, or listed again after a gap, and its percent at that time. */
  readonly firstSeenAt: number
  readonly firstPercent: number
  percent: number
  /** When the percent last increased. */
  progressedAt: number
  seenAt: number
}

/** Minimum time of observation before a rate is known, in milliseconds; a usual task advances by several percent in this time. */
const minimumObservationMs = 500

/** Gap between lists after which the observation of a run restarts, in milliseconds; a longer gap would itself count as a stall. */
const maximumListGapMs = 3000

/** Tracks the progress and the rate of runs from the lists of workers. Times are in milliseconds of the leader's steady clock. */
export class RunProgress {
  private readonly runs = new Map<string, Progress>()

  clear (): void { this.runs.clear() }

  /** Records the runs listed by one worker. */
  observe (running: readonly RunningTask[], now: number): void {
    for (const { task, run, percent } of running) {
      const known = this.runs.get(task)
      // After a gap it is unknown whether the runs made progress or stood still, as they do while their worker is paused.
      if (known === undefined || known.run !== run || now - known.seenAt > maximumListGapMs) {
        this.runs.set(task, { run, firstSeenAt: now, firstPercent: percent, percent, progressedAt: now, seenAt: now })
        continue
      }
      known.seenAt = now
      if (percent > known.percent) {
        known.percent = percent
        known.progressedAt = now
      }
    }
  }

  forget (task: string): void { this.runs.delete(task) }

  /** How long a run has been listed without progress; 0 if it isn't listed. */
  stalledMs (task: string, run: number): number {
    const progress = this.runs.get(task)
    return progress?.run === run ? progress.seenAt - progress.progressedAt : 0
  }

  /** The progress of a run in percent; 0 if it isn't listed. */
  percent (task: string, run: number): number {
    const progress = this.runs.get(task)
    return progress?.run === run ? progress.percent : 0
  }

  /** Rate of a run that is done now, in percent per millisecond; undefined if it was not listed before. */
  rateOfDone (task: string, run: number, now: number): number | undefined {
    const progress = this.runs.get(task)
    return progress?.run !== run || now <= progress.firstSeenAt ? undefined : (100 - progress.firstPercent) / (now - progress.firstSeenAt)
  }

  /** Rate of a run in percent per millisecond; undefined until it was observed for long enough. */
  rate (task: string, run: number): number | undefined {
    const progress = this.runs.get(task)
    if (progress?.run !== run) return undefined
    const watchedMs = progress.seenAt - progress.firstSeenAt
    return watchedMs < minimumObservationMs ? undefined : (progress.percent - progress.firstPercent) / watchedMs
  }
}
