import { failureCatalogue, type FailureCode } from './failureCatalogue'

/** Details of a failure beyond its code. */
export interface FailureDetail {
  /** The key, id or address that the failure concerns. */
  readonly subject?: string
  /** The expected value or condition. */
  readonly expected?: string
  /** The actual value. */
  readonly got?: string
}

/** A failure as plain data, as it is sent between processes. */
export interface FailureRecord {
  readonly code: FailureCode
  readonly detail: FailureDetail
}

/** An error with a failure code; its message is the meaning of the code followed by the details. */
export class Failure<Code extends FailureCode = FailureCode> extends Error {
  constructor (readonly code: Code, readonly detail: FailureDetail = {}) {
    super(formatMessage(code, detail))
    this.name = 'Failure'
  }

  /** The failure as plain data, to be sent to another process. */
  get record (): FailureRecord {
    return { code: this.code, detail: this.detail }
  }
}

/** Whether a value is a Failure, with the given code if one is passed. */
export function isFailure (value: unknown, code?: FailureCode): value is Failure {
  return value instanceof Failure && (code === undefined || value.code === code)
}

/** Whether a value received from another process is a failure record. */
export function isFailureRecord (value: unknown): value is FailureRecord {
  if (typeof value !== 'object' || value === null) return false
  const code = (value as { code?: unknown }).code
  return typeof code === 'string' && code in failureCatalogue
}

/** Restores a failure from its record. */
export function toFailure (record: FailureRecord): Failure {
  return new Failure(record.code, record.detail)
}

function formatMessage (code: FailureCode, detail: FailureDetail): string {
  const parts: string[] = [failureCatalogue[code]]
  if (detail.subject !== undefined) parts.push(detail.subject)
  if (detail.expected !== undefined) parts.push(`expected ${detail.expected}`)
  if (detail.got !== undefined) parts.push(`got ${detail.got}`)
  return parts.join(': ')
}
