import { BoundedMap } from '../../boundedMap'
import { isJobId } from './job'

/** A cancel of a job that was not known, as its submission may still be on its way. */
export interface EarlyCancel {
  readonly jobId: string
  /** Wall-clock time of the leader that took it, in milliseconds. */
  readonly at: number
}

/** How long an early cancel counts, in milliseconds: longer than a caller waits and a VM is suspended, and as long as the platform wants the state of an ended job to be readable. */
const retentionMs = 120_000
/** Maximum number of early cancels; with more, the oldest are forgotten. Callers may cancel any id, so it bounds what they can add to snapshots. */
const maximumCancels = 10_000

/** The recent cancels of unknown jobs. */
export class EarlyCancels {
  private readonly cancels = new BoundedMap<string, EarlyCancel>(maximumCancels)

  /** Whether a job was cancelled early; `at` is the wall-clock time in milliseconds. */
  has (jobId: string, at: number): boolean {
    const cancel = this.cancels.get(jobId)
    return cancel !== undefined && cancel.at >= at - retentionMs
  }

  /** Adds a cancel, and forgets those that no longer count by then. Returns false if no job can have the id. */
  add (cancel: EarlyCancel): boolean {
    if (!isJobId(cancel.jobId)) return false
    for (const { jobId, at } of this.cancels.values()) {
      if (at >= cancel.at - retentionMs) break
      this.cancels.delete(jobId)
    }
    this.cancels.set(cancel.jobId, cancel)
    return true
  }

  delete (jobId: string): void { this.cancels.delete(jobId) }

  /** All that are remembered, the oldest first. */
  save (): readonly EarlyCancel[] { return [...this.cancels.values()] }

  load (cancels: readonly EarlyCancel[]): void {
    this.cancels.clear()
    for (const cancel of cancels) this.cancels.set(cancel.jobId, cancel)
  }
}
