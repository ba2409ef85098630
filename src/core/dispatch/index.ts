/** The entry process's decisions: queue, routing and retries in one core object. */
export { Dispatcher, type Dispatch, type DispatcherOptions, type DispatchRequest, type EndedRequest } from './dispatcher'
