import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { array, boolean, integer, maxValue, minValue, number, object, optional, picklist, pipe, record, safeParse, string, type InferOutput } from 'valibot'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'

const port = pipe(number(), integer(), minValue(1), maxValue(65_535))
const text = optional(string(), '')
/** Longest lease and grace period. Node fires a timer of more than 24 days at once, which would end a process without its grace period. */
const dayMs = 86_400_000

const nodeSettingsSchema = object({
  name: string(),
  zone: string(),
  ip: string(),
  /** The first port that is free for streams between processes of the deployment. */
  first_peer_port: port,
  /** HOST:PORT of the operators' listeners of the control processes that this process contacts first. */
  seeds: array(string()),
  /** Whether the whole deployment starts for the first time. */
  first_start: boolean(),
  /** The folder of the ledger; empty on a VM without a disk. */
  data_folder: text,
  listen: object({ callers: text, readiness: text, control: text }),
  worker: object({ address: text }),
  bounds: object({
    /** The longest lease which workers allow, in milliseconds. */
    longest_lease_ms: pipe(number(), minValue(1), maxValue(dayMs)),
    /** How long a process may take to end after SIGTERM, in seconds. */
    grace_s: pipe(number(), minValue(0), maxValue(dayMs / 1000)),
    /** How many VMs with a disk may be lost at the same time. */
    tolerated_losses: pipe(number(), integer(), minValue(0))
  }),
  /** Names of the optional contracts of the platform that are in force. */
  contracts: optional(array(string()), []),
  /** The region of each availability zone. */
  zones: optional(record(string(), string()), {}),
  ledger: optional(object({
    /** The number of log entries after which a snapshot is written. */
    snapshot_after: optional(pipe(number(), integer(), minValue(1)), 2000),
    /** The size of the log after which a snapshot is written earlier, in bytes. */
    snapshot_after_bytes: optional(pipe(number(), integer(), minValue(1)), 8 * 1024 * 1024)
  }), {}),
  scheduling: optional(object({
    /** The order of waiting jobs of equal priority: by due time, or by due time among those that can be in time together. */
    order: optional(picklist(['due', 'feasible']), 'due'),
    /** Whether callers' zones get fair shares under contention. */
    fair_shares: optional(boolean(), false),
    /** Whether the tasks of a job are placed on few workers. */
    packs_jobs: optional(boolean(), false),
    /** Whether serving tasks of one image get dedicated workers when they occupy most of a pool. */
    groups_images: optional(boolean(), false),
    /** Whether leases last as long as workers allow. */
    longest_leases: optional(boolean(), false),
    /** How long after its last report a silent worker may have been suspended, and its runs be stopped after that, in milliseconds; its runs start elsewhere no earlier. */
    suspension_ms: optional(pipe(number(), integer(), minValue(0)), 0)
  }), {}),
  admission: optional(object({
    /** The number of waiting tasks above which jobs are refused; no limit if absent. */
    maximum_waiting_tasks: optional(pipe(number(), integer(), minValue(1))),
    /** Whether jobs are refused whose predicted end is too late for them to have any value. */
    rejects_late: optional(boolean(), false)
  }), {})
})

/** The settings of a process of a job deployment. */
export type NodeSettings = InferOutput<typeof nodeSettingsSchema>

/** The policies of a deployment whose settings name none: no contracts, jobs in order of due time, everything optional off. */
export const defaultNodePolicies: Pick<NodeSettings, 'contracts' | 'zones' | 'ledger' | 'scheduling' | 'admission'> = {
  contracts: [],
  zones: {},
  ledger: { snapshot_after: 2000, snapshot_after_bytes: 8 * 1024 * 1024 },
  scheduling: { order: 'due', fair_shares: false, packs_jobs: false, groups_images: false, longest_leases: false, suspension_ms: 0 },
  admission: { rejects_late: false }
}

/** The roles of a job deployment. */
export const nodeRoles = ['entry', 'agent', 'control'] as const

/** The role of one process of a job deployment. */
export type NodeRole = (typeof nodeRoles)[number]

/** The addresses that each role requires; a control process without `data_folder` keeps no ledger. */
const requiredAddresses: Readonly<Record<NodeRole, ReadonlyArray<readonly [string, (settings: NodeSettings) => string]>>> = {
  entry: [['listen.callers', settings => settings.listen.callers], ['listen.readiness', settings => settings.listen.readiness]],
  agent: [['listen.control', settings => settings.listen.control], ['worker.address', settings => settings.worker.address]],
  control: [['listen.control', settings => settings.listen.control]]
}

const addressPattern = /^.+:(\d{1,5})$/
const highestPort = 65_535

function isAddress (value: string): boolean {
  const port = Number(addressPattern.exec(value)?.[1])
  return port >= 1 && port <= highestPort
}

/** Checks that the settings hold the addresses that a role requires; the failure names the first key without a HOST:PORT, of a port that can be connected to. */
export function checkRole (role: NodeRole, settings: NodeSettings): Result<NodeSettings, Failure> {
  const missingAddress = requiredAddresses[role].find(([, read]) => !isAddress(read(settings)))
  if (missingAddress === undefined) return Ok(settings)
  const [key, read] = missingAddress
  return Err(new Failure('settings/invalid', { subject: `${key} of role ${role}`, expected: 'HOST:PORT', got: read(settings) === '' ? 'nothing' : read(settings) }))
}

/** Parses and checks TOML; the failure names the first invalid key. */
export function parseNodeSettings (source: string): Result<NodeSettings, Failure> {
  let table: unknown
  try {
    table = parse(source)
  } catch (error) {
    return Err(new Failure('settings/unreadable', { expected: 'TOML', got: String(error).split('\n')[0] ?? '' }))
  }
  const checked = safeParse(nodeSettingsSchema, table)
  if (checked.success) return Ok(checked.output)
  const [issue] = checked.issues
  return Err(new Failure('settings/invalid', { subject: issue.path?.map(item => String(item.key)).join('.') ?? '', expected: String(issue.expected), got: issue.received }))
}

/** Reads a node's settings file and checks it for a role. */
export function readNodeSettings (path: string, role: NodeRole): Result<NodeSettings, Failure> {
  let source: string
  try {
    source = readFileSync(path, 'utf8')
  } catch (error) {
    return Err(new Failure('settings/unreadable', { subject: path, got: String(error) }))
  }
  const settings = parseNodeSettings(source)
  return settings.ok ? checkRole(role, settings.val) : settings
}
