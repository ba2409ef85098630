/** The health of workers. */
export { WorkerHealth, type WorkerHealthOptions, type WorkerStanding } from './workerHealth'
