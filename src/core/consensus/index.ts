/** The consensus of a control group. */
export type { ConsensusMessage, Envelope, HardState, LogEntry, StateSnapshot } from './consensusMessage'
export { Replica, type DurableChange, type MemberState, type ReplicaEffects, type ReplicaOptions } from './replica'
