/** Leases of workers as the leader sees them. */
export { LeaseTable, type LeaseTableOptions } from './leaseTable'
