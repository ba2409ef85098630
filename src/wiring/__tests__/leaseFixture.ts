import { defaultNodePolicies, type NodeSettings } from '../../settings'

/** The part of the node settings on which leases depend. */
export function settingsOf (longestLeaseMs: number, longestLeases: boolean): Pick<NodeSettings, 'bounds' | 'scheduling'> {
  const bounds = { longest_lease_ms: longestLeaseMs, grace_s: 2, tolerated_losses: 1 }
  return { bounds, scheduling: { ...defaultNodePolicies.scheduling, longest_leases: longestLeases } }
}
