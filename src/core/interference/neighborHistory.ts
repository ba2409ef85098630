interface NeighborSet {
  readonly since: number
  readonly entries: readonly string[]
}

/** The sets of tasks that ran on a worker over time, so that a delayed sample is attributed to the set that ran when it was taken. */
export class NeighborHistory {
  private sets: NeighborSet[] = []

  constructor (private readonly retentionMs: number) {}

  /** Records the entries of the tasks that run from now on. */
  record (entries: readonly string[], now: number): void {
    this.sets.push({ since: now, entries })
    const oldest = now - this.retentionMs
    while (this.sets.length > 1 && (this.sets[1]?.since ?? now) < oldest) this.sets.shift()
  }

  /** The entries that ran at a time, in milliseconds; undefined if that time is no longer kept. */
  at (time: number): readonly string[] | undefined {
    return this.sets.findLast(set => set.since <= time)?.entries
  }
}
