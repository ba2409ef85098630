import type { Candidate } from './candidate'

/** Scores a worker, higher is better; undefined if it can't be chosen. */
export type Suitability = (candidate: Candidate) => number | undefined

/** Ranks the workers for the tasks of one step. Each worker is scored once, and again only after an assignment to it. */
export class WorkerRanking {
  private readonly scores: Array<number | undefined>

  constructor (private readonly candidates: readonly Candidate[], private readonly suitability: Suitability) {
    this.scores = candidates.map(suitability)
  }

  /** The worker with the highest score, the first among equals; undefined if none can be chosen. */
  best (): Candidate | undefined {
    let best: number | undefined
    for (let position = 0; position < this.scores.length; position += 1) {
      const score = this.scores[position]
      if (score !== undefined && (best === undefined || score > (this.scores[best] ?? Number.NEGATIVE_INFINITY))) best = position
    }
    return best === undefined ? undefined : this.candidates[best]
  }

  /** Recomputes the score of a worker after an assignment. */
  update (candidate: Candidate): void {
    this.scores[this.candidates.indexOf(candidate)] = this.suitability(candidate)
  }
}
