/** What workers say of themselves. */
export { isSuperseded, nameBoot, parseBoot, type WorkerBoot } from './workerBoot'
export type { AbsenceReason, EndedRun, FormerBoot, RunOrder, RunningTask, WorkerLook, WorkerReport } from './workerReport'
export { type KnownWorker, WorkerRoster } from './workerRoster'
export { RecentSpeeds, type SpeedObservation, WeighedSpeeds, WorkerSpeeds } from './workerSpeeds'
