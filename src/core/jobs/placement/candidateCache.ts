import { createCandidate, type Candidate } from './candidate'
import type { JobBook } from '../book'
import type { KnownWorker } from '../workers'

interface CachedCandidate {
  readonly candidate: Candidate
  readonly known: KnownWorker
  readonly running: KnownWorker['running']
  readonly change: number | undefined
}

/** Caches the candidates of a fleet. A candidate is rebuilt only when its worker, its listed runs or its reservations have changed. */
export class CandidateCache {
  private readonly cached = new Map<string, CachedCandidate>()

  constructor (private readonly book: JobBook) {}

  /** Drops all candidates at the beginning of a leadership. */
  clear (): void { this.cached.clear() }

  /** Drops the candidates of workers that have left the fleet. */
  retain (isKnown: (worker: string) => boolean): void {
    for (const worker of this.cached.keys()) if (!isKnown(worker)) this.cached.delete(worker)
  }

  /** The candidate of a worker at the beginning of a plan. */
  candidateOf (known: KnownWorker, mayTake: number, speed: number): Candidate {
    const { worker } = known.report
    const change = this.book.lastChangeOn(worker)
    const cached = this.cached.get(worker)
    if (cached !== undefined && cached.known === known && cached.running === known.running && cached.change === change) {
      return Object.assign(cached.candidate, { isHeld: false, mayTake, speed })
    }
    const candidate = createCandidate(known, this.book, mayTake, speed)
    this.cached.set(worker, { candidate, known, running: known.running, change })
    return candidate
  }

  /** Drops the candidate of a worker on which a plan has reserved resources. */
  changed (worker: string): void { this.cached.delete(worker) }
}
