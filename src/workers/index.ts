/** Interfaces and clients for the workers of the platform. */
export { WorkerPlatform, type AttemptId, type AttemptReport, type LeaseRenewal, type TaskOrder, type WorkerReport } from './workerPlatform'
export { HttpWorkerPlatform, type HttpWorkerPlatformOptions } from './httpWorkerPlatform'
export { WorkerDriver, type LookOutcome, type LookRequest, type OrderContext, type OrderOutcome, type StartRefusal } from './workerDriver'
