/** The consensus protocol of a control group. */
export type { ConsensusMessage, Envelope, HardState, LogEntry, StateSnapshot } from './consensusMessage'
export type { DurableChange, ReplicaEffects } from './effectQueue'
export { Replica, type MemberState, type ReplicaOptions } from './replica'
