/** The settings of one VM. */
export { parseSettings, readSecrets, readSettings, type Secrets } from './settings'
export { settingsShape, type Settings } from './settingsSchema'
export { parseNodeSettings, readNodeSettings, type NodeSettings } from './nodeSettings'
