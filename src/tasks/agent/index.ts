/** The agent process, which admits requests to one endpoint and forwards them. */
export { createAgent, type Agent, type AgentOptions } from './agentService'
export type { AgentRouter } from './agentRouter'
