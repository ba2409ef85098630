/** The contract under which operators can order evacuations of availability zones. */
const evacuationContract = 'places'

/** Whether a deployment with these contracts has to support evacuations of availability zones. */
export function callsForEvacuations (contracts: readonly string[]): boolean { return contracts.includes(evacuationContract) }
