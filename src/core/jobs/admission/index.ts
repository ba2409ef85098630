/** Admission control: which jobs are accepted under load, and when refused callers should retry. */
export { Admission, type AdmissionRefusal, type AdmissionSummary } from './admission'
export { AcceptAllPolicy, AdmissionPolicy, type AdmissionRequest, LimitingPolicy, type LimitingPolicyOptions, type Overload } from './admissionPolicy'
export { type BacklogAmounts, BacklogModel, type PoolBacklog, type WorkKind, type WorkBucket } from './backlogModel'
export { type Prediction, predictEnd, usableCapacity, type UsableCapacity } from './prediction'
export { RefusedJobs, type RefusedJob, type ExpectedWork } from './refusedJobs'
export { retryAfterSeconds } from './retryAfter'
