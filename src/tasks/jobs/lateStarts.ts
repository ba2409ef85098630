import type { RunOrder } from '../../core/jobs'

/** How long after it was sent an order without an answer may be carried out, in milliseconds; the platform's longest such delay, and some time for its way. */
const longestDelayMs = 15_000

interface LateStart {
  readonly workerId: string
  readonly order: RunOrder
  readonly possibleUntil: number
}

/** Starts without an answer which may still be carried out, also by a later boot under the same id. */
export class LateStarts {
  private starts: LateStart[] = []

  add (workerId: string, order: RunOrder, now: number): void {
    this.starts = [...this.starts.filter(start => start.possibleUntil > now), { workerId, order, possibleUntil: now + longestDelayMs }]
  }

  /** The orders which a boot under an id may still get. */
  possibleAt (workerId: string, now: number): readonly RunOrder[] {
    return this.starts.filter(start => start.workerId === workerId && start.possibleUntil > now).map(start => start.order)
  }
}
