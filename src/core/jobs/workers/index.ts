/** Reports of workers, and what the leader derives from them. */
export { drainDecisionDelayMs, stopReserveMs } from './drainDecision'
export { isSuperseded, nameBoot, parseBoot, type WorkerBoot } from './workerBoot'
export type { AbsenceReason, CrashedRun, EndedRun, FormerBoot, RunOrder, RunningTask, WorkerCrash, WorkerLook, WorkerReport } from './workerReport'
export { type KnownWorker, WorkerRoster } from './workerRoster'
export { RecentSpeeds, type SpeedObservation, WeightedSpeeds, WorkerSpeeds } from './workerSpeeds'
