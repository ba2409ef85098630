import { createHash } from 'node:crypto'

/** Callers try four times and a refused job still has to run within three objectives, so a longer pause serves nobody. */
const longestS = 10
const shortestS = 1
const msPerS = 1000

/**
 * After how many whole seconds a refused caller should come back: when capacity is expected, up to half as much later by
 * the id of its job, and if possible before `latestMs`, after which it gains nothing. Addresses refused bursts, whose callers
 * would otherwise all return at once.
 */
export function retryAfterSeconds (jobId: string, waitMs: number, latestMs: number): number {
  const base = Math.min(longestS, Math.max(shortestS, Math.ceil(waitMs / msPerS)))
  const spread = createHash('sha256').update(jobId).digest().readUInt32BE() % (1 + Math.ceil(base / 2))
  const latest = Math.min(longestS, Math.max(shortestS, Math.floor(latestMs / msPerS)))
  // Those for which the whole spread is too late are spread over what is left.
  return base + spread <= latest ? base + spread : Math.max(shortestS, latest - spread)
}
