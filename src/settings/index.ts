/** Schemas, parsers and checks of settings files. */
export { parseSettings, readSecrets, readSettings, type Secrets } from './settings'
export { settingsSchema, type Settings } from './settingsSchema'
export { checkRole, defaultNodePolicies, nodeRoles, parseNodeSettings, readNodeSettings, type NodeRole, type NodeSettings } from './nodeSettings'
