/** The agent beside an endpoint. */
export { createAgent, type Agent, type AgentOptions } from './agentService'
export type { AgentRouter } from './agentRouter'
