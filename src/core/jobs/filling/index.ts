/** Filling tasks on workers with serving tasks: the learned interference between their images, and the speed at which they work. */
export { FillPacing, type ServingTask, type StandingOfPair } from './fillPacing'
export { hasSpareProcessors, idleServingShare, isNegligible, imageAddedLoad, unusedProcessors } from './fillingLoad'
export { type ImagePressure, maximumPairs, pairOf, type PairStanding, PressureModel, type ServingSample, standingOf, type WorkerSample } from './pressureModel'
export { OnlineRegression, type WeightEstimate } from './onlineRegression'
