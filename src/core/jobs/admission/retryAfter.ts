import { createHash } from 'node:crypto'

/** Callers try four times, and a refused job still has to run within three objectives, so a longer delay is of no use. */
const maximumDelayS = 10
const minimumDelayS = 1
const msPerS = 1000

/**
 * The delay after which a refused caller should retry, in whole seconds: the expected wait for capacity plus a jitter of up to
 * half of it, derived from the job id, and if possible at most `latestMs`, after which a retry is of no use. The jitter keeps
 * the callers of a refused burst from returning all at once.
 */
export function retryAfterSeconds (jobId: string, waitMs: number, latestMs: number): number {
  const base = Math.min(maximumDelayS, Math.max(minimumDelayS, Math.ceil(waitMs / msPerS)))
  const jitter = createHash('sha256').update(jobId).digest().readUInt32BE() % (1 + Math.ceil(base / 2))
  const latest = Math.min(maximumDelayS, Math.max(minimumDelayS, Math.floor(latestMs / msPerS)))
  // Where the jitter would exceed the latest useful delay, it is subtracted from that delay instead.
  return base + jitter <= latest ? base + jitter : Math.max(minimumDelayS, latest - jitter)
}
