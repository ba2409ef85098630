import { DueOrder } from './dueOrder'
import { FairOrder } from './fairOrder'
import type { JobOrder } from './jobOrder'
import { ValueOrder } from './valueOrder'

/** The orders that settings can name. */
export type OrderName = 'due' | 'value'

/** Makes the order of a name, in which callers' zones may get fair shares. */
export function createOrder (name: OrderName, sharesFairly = false): JobOrder {
  const order = name === 'value' ? new ValueOrder() : new DueOrder()
  return sharesFairly ? new FairOrder(order) : order
}
