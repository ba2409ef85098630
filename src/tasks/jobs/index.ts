/** Job scheduling tasks: control replicas and relays, agents beside workers, and the gateway for callers. */
export { CallerGateway, type CallerGatewayOptions } from './callerGateway'
export { ControlLink, replicaAddress, type ControlLinkOptions } from './controlLink'
export type { ClientMessage, ControlReply } from './controlProtocol'
export { createControlRelay, type ControlRelay, type ControlRelayOptions } from './controlRelay'
export { createJobControl, type JobControl, type JobControlOptions, type ManifestRead } from './jobControl'
export type { EvacuationChange, EvacuationOutcome, ManifestOutcome } from './leaderMessage'
export { WorkerAgent, type WorkerAgentOptions } from './workerAgent'
export type { Registration } from './workerAgentMessage'
