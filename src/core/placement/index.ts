/** Assignment of tasks to workers: placement policies, planning and preemption. */
export { fitsSomeWorker, FirstFitPlacement, LeastLoadedPlacement, PlacementPolicy, SpreadingPlacement, type PlacementTask, type PlacementWorker, type SpreadingOptions } from './placementPolicy'
export { Planner, type Plan, type PlannedAssignment, type PlannerOptions, type PlanningInput } from './planner'
export { EvictionBudget } from './evictionBudget'
export { planEvictions, type EvictableTask, type PreemptionInput, type PreemptionWorker } from './preemption'
export { InterferencePlacement } from './interferencePlacement'
