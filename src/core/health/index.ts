/** Worker health: quarantine of workers on which different tasks fail. */
export { WorkerHealth, type WorkerHealthOptions, type WorkerStanding } from './workerHealth'
