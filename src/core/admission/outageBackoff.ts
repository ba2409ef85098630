/** The shortest time to come back, in milliseconds: an election takes about as long. */
const shortestMs = 1000
/** The longest time to come back, in milliseconds: callers try four times, and so outlast about ten seconds; a longer pause would add to every objective. */
const longestMs = 3000

/**
 * When callers that are refused for want of a leader should come back, in whole seconds given in milliseconds. Load
 * pattern: all control replicas lose power for several seconds, and callers that try again every second have used up
 * their tries before a leader is back. An outage that has lasted for long is expected to last as long again.
 */
export function outageBackoffMs (outageMs: number): number {
  return Math.min(longestMs, Math.max(shortestMs, Math.round(outageMs / 1000) * 1000))
}
