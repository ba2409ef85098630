/** Dispatch decisions of an entry process: queueing, routing and retries. */
export { Dispatcher, type Dispatch, type DispatcherOptions, type DispatchRequest, type EndedRequest } from './dispatcher'
