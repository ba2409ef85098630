/** The catalogue of failure codes and the one failure type. */
export { failureCatalogue, type FailureCode } from './failureCatalogue'
export { Failure, isFailure, isFailureRecord, toFailure, type FailureDetail, type FailureRecord } from './failure'
