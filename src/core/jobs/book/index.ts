/** Replicated state of jobs: their graphs, their runs and the leader's decisions about them. */
export { countOccurrences, countTasks, criticalPathMs, isJobId, type Job, jobIdLength, type JobState, type JobTask, maximumSteps, maximumTasks, nameTask, plainStep, reservationOf, type RunEnd, type Schedule, shownStateOf, type Step, type Submission } from './job'
export { type Evacuation, JobBook, type JobBookSnapshot, type StepTasks } from './jobBook'
export type { AcceptJob, AssignRun, BeginJobs, CancelJob, ClearSuspicion, EndEvacuation, EndRun, JobOperation, LearnPressures, PutManifest, ReleaseRun, StartEvacuation } from './jobOperation'
export { findQueue, type Manifest, type Queue, type WorkerPool } from './manifest'
export { DecisionLog, type ReleaseBasis, type ReleaseDetails, type ReleasedRun } from './decisionLog'
export type { ReleaseCause, RunFinding, WorkerLack, WorkerRoom } from './runFinding'
export { maximumPairs, pairOf, type ImagePressure } from './imagePressure'
export type { RunStop, StopReason } from './runStop'
