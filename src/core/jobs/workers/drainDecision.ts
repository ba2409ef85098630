/** Time reserved to stop runs before their draining worker leaves, in milliseconds; a stop takes up to 0.9 s, and the decision has to reach the worker. */
export const stopReserveMs = 1200
/** Time within which the next heartbeat of a worker arrives, in milliseconds: the platform's interval of 1.5 s and a margin. */
const nextHeartbeatMs = 1800

/**
 * How long the runs of a worker that is said to drain stay, in milliseconds. Anybody can send a heartbeat that says so, and the next one of
 * the worker contradicts it; the runs wait for that one as far as the time left allows to stop them.
 */
export function drainDecisionDelayMs (remainingMs: number): number {
  return Math.min(nextHeartbeatMs, Math.max(0, remainingMs - stopReserveMs))
}
