import { createCandidate, type Candidate } from './candidate'
import type { JobBook } from '../book'
import type { KnownWorker } from '../workers'

interface Kept {
  readonly candidate: Candidate
  readonly known: KnownWorker
  readonly running: KnownWorker['running']
  readonly change: number | undefined
}

/** The candidates of a fleet, each made anew only when its worker, what it lists or what is reserved there has changed. */
export class CandidateList {
  private readonly kept = new Map<string, Kept>()

  constructor (private readonly book: JobBook) {}

  /** Forgets all of them, for a new leadership. */
  clear (): void { this.kept.clear() }

  /** Forgets workers which are not in the fleet any more. */
  retain (isKnown: (worker: string) => boolean): void {
    for (const worker of this.kept.keys()) if (!isKnown(worker)) this.kept.delete(worker)
  }

  /** The candidate of a worker at the beginning of a plan. */
  take (known: KnownWorker, mayTake: number, speed: number): Candidate {
    const { worker } = known.report
    const change = this.book.lastChangeOn(worker)
    const kept = this.kept.get(worker)
    if (kept !== undefined && kept.known === known && kept.running === known.running && kept.change === change) {
      return Object.assign(kept.candidate, { isHeld: false, mayTake, speed })
    }
    const candidate = createCandidate(known, this.book, mayTake, speed)
    this.kept.set(worker, { candidate, known, running: known.running, change })
    return candidate
  }

  /** Has the candidate of a worker made anew, as a plan has taken from its room. */
  changed (worker: string): void { this.kept.delete(worker) }
}
