/** Which tasks crash their workers: blame from crashes, isolated trials, and giving up. */
export { addCrash, blameOf, clearedAfterMs, countOtherVms, isExhausted, isExplainedByStart, isGuilty, isSameAge, isSuspect, needsPause, sameAgeWindowMs, trialMs, type RequiredProof, type Suspicion, type TaskCrash } from './suspicion'
export { type CrashContext, maximumRecordedAgeMs, type PresentRun, shareBlame } from './blame'
export { addStart, isLimited, withdrawStart } from './startLimit'
export { CrashHistory } from './crashHistory'
