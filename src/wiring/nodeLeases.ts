import type { LeaseTableOptions } from '../core/leases'
import type { NodeSettings } from '../settings'

/** The lease that workers get if they allow it, in milliseconds: an election and a reconnect fit in twice. */
const wantedLeaseMs = 5000
/** The most by which a worker's clock may run slow, as a share of time, as the platform states. */
const maximumClockDrift = 0.02
/** Silence after which a worker gets no more tasks, in milliseconds: two looks. A longer lease must not let tasks start at a worker that is lost. */
const heardWithinMs = 2500

/** The length of a lease, in milliseconds; the same at agents and control replicas. */
export function leaseMsOf ({ bounds, scheduling }: Pick<NodeSettings, 'bounds' | 'scheduling'>): number {
  return scheduling.longest_leases ? bounds.longest_lease_ms : Math.min(wantedLeaseMs, bounds.longest_lease_ms)
}

/** The leases that a control replica grants; a former leader may go on granting for `formerLeaderMs` milliseconds. */
export function leaseOptionsOf (settings: Pick<NodeSettings, 'bounds' | 'scheduling'>, formerLeaderMs: number): LeaseTableOptions {
  const durationMs = leaseMsOf(settings)
  return { durationMs, maximumDrift: maximumClockDrift, formerLeaderMs, heardWithinMs: Math.min(heardWithinMs, durationMs / 2) }
}
