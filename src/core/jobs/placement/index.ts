/** Which worker a waiting task gets. */
export { add, type Candidate, couldGetRoom, couldRun, createCandidate, isLightlyReserved, mayRun, placesAt, takeRoom } from './candidate'
export { CandidateList } from './candidateList'
export { type ChoiceContext, suitability, tasksLeftBelowMaximum } from './runPlacement'
export { LearningPolicy, PlacementPolicy } from './placementPolicy'
export { RoomMaking } from './roomMaking'
export { type Suitability, WorkerRanking } from './workerRanking'
export { WorkerTrials, type WorkerTrialsParts } from './workerTrials'
export { type LoadSummary, type Moment, RunPlanner, type RunPlannerParts } from './runPlanner'
