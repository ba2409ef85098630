/** In which order waiting tasks get workers. */
export { objectiveMs, orderSteps } from './startOrder'
