import type { LeaseTableOptions } from '../core/leases'
import type { NodeSettings } from '../settings'

/** Default length of a lease if workers allow it, in milliseconds: twice the time of an election and a reconnect. */
const defaultLeaseMs = 5000
/** The largest fraction by which a worker's clock may run slow, as the platform states. */
const maximumClockDrift = 0.02
/** Silence after which a worker gets no further tasks, in milliseconds: two looks. It does not grow with the lease, so that a long lease does not place tasks at a lost worker. */
const maximumSilenceMs = 2500

/** The length of a lease, in milliseconds; agents and control replicas must use the same. */
export function leaseMsOf ({ bounds, scheduling }: Pick<NodeSettings, 'bounds' | 'scheduling'>): number {
  return scheduling.longest_leases ? bounds.longest_lease_ms : Math.min(defaultLeaseMs, bounds.longest_lease_ms)
}

/** The options of the leases that a control replica grants; a former leader may continue to grant leases for `formerLeaderMs` milliseconds. */
export function leaseOptionsOf (settings: Pick<NodeSettings, 'bounds' | 'scheduling'>, formerLeaderMs: number): LeaseTableOptions {
  const durationMs = leaseMsOf(settings)
  return { durationMs, maximumDrift: maximumClockDrift, formerLeaderMs, heardWithinMs: Math.min(maximumSilenceMs, durationMs / 2), suspensionMs: settings.scheduling.suspension_ms }
}
