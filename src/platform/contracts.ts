/** The contract under which operators order evacuations of availability zones. */
const evacuationContract = 'places'

/** Whether the contracts of a deployment call for evacuations of availability zones. */
export function callsForEvacuations (contracts: readonly string[]): boolean { return contracts.includes(evacuationContract) }
