/** Filling tasks on workers with serving tasks: the learned interference between their images, and the speed at which they work. */
export { type FillingImage, FillPacing, type PressureOfPair, type ServingTask } from './fillPacing'
export { idleServingShare, usedShare } from './processorShares'
export { type PairStanding, PressureModel, priorPressure, type ServingSample, standingOf, type WorkerSample } from './pressureModel'
export { OnlineRegression, type WeightEstimate } from './onlineRegression'
