import type { RunOrder } from '../../core/jobs'

/** How long after it was sent an order without an answer may be carried out, in milliseconds; the platform's longest such delay, and some time for its way. */
const longestDelayMs = 15_000

/** A start without an answer. */
export interface LateStart {
  /** The boot at which it was ordered. */
  readonly worker: string
  readonly workerId: string
  readonly order: RunOrder
}

interface KeptStart extends LateStart {
  readonly possibleUntil: number
}

/** Starts without an answer which may still be carried out, also by a later boot under the same id. */
export class LateStarts {
  private starts: readonly KeptStart[] = []

  add (start: LateStart, now: number): void {
    this.starts = [...this.starts.filter(({ possibleUntil }) => possibleUntil > now), { ...start, possibleUntil: now + longestDelayMs }]
  }

  /** The starts which a boot under an id may still get. */
  possibleAt (workerId: string, now: number): readonly LateStart[] {
    return this.starts.filter(start => start.workerId === workerId && start.possibleUntil > now)
  }
}
