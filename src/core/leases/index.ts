/** The leader's view of worker leases. */
export { LeaseTable, type LeaseTableOptions } from './leaseTable'
