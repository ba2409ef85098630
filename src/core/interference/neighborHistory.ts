interface NeighborSet {
  readonly since: number
  readonly entries: readonly string[]
}

/** What ran on a worker at each time, so that a lagged sample counts for the set which ran when it was taken. */
export class NeighborHistory {
  private sets: NeighborSet[] = []

  constructor (private readonly keptMs: number) {}

  /** Notes the entries of the tasks which run from now on. */
  note (entries: readonly string[], now: number): void {
    this.sets.push({ since: now, entries })
    const oldest = now - this.keptMs
    while (this.sets.length > 1 && (this.sets[1]?.since ?? now) < oldest) this.sets.shift()
  }

  /** The set at a time; undefined when it is no longer known. */
  at (time: number): readonly string[] | undefined {
    return this.sets.findLast(set => set.since <= time)?.entries
  }
}
