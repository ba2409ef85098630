import { createCandidate, type Candidate } from './candidate'
import type { JobBook } from '../book'
import type { KnownWorker } from '../workers'

interface Kept {
  readonly candidate: Candidate
  readonly known: KnownWorker
  readonly running: KnownWorker['running']
  readonly change: number | undefined
}

/** Caches the candidates of a fleet. A candidate is rebuilt only when its worker, its listed runs or its reservations have changed. */
export class CandidateList {
  private readonly kept = new Map<string, Kept>()

  constructor (private readonly book: JobBook) {}

  /** Drops all candidates at the beginning of a leadership. */
  clear (): void { this.kept.clear() }

  /** Drops the candidates of workers that have left the fleet. */
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

  /** Drops the candidate of a worker on which a plan has reserved resources. */
  changed (worker: string): void { this.kept.delete(worker) }
}
