/** An emulated deployment in virtual time, which runs workloads against the production scheduler. */
export { type Decider, deciders, selectableDeciders } from './baselines'
export { type CrashOutcome, Emulation, type EmulationOptions } from './emulation'
export type { PredictionError, RefusalOutcome } from './emulatedCallers'
export type { EmulationResult, Outcome } from './valuation'
export { parseScenario, readScenario, type Scenario, type Trouble } from './scenario'
