import { failureCatalogue, type FailureCode } from './failureCatalogue'

/** What a failure says beyond its code. */
export interface FailureDetail {
  /** The key, id or address which the failure is about. */
  readonly subject?: string
  /** What would have been right. */
  readonly expected?: string
  /** What was there instead. */
  readonly got?: string
}

/** A failure in a form which travels between processes. */
export interface FailureRecord {
  readonly code: FailureCode
  readonly detail: FailureDetail
}

/** A failure with its code; its message says what was expected and what was got. */
export class Failure<Code extends FailureCode = FailureCode> extends Error {
  constructor (readonly code: Code, readonly detail: FailureDetail = {}) {
    super(describe(code, detail))
    this.name = 'Failure'
  }

  /** The failure as plain data. */
  get record (): FailureRecord {
    return { code: this.code, detail: this.detail }
  }
}

/** Whether a value is a failure of this project, with the given code if one is named. */
export function isFailure (value: unknown, code?: FailureCode): value is Failure {
  return value instanceof Failure && (code === undefined || value.code === code)
}

/** Whether a value read from another process is a failure record. */
export function isFailureRecord (value: unknown): value is FailureRecord {
  if (typeof value !== 'object' || value === null) return false
  const code = (value as { code?: unknown }).code
  return typeof code === 'string' && code in failureCatalogue
}

/** Rebuilds a failure from its record. */
export function toFailure (record: FailureRecord): Failure {
  return new Failure(record.code, record.detail)
}

function describe (code: FailureCode, detail: FailureDetail): string {
  const parts: string[] = [failureCatalogue[code]]
  if (detail.subject !== undefined) parts.push(detail.subject)
  if (detail.expected !== undefined) parts.push(`expected ${detail.expected}`)
  if (detail.got !== undefined) parts.push(`got ${detail.got}`)
  return parts.join(': ')
}
