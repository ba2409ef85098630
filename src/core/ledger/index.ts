/** The deterministic state machine which enforces the promises. */
export * from './ledgerCommand'
export * from './ledgerRecords'
export { addResources, hasRoomFor, noResources, subtractResources } from './resources'
export { Ledger, type LedgerOptions, type LedgerSnapshot } from './ledger'
