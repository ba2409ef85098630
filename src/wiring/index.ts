/** Assembles the processes of each role from their parts; no other module does. */
export { createLocalEnvironment, createEnvironment, startAgent, startControl, startEntry, type Environment } from './wiring'
export { createDevSite, type DevSite, type DevSiteOptions } from './devSite'
export { startAgentNode, startControlNode, startEntryNode, type JobNode, type NodeEnvironment } from './nodeWiring'
