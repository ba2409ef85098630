import { declaredDurations, type TaskDurations } from '../durations'
import { DueOrder } from './dueOrder'
import { FeasibleOrder } from './feasibleOrder'
import { FairOrder } from './fairOrder'
import type { JobOrder } from './jobOrder'
import { ValueOrder } from './valueOrder'

/** The orders that can be selected in the settings. */
export type OrderName = 'due' | 'feasible' | 'value'

/** Creates an order by its name, optionally with fair shares between callers' zones. */
export function createOrder (name: OrderName, sharesFairly = false, durations: TaskDurations = declaredDurations): JobOrder {
  const order = createPlainOrder(name, durations)
  return sharesFairly ? new FairOrder(order) : order
}

function createPlainOrder (name: OrderName, durations: TaskDurations): JobOrder {
  switch (name) {
    case 'due': return new DueOrder(durations)
    case 'feasible': return new FeasibleOrder(durations)
    case 'value': return new ValueOrder(durations)
  }
}
