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

/** Starts which have no answer and may still be carried out, also by a later boot under the same id. */
export class LateStarts {
  private starts: readonly KeptStart[] = []

  /** Keeps a start that is sent now. Returns what is to be called once an answer has come, after which it can't be late. */
  add (start: LateStart, now: number): () => void {
    const kept: KeptStart = { ...start, possibleUntil: now + longestDelayMs }
    this.starts = [...this.starts.filter(({ possibleUntil }) => possibleUntil > now), kept]
    return () => { this.starts = this.starts.filter(other => other !== kept) }
  }

  /** The starts which a boot under an id may still get. */
  possibleAt (workerId: string, now: number): readonly LateStart[] {
    return this.starts.filter(start => start.workerId === workerId && start.possibleUntil > now)
  }
}
