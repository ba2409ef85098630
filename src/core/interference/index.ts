/** Interference between tasks that share a worker. */
export { InterferenceModel, type InterferenceModelOptions, type SpeedSample } from './interferenceModel'
export { NeighborHistory } from './neighborHistory'
export { ThrottleController, type ThrottleDecision, type ThrottleOptions } from './throttleController'
