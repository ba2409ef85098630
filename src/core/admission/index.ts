/** Admission control: queueing, load shedding, retry limits and backoff. */
export { FairQueue, type EnqueueResult, type Priority, type QueuedRequest } from './fairQueue'
export { RetryBudget, type RetryBudgetOptions } from './retryBudget'
export { outageBackoffMs } from './outageBackoff'
