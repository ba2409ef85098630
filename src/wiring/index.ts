/** Assembles the processes of each role from their parts; no other module does. */
export { createLocalSurroundings, createSurroundings, startAgent, startControl, startEntry, type Surroundings } from './wiring'
export { createDevSite, type DevSite, type DevSiteOptions } from './devSite'
export { startAgentNode, startControlNode, startEntryNode, type JobNode, type NodeSurroundings } from './nodeWiring'
