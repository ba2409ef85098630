/** Request admission at an agent: its slots, and the record of request ids. */
export { EndpointGate, type ArrivingRequest, type Arrival, type EndpointGateOptions, type EndpointLoad, type GateChange } from './endpointGate'
export type { EndStatus, RequestStatus } from './requestRecord'
