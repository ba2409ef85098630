import type { RunningTask } from '../workers'

interface Progress {
  readonly run: number
  /** When this run was first listed, or listed again after a silence, and how far it was. */
  readonly firstSeenAt: number
  readonly firstPercent: number
  percent: number
  /** When the percent last rose. */
  roseAt: number
  seenAt: number
}

/** A rate counts once a run was watched this long, in milliseconds; several steps of one percent of a usual task. */
const shortestWatchMs = 500

/** Silence after which a run is watched anew, in milliseconds; one as long as this would count as a stall by itself. */
const longestSilenceMs = 3000

/** How far runs are and how fast they get on, from what workers list; times are the leader's, in milliseconds. */
export class RunProgress {
  private readonly runs = new Map<string, Progress>()

  clear (): void { this.runs.clear() }

  /** Takes what one worker lists. */
  observe (running: readonly RunningTask[], now: number): void {
    for (const { task, run, percent } of running) {
      const known = this.runs.get(task)
      // Of a worker that was silent it isn't known whether its runs stood still, as they do while it is paused, or got on.
      if (known === undefined || known.run !== run || now - known.seenAt > longestSilenceMs) {
        this.runs.set(task, { run, firstSeenAt: now, firstPercent: percent, percent, roseAt: now, seenAt: now })
        continue
      }
      known.seenAt = now
      if (percent > known.percent) {
        known.percent = percent
        known.roseAt = now
      }
    }
  }

  forget (task: string): void { this.runs.delete(task) }

  /** How long a run has been listed without getting on; 0 if it isn't listed. */
  stillMs (task: string, run: number): number {
    const progress = this.runs.get(task)
    return progress?.run === run ? progress.seenAt - progress.roseAt : 0
  }

  /** How far a run is, in percent. */
  percent (task: string, run: number): number {
    const progress = this.runs.get(task)
    return progress?.run === run ? progress.percent : 0
  }

  /** Percent per millisecond of a run that is done now; undefined if it was not listed before. */
  rateOfDone (task: string, run: number, now: number): number | undefined {
    const progress = this.runs.get(task)
    return progress?.run !== run || now <= progress.firstSeenAt ? undefined : (100 - progress.firstPercent) / (now - progress.firstSeenAt)
  }

  /** Percent per millisecond; undefined before it was watched for long enough. */
  rate (task: string, run: number): number | undefined {
    const progress = this.runs.get(task)
    if (progress?.run !== run) return undefined
    const watchedMs = progress.seenAt - progress.firstSeenAt
    return watchedMs < shortestWatchMs ? undefined : (progress.percent - progress.firstPercent) / watchedMs
  }
}
