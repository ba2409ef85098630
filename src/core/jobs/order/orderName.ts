import { DueOrder } from './dueOrder'
import { FairOrder } from './fairOrder'
import type { JobOrder } from './jobOrder'
import { ValueOrder } from './valueOrder'

/** The orders that can be selected in the settings. */
export type OrderName = 'due' | 'value'

/** Creates an order by its name, optionally with fair shares between callers' zones. */
export function createOrder (name: OrderName, sharesFairly = false): JobOrder {
  const order = name === 'value' ? new ValueOrder() : new DueOrder()
  return sharesFairly ? new FairOrder(order) : order
}
