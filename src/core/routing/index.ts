/** The endpoints known to an entry process, and the routing policies that choose among them. */
export { EndpointTable, type Announcement, type EndpointOutcome, type EndpointTableOptions, type EndpointView } from './endpointTable'
export { ExpectedDelayRouting, LeastOutstandingRouting, RandomRouting, RoundRobinRouting, RoutingPolicy, TwoChoicesRouting, type ExpectedDelayOptions } from './routingPolicy'
