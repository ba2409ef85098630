/** A stand-in of a deployment in virtual time, which plays load against the scheduler that the product runs. */
export { orderPolicies, policies } from './baselines'
export { Emulation, type EmulationOptions } from './emulation'
export type { EmulationResult, Outcome } from './valuation'
export { parseScenario, readScenario, type Scenario, type Trouble } from './scenario'
