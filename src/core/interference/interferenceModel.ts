/** A measured speed of one task beside its neighbors. */
export interface SpeedSample {
  readonly entry: string
  /** The entries of the tasks which ran there when the sample was taken. */
  readonly neighbors: readonly string[]
  /** Speed compared with running alone; 1 is full speed. */
  readonly speed: number
}

/** Options of an interference model. */
export interface InterferenceModelOptions {
  /** Weight of the newest sample. */
  readonly step: number
  /** Samples by which a pair's slowdown is drawn to none. */
  readonly priorSamples: number
}

interface PairSlowdown {
  value: number
  samples: number
}

/**
 * Learns by how much a task of one entry is slowed down by a neighbor of another one.
 * The slowdowns of several neighbors add up; each sample's error is shared among the pairs in it.
 */
export class InterferenceModel {
  /** The slowdowns of each entry by its neighbors' entries. */
  private readonly pairs = new Map<string, Map<string, PairSlowdown>>()

  constructor (private readonly options: InterferenceModelOptions) {}

  /** Takes one sample. */
  record ({ entry, neighbors, speed }: SpeedSample): void {
    if (neighbors.length === 0 || speed <= 0) return
    const measured = Math.max(0, 1 / speed - 1)
    const expected = this.rawSlowdown(entry, neighbors)
    const share = (measured - expected) / neighbors.length
    for (const neighbor of neighbors) {
      const pair = this.pair(entry, neighbor)
      pair.value = Math.max(0, pair.value + this.options.step * share)
      pair.samples += 1
    }
  }

  /** The expected extra time of a task beside these neighbors, as a share of its time alone. */
  slowdown (entry: string, neighbors: readonly string[]): number {
    const pairs = this.pairs.get(entry)
    if (pairs === undefined) return 0
    let sum = 0
    for (const neighbor of neighbors) {
      const pair = pairs.get(neighbor)
      if (pair !== undefined) sum += pair.value * pair.samples / (pair.samples + this.options.priorSamples)
    }
    return sum
  }

  private rawSlowdown (entry: string, neighbors: readonly string[]): number {
    const pairs = this.pairs.get(entry)
    return neighbors.reduce((sum, neighbor) => sum + (pairs?.get(neighbor)?.value ?? 0), 0)
  }

  private pair (entry: string, neighbor: string): PairSlowdown {
    const pairs = this.pairs.get(entry) ?? new Map<string, PairSlowdown>()
    this.pairs.set(entry, pairs)
    const pair = pairs.get(neighbor) ?? { value: 0, samples: 0 }
    pairs.set(neighbor, pair)
    return pair
  }
}
