import { ExpectedDelayRouting } from '../core/routing'
import { SpreadingPlacement } from '../core/placement'
import { createLogger, StatsdMetrics, DisabledMetrics, type Logger, type Metrics } from '../observability'
import { HttpWorkerPlatform } from '../workers'
import type { Secrets, Settings } from '../settings'
import { createAgent, type Agent } from '../tasks/agent'
import { createControl, type Control } from '../tasks/control'
import { createEntry, type Entry } from '../tasks/entry'
import { ConnectionPool, parseAddress, type Address } from '../transport'

/** Clocks, randomness, logger and metrics of a role. */
export interface Environment {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Wall-clock time in milliseconds. */
  readonly wallClock: () => number
  /** A random number from 0 to 1. */
  readonly random: () => number
  readonly logger: Logger
  readonly metrics: Metrics
}

/** Assumed one-way delay within an availability zone, and to another one that the settings do not name, in milliseconds. */
const defaultZoneDelayMs = { own: 1, other: 5 } as const
const colocationHistoryMs = 120_000
const workerCallTimeoutMs = 1000
const workerConnections = 4

/** Creates the environment of a daemon, with the log level and the metrics of its settings. */
export function createEnvironment (settings: Settings, role: string, write: (line: string) => void): Environment {
  const logger = createLogger({ level: settings.log.level, write }).with({ role, node: settings.name })
  const metrics = settings.metrics.enabled
    ? new StatsdMetrics({
      ...parseAddress(settings.metrics.address),
      tags: { role, node: settings.name, zone: settings.zone },
      onError: error => logger.warn('metrics_failed', { error: error.message })
    })
    : new DisabledMetrics()
  return { now: () => performance.now(), wallClock: Date.now, random: Math.random, logger, metrics }
}

/** Creates an environment without metrics, for roles that share one process. */
export function createLocalEnvironment (logger: Logger): Environment {
  return {
    now: () => performance.now(),
    wallClock: Date.now,
    random: Math.random,
    logger,
    metrics: new DisabledMetrics()
  }
}

/** Starts an agent with its section of the settings; rejects if it cannot listen. */
export async function startAgent (settings: Settings, section: NonNullable<Settings['agent']>, secrets: Secrets, environment: Environment): Promise<Agent> {
  const { timing } = settings
  return await createAgent({
    name: settings.name,
    zone: settings.zone,
    listen: parseAddress(section.listen),
    ...(section.advertise === undefined ? {} : { advertise: parseAddress(section.advertise) }),
    ...(section.status === undefined ? {} : { status: parseAddress(section.status) }),
    endpoint: parseAddress(section.endpoint),
    entryAddresses: section.entry_addresses.map(parseAddress),
    catalogueEntries: section.catalogue_entries,
    slots: section.slots,
    queue: section.queue,
    connections: section.connections,
    peerKey: secrets.peerKey,
    announceMs: timing.announce_ms,
    heartbeatMs: timing.agent_heartbeat_ms,
    rememberMs: section.remember_ms,
    maximumRecords: section.maximum_records,
    keptAnswerBytes: section.kept_answer_bytes,
    keptBytes: section.kept_bytes,
    catalogueLeaseMs: timing.catalogue_lease_ms,
    callTimeoutMs: timing.call_timeout_ms,
    idleConnectionMs: timing.idle_connection_ms,
    ...environment
  })
}

