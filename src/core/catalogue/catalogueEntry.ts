import { Err, Ok, type Result } from '../results'
import { Failure } from '../failures'

/** Class of work: a latency-critical service or a batch task. */
export type WorkClass = 'service' | 'batch'

/** An amount of each resource of a VM. */
export interface Resources {
  /** Processor cores; fractions are allowed. */
  readonly processors: number
  /** Memory in MiB. */
  readonly memoryMb: number
  /** Whole accelerators. */
  readonly accelerators: number
}

/** Resource and traffic limits of a catalogue entry. */
export interface Limits extends Resources {
  /** The maximum number of requests in flight on each endpoint; 0 closes the service. */
  readonly concurrency: number
  /** The maximum number of requests queued at each entry process. */
  readonly queue: number
  /** The maximum deadline of a request, in milliseconds. */
  readonly deadlineMs: number
  /** The number of instances of a service that are kept running; 0 for batch. */
  readonly instances: number
}

/** A catalogue entry: a service or a kind of batch task, with its owner and limits. */
export interface CatalogueEntry {
  /** Lower-case letters, digits and hyphens. */
  readonly name: string
  /** The organisation that owns the entry. */
  readonly organisation: string
  readonly workClass: WorkClass
  /** Whether its tasks are scheduled before other batch tasks. */
  readonly urgent: boolean
  /** The home cell of the entry. */
  readonly cell: string
  readonly limits: Limits
}

/** An accepted version of an entry; `entry` is absent if the version removes it. */
export interface EntryVersion {
  readonly name: string
  /** Increases by one with each accepted change of this entry, removals included. */
  readonly version: number
  /** The catalogue revision that introduced this version. */
  readonly revision: number
  readonly entry?: CatalogueEntry
}

const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/
const maximumDeadlineMs = 3_600_000

/** Validates an entry; the failure names the first invalid field. */
export function validateEntry (entry: CatalogueEntry): Result<CatalogueEntry, Failure> {
  const { limits } = entry
  const checks: ReadonlyArray<readonly [field: string, isRight: boolean, expected: string, got: unknown]> = [
    ['name', namePattern.test(entry.name), 'lower-case letters, digits and hyphens', entry.name],
    ['organisation', namePattern.test(entry.organisation), 'lower-case letters, digits and hyphens', entry.organisation],
    ['cell', namePattern.test(entry.cell), 'lower-case letters, digits and hyphens', entry.cell],
    ['limits.processors', limits.processors > 0, 'more than 0', limits.processors],
    ['limits.memoryMb', limits.memoryMb > 0, 'more than 0', limits.memoryMb],
    ['limits.accelerators', isCount(limits.accelerators), 'a whole number from 0', limits.accelerators],
    ['limits.concurrency', isCount(limits.concurrency), 'a whole number from 0', limits.concurrency],
    ['limits.queue', isCount(limits.queue), 'a whole number from 0', limits.queue],
    ['limits.deadlineMs', limits.deadlineMs > 0 && limits.deadlineMs <= maximumDeadlineMs, `1 to ${maximumDeadlineMs}`, limits.deadlineMs],
    ['limits.instances', isCount(limits.instances), 'a whole number from 0', limits.instances]
  ]
  for (const [field, isRight, expected, got] of checks) {
    if (!isRight) return Err(new Failure('catalogue/invalid', { subject: field, expected, got: String(got) }))
  }
  return Ok(entry)
}

function isCount (value: number): boolean {
  return Number.isInteger(value) && value >= 0
}
