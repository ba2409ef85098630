/** Who waits, who is shed, and how often a request is tried again. */
export { FairQueue, type Enqueued, type Priority, type QueuedRequest } from './fairQueue'
export { RetryBudget, type RetryBudgetOptions } from './retryBudget'
export { outageBackoffMs } from './outageBackoff'