/** Starts an entry process with its section of the settings; rejects if it cannot listen. */
export async function startEntry (settings: Settings, section: NonNullable<Settings['entry']>, secrets: Secrets, environment: Environment): Promise<Entry> {
  const { timing } = settings
  const delays = section.zone_delays_ms
  return await createEntry({
    name: settings.name,
    callers: parseAddress(section.callers),
    operators: parseAddress(section.operators),
    peers: parseAddress(section.peers),
    controlMembers: parseAddresses(settings.control_members),
    peerKey: secrets.peerKey,
    operatorToken: secrets.operatorToken,
    routing: new ExpectedDelayRouting(),
    table: {
      deadAfterMs: timing.agent_dead_after_ms,
      oneWayDelayMs: zone => delays[zone] ?? (zone === settings.zone ? defaultZoneDelayMs.own : defaultZoneDelayMs.other),
      ejectAfterFailures: section.eject_after_failures,
      ejectMs: section.eject_ms,
      maximumEjectMs: section.maximum_eject_ms
    },
    queueCapacity: section.queue_capacity,
    retries: { ratio: section.retry_ratio, burst: section.retry_burst },
    weightOf: organisation => section.organisation_weights[organisation] ?? 1,
    bounds: {
      bodyBufferBytes: section.body_buffer_bytes,
      maximumBodyBytes: section.maximum_body_bytes,
      bodyIdleMs: section.body_idle_ms,
      silenceMs: timing.silence_ms,
      callerIdleMs: section.caller_idle_ms,
      claimAnswerBytes: section.claim_answer_bytes,
      claimMs: section.claim_ms
    },
    maximumCallerConnections: section.caller_connections,
    maximumHeaderBytes: section.header_bytes,
    headersTimeoutMs: section.headers_timeout_ms,
    callerKeepAliveMs: section.caller_keep_alive_ms,
    callTimeoutMs: timing.call_timeout_ms,
    controlTimeoutMs: timing.control_timeout_ms,
    idleConnectionMs: timing.idle_connection_ms,
    catalogueLeaseMs: timing.catalogue_lease_ms,
    readinessMs: section.readiness_ms,
    ...environment
  })
}

/** Starts a control replica with its section of the settings; rejects if it cannot listen or open its data folder. */
export async function startControl (settings: Settings, section: NonNullable<Settings['control']>, secrets: Secrets, environment: Environment): Promise<Control> {
  const workers = parseAddresses(section.workers)
  return await createControl({
    name: settings.name,
    listen: parseAddress(section.listen),
    ...(section.status === undefined ? {} : { status: parseAddress(section.status) }),
    members: parseAddresses(settings.control_members),
    folder: section.data_folder,
    peerKey: secrets.peerKey,
    electionTimeoutMs: section.election_timeout_ms,
    heartbeatMs: section.heartbeat_ms,
    callTimeoutMs: settings.timing.call_timeout_ms,
    snapshotAfter: section.snapshot_after,
    snapshotAfterCharacters: section.snapshot_after_bytes,
    catalogueLeaseMs: settings.timing.catalogue_lease_ms,
    platform: new HttpWorkerPlatform({
      workers,
      pool: new ConnectionPool({ idleMs: settings.timing.idle_connection_ms, maximumPerAddress: workerConnections }),
      timeoutMs: workerCallTimeoutMs
    }),
    workerNames: [...workers.keys()],
    planner: { maximumAssignments: section.assignments_per_round, agingMs: section.aging_ms, sampleSize: section.placement_sample },
    placement: new SpreadingPlacement(),
    interferenceWeight: section.interference_weight,
    colocation: {
      model: { step: 0.2, priorSamples: 3 },
      throttle: {
        above: section.throttle_above_slowdown,
        below: section.throttle_above_slowdown / 2,
        patience: section.throttle_patience,
        factor: 0.5,
        lowestShare: section.lowest_share
      },
      historyMs: colocationHistoryMs
    },
    evictionBurst: section.eviction_burst,
    evictionsPerMinute: section.evictions_per_minute,
    leases: { durationMs: section.lease_ms, maximumDrift: section.maximum_clock_drift, formerLeaderMs: 2 * section.election_timeout_ms },
    health: { quarantineAfter: section.quarantine_after, quarantineMs: section.quarantine_ms, maximumQuarantineMs: section.maximum_quarantine_ms },
    renewMs: section.renew_ms,
    ...environment
  })
}

function parseAddresses (addresses: Readonly<Record<string, string>>): ReadonlyMap<string, Address> {
  return new Map(Object.entries(addresses).map(([name, address]) => [name, parseAddress(address)]))
}
