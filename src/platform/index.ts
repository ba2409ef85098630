/** The HTTP interface to the users' platform: its names, wire formats and calls. */
export { createCallerHandler, createReadinessHandler, type CallerHandlerOptions } from './callerHandler'
export { callsForEvacuations } from './contracts'
export { decodeManifest } from './manifestCodec'
export { createOperatorHandler, maximumManifestBytes, type OperatorHandlerOptions } from './operatorHandler'
export { PlatformWorkerDriver, type PlatformWorkerDriverOptions } from './platformWorkerDriver'
export { createRegistrationHandler, decodeHeartbeat, type RegistrationHandlerOptions } from './registrationHandler'
export { decodeSubmission } from './submissionCodec'
