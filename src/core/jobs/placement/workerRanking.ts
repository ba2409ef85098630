import type { Candidate } from './candidate'

/** How well a worker suits; undefined if it can't be taken. */
export type Suitability = (candidate: Candidate) => number | undefined

/** The workers for the tasks of one step. A worker is weighed once, and again only when it was given something. */
export class WorkerRanking {
  private readonly scores: Array<number | undefined>

  constructor (private readonly candidates: readonly Candidate[], private readonly suitability: Suitability) {
    this.scores = candidates.map(suitability)
  }

  /** The best worker, the first among equals; undefined if none can be taken. */
  best (): Candidate | undefined {
    let best: number | undefined
    for (let position = 0; position < this.scores.length; position += 1) {
      const score = this.scores[position]
      if (score !== undefined && (best === undefined || score > (this.scores[best] ?? Number.NEGATIVE_INFINITY))) best = position
    }
    return best === undefined ? undefined : this.candidates[best]
  }

  /** Weighs a worker again. */
  update (candidate: Candidate): void {
    this.scores[this.candidates.indexOf(candidate)] = this.suitability(candidate)
  }
}
