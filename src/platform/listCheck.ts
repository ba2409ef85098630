/** What of an answer of a worker is compared with its former answers. */
export interface WorkerList {
  readonly bornMs: number
  readonly clockMs: number
  readonly ends: ReadonlyArray<{ readonly sequence: number }>
}

/** What the last accepted answer showed. Times are in milliseconds. */
interface Standing {
  readonly workerId: string
  readonly bornMs: number
  readonly clockMs: number
  readonly highestEnd: number
  /** When the answer arrived, by the agent's steady clock. */
  readonly at: number
}

/** How far a worker's clock may be from where it was expected, in milliseconds; answers wait this long at a busy worker. */
const clockToleranceMs = 1000
/** How much faster or slower than the agent's clock the worker's may run, as a fraction; the platform states 0.02. */
const clockDrift = 0.05
/** How far the sequence numbers of ends may be above the highest known one; an answer lists at most 500. */
const maximumSequenceLead = 1000

/**
 * Tells answers that follow from the former ones of a worker from those that don't. Clocks and sequence numbers raise what
 * leases last and what is acknowledged, and another boot ends the former one, all of which can't be taken back; so an answer
 * with a jump in them counts only if a second one agrees.
 */
export class ListCheck {
  private standing: Standing | undefined

  /** Whether an answer that arrived now follows from the last accepted one; false for the first of a worker. */
  isExpected (workerId: string, list: WorkerList, now: number): boolean {
    return this.standing !== undefined && follows(this.standing, standingOf(workerId, list, now))
  }

  /** Whether an answer agrees with an earlier one that was not expected. */
  agrees (earlier: WorkerList, earlierAt: number, list: WorkerList, now: number): boolean {
    return follows(standingOf('', earlier, earlierAt), standingOf('', list, now))
  }

  /** Records an accepted answer. */
  accept (workerId: string, list: WorkerList, now: number): void {
    const { standing } = this
    const isSameBoot = standing?.workerId === workerId && standing.bornMs === list.bornMs
    const next = standingOf(workerId, list, now)
    this.standing = isSameBoot ? { ...next, highestEnd: Math.max(standing.highestEnd, next.highestEnd) } : next
  }
}

function standingOf (workerId: string, { bornMs, clockMs, ends }: WorkerList, at: number): Standing {
  return { workerId, bornMs, clockMs, at, highestEnd: ends.reduce((highest, { sequence }) => Math.max(highest, sequence), 0) }
}

function follows (former: Standing, next: Standing): boolean {
  const elapsedMs = next.at - former.at
  const deviationMs = Math.abs(next.clockMs - former.clockMs - elapsedMs)
  return next.workerId === former.workerId && next.bornMs === former.bornMs &&
    deviationMs <= clockToleranceMs + clockDrift * elapsedMs &&
    next.highestEnd <= former.highestEnd + maximumSequenceLead
}
