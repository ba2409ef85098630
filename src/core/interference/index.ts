/** Interference between tasks that share a worker. */
export { InterferenceModel, type InterferenceModelOptions, type SpeedSample } from './interferenceModel'
export { NeighborHistory } from './neighborHistory'
export { ThrottleControl, type ThrottleDecision, type ThrottleOptions } from './throttleControl'
