import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { array, boolean, integer, maxValue, minValue, number, object, optional, pipe, safeParse, string, type InferOutput } from 'valibot'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'

const port = pipe(number(), integer(), minValue(1), maxValue(65_535))
const text = optional(string(), '')

const nodeShape = object({
  name: string(),
  zone: string(),
  ip: string(),
  /** The first port which is free for calls between our own processes. */
  first_peer_port: port,
  /** Addresses of operators' listeners of control replicas. */
  seeds: array(string()),
  /** Whether the whole deployment starts for the first time. */
  first_start: boolean(),
  /** Empty on a VM without a disk. */
  data_folder: text,
  listen: object({ callers: text, readiness: text, control: text }),
  worker: object({ address: text }),
  bounds: object({
    /** The longest lease which workers allow, in milliseconds. */
    longest_lease_ms: pipe(number(), minValue(1)),
    /** How long a process may take to end after SIGTERM, in seconds. */
    grace_s: pipe(number(), minValue(0)),
    /** How many VMs with a disk may be lost at the same time. */
    tolerated_losses: pipe(number(), integer(), minValue(0))
  })
})

/** The settings of a process of a job deployment. */
export type NodeSettings = InferOutput<typeof nodeShape>

/** Checks the text of a node's settings; the failure names the first key which is wrong. */
export function parseNodeSettings (source: string): Result<NodeSettings, Failure> {
  let table: unknown
  try {
    table = parse(source)
  } catch (error) {
    return Err(new Failure('settings/unreadable', { expected: 'TOML', got: String(error).split('\n')[0] ?? '' }))
  }
  const checked = safeParse(nodeShape, table)
  if (checked.success) return Ok(checked.output)
  const [issue] = checked.issues
  return Err(new Failure('settings/invalid', { subject: issue.path?.map(item => String(item.key)).join('.') ?? '', expected: String(issue.expected), got: issue.received }))
}

/** Reads and checks a node's settings file. */
export function readNodeSettings (path: string): Result<NodeSettings, Failure> {
  try {
    return parseNodeSettings(readFileSync(path, 'utf8'))
  } catch (error) {
    return Err(new Failure('settings/unreadable', { subject: path, got: String(error) }))
  }
}
