/** Filling tasks beside serving ones: what is learned of their images, and how fast they may work. */
export { FillPacing, type ServingTask, type StandingOfPair } from './fillPacing'
export { hasSpareProcessors, idleShare, isNegligible, ownLoad, unusedProcessors } from './fillingLoad'
export { type ImagePressure, maximumPairs, pairOf, type PairStanding, PressureModel, type ServingSample, standingOf, type WorkerSample } from './pressureModel'
export { OnlineRegression, type Weight } from './onlineRegression'
