/** Which tasks crash their workers: blame from crashes, isolated trials, and giving up. */
export { addCrash, blameOf, clearedAfterMs, isGuilty, type Suspicion, type TaskCrash } from './suspicion'
export { type CrashContext, type PresentRun, shareBlame } from './blame'
export { CrashHistory } from './crashHistory'
