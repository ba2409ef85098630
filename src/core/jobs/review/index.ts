/** Progress of runs, and which of them are stopped. */
export { CrashReview } from './crashReview'
export { RunReview, type RunReviewParts } from './runReview'
export { RunProgress } from './runProgress'
export { type UsualRate, UsualRates } from './usualRates'
export { isStalled, isStraggler, relativeSpeed, medianRate } from './stragglers'
