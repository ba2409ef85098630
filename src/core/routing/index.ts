/** The endpoints which an entry process knows, and the choice among them. */
export { EndpointTable, type Announcement, type EndpointSign, type EndpointTableOptions, type EndpointView } from './endpointTable'
export { ExpectedDelayRouting, LeastOutstandingRouting, RandomRouting, RoundRobinRouting, RoutingPolicy, TwoChoicesRouting, type ExpectedDelayOptions } from './routingPolicy'
