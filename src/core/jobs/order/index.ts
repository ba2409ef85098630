/** The order in which waiting tasks are assigned to workers. */
export { DueOrder } from './dueOrder'
export { FairOrder } from './fairOrder'
export { JobOrder } from './jobOrder'
export { objectiveMs, worthlessAfterObjectives } from './objective'
export { createOrder, type OrderName } from './orderName'
export { ValueOrder } from './valueOrder'
export { divideMaxMin, type PoolCapacity, type ZoneShare, ZoneShares } from './zoneShares'
