/** Makes a repeatable source of random numbers from 0 to 1. */
export function createRandom (seed: number): () => number {
  let state = seed >>> 0
  return () => {
    state = (state + 0x6d2b79f5) >>> 0
    let mixed = Math.imul(state ^ (state >>> 15), state | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32
  }
}

/** The value below which a share of the values lies. */
export function percentile (values: readonly number[], share: number): number {
  const sorted = [...values].sort((a, b) => a - b)
  return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? 0
}

/** Rounds a figure for a report. */
export function round (value: number, digits = 2): number {
  return Number(value.toFixed(digits))
}

/** A seed made from a text. */
export function hashOf (text: string): number {
  let hash = 0x811c9dc5
  for (const character of text) hash = Math.imul(hash ^ (character.codePointAt(0) ?? 0), 0x01000193)
  return hash >>> 0
}
