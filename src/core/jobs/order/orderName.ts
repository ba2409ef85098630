import { declaredDurations, type TaskDurations } from '../durations'
import { DueOrder } from './dueOrder'
import { FeasibleOrder } from './feasibleOrder'
import { FairOrder } from './fairOrder'
import type { JobOrder } from './jobOrder'

/** The orders that can be selected in the settings. */
export type OrderName = 'due' | 'feasible'

/** Creates an order by its name, optionally with fair shares between callers' zones. */
export function createOrder (name: OrderName, sharesFairly = false, durations: TaskDurations = declaredDurations): JobOrder {
  const order = name === 'feasible' ? new FeasibleOrder(durations) : new DueOrder(durations)
  return sharesFairly ? new FairOrder(order) : order
}
