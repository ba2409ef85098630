/** The minimum delay before a retry, in milliseconds: a leader election takes about as long. */
const minimumBackoffMs = 1000
/** The maximum delay before a retry, in milliseconds. Callers make four attempts and thereby survive an outage of about ten seconds; a longer delay would worsen every latency objective. */
const maximumBackoffMs = 3000

/**
 * The delay after which a caller that was refused because there is no leader should retry: whole seconds, in milliseconds.
 * The delay grows with the outage, because an outage is expected to last as long again as it has lasted. With a fixed delay
 * of a second, callers exhaust their attempts when all control replicas lose power for several seconds.
 */
export function outageBackoffMs (outageMs: number): number {
  return Math.min(maximumBackoffMs, Math.max(minimumBackoffMs, Math.round(outageMs / 1000) * 1000))
}
