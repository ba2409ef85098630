import { DueOrder } from './dueOrder'
import type { JobOrder } from './jobOrder'
import { ValueOrder } from './valueOrder'

/** The orders that settings can name. */
export type OrderName = 'due' | 'value'

/** Makes the order of a name. */
export function createOrder (name: OrderName): JobOrder {
  return name === 'value' ? new ValueOrder() : new DueOrder()
}
