/** Failure codes and the failure type that carries them. */
export { failureCatalogue, type FailureCode } from './failureCatalogue'
export { Failure, isFailure, isFailureRecord, toFailure, type FailureDetail, type FailureRecord } from './failure'
