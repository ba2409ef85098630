/** The replicated, deterministic state machine of catalogue, claims, tasks and jobs. */
export * from './ledgerCommand'
export * from './ledgerRecords'
export { addResources, hasRoomFor, noResources, subtractResources } from './resources'
export { Ledger, type LedgerOptions, type LedgerSnapshot } from './ledger'
