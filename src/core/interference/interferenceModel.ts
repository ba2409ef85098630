/** A measured speed of a task that shares its worker with neighbors. */
export interface SpeedSample {
  readonly entry: string
  /** The entries of the other tasks that ran on the worker when the sample was taken. */
  readonly neighbors: readonly string[]
  /** Speed relative to running alone; 1 is full speed. */
  readonly speed: number
}

/** Options of an InterferenceModel. */
export interface InterferenceModelOptions {
  /** Learning rate: the weight of the newest sample. */
  readonly step: number
  /** Weight of the prior of no slowdown, as a number of samples; it shrinks the estimates of pairs with few samples. */
  readonly priorSamples: number
}

interface PairSlowdown {
  value: number
  samples: number
}

/**
 * Learns how much a task of one entry is slowed down by a neighbor of another entry.
 * The slowdowns by several neighbors add up; the error of a sample is divided evenly among its pairs.
 */
export class InterferenceModel {
  /** The slowdown estimates by entry and neighbor's entry. */
  private readonly pairs = new Map<string, Map<string, PairSlowdown>>()

  constructor (private readonly options: InterferenceModelOptions) {}

  /** Updates the estimates with one sample. */
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

  /** The expected additional run time of a task with these neighbors, as a fraction of its run time alone. */
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
