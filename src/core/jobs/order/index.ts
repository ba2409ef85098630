/** In which order waiting tasks get workers. */
export { DueOrder } from './dueOrder'
export { JobOrder } from './jobOrder'
export { objectiveMs } from './objective'
export { createOrder, type OrderName } from './orderName'
export { ValueOrder } from './valueOrder'
