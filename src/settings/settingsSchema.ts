import { array, boolean, check, integer, maxValue, minValue, number, optional, picklist, pipe, record, regex, strictObject, string, type InferOutput } from 'valibot'

const name = pipe(string(), regex(/^[a-z0-9][a-z0-9-]{0,62}$/, 'lower-case letters, digits and hyphens'))
const address = pipe(
  string(),
  regex(/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/, 'an IP number and a port, as in "10.0.0.1:7000"'),
  check(text => Number(text.slice(text.lastIndexOf(':') + 1)) <= 65_535, 'a port up to 65535')
)
const count = pipe(number(), integer(), minValue(1, 'a whole number from 1'))
const countOrZero = pipe(number(), integer(), minValue(0, 'a whole number from 0'))
const milliseconds = pipe(number(), minValue(1, 'at least 1 ms'), maxValue(86_400_000, 'at most a day'))
const bytes = pipe(number(), integer(), minValue(1, 'at least 1 byte'))

const logSection = strictObject({
  level: optional(picklist(['debug', 'info', 'warn', 'error']), 'info')
})

const metricsSection = strictObject({
  enabled: optional(boolean(), false),
  address: optional(address, '127.0.0.1:8125')
})

const timingSection = strictObject({
  call_timeout_ms: optional(milliseconds, 1000),
  control_timeout_ms: optional(milliseconds, 5000),
  idle_connection_ms: optional(milliseconds, 15_000),
  catalogue_lease_ms: optional(milliseconds, 8000),
  announce_ms: optional(milliseconds, 1000),
  agent_dead_after_ms: optional(milliseconds, 2000),
  agent_heartbeat_ms: optional(milliseconds, 250),
  silence_ms: optional(milliseconds, 1000)
})

const entrySection = strictObject({
  callers: address,
  operators: address,
  peers: address,
  queue_capacity: optional(countOrZero, 2000),
  retry_ratio: optional(pipe(number(), minValue(0), maxValue(1)), 0.2),
  retry_burst: optional(count, 50),
  body_buffer_bytes: optional(bytes, 65_536),
  maximum_body_bytes: optional(bytes, 67_108_864),
  body_idle_ms: optional(milliseconds, 5000),
  caller_idle_ms: optional(milliseconds, 30_000),
  caller_keep_alive_ms: optional(milliseconds, 30_000),
  caller_connections: optional(count, 4096),
  header_bytes: optional(bytes, 16_384),
  headers_timeout_ms: optional(milliseconds, 5000),
  claim_answer_bytes: optional(countOrZero, 2048),
  claim_ms: optional(milliseconds, 86_400_000),
  readiness_ms: optional(milliseconds, 5000),
  eject_after_failures: optional(count, 5),
  eject_ms: optional(milliseconds, 1000),
  maximum_eject_ms: optional(milliseconds, 30_000),
  organisation_weights: optional(record(string(), pipe(number(), minValue(0.001))), {}),
  zone_delays_ms: optional(record(string(), pipe(number(), minValue(0))), {})
})

const agentSection = strictObject({
  listen: address,
  advertise: optional(address),
  status: optional(address),
  endpoint: address,
  catalogue_entries: array(name),
  entry_addresses: array(address),
  slots: count,
  queue: optional(countOrZero, 2),
  connections: count,
  remember_ms: optional(milliseconds, 30_000),
  maximum_records: optional(count, 200_000),
  kept_answer_bytes: optional(bytes, 262_144),
  kept_bytes: optional(bytes, 4_194_304)
})

const controlSection = strictObject({
  listen: address,
  status: optional(address),
  data_folder: string(),
  election_timeout_ms: optional(milliseconds, 400),
  heartbeat_ms: optional(milliseconds, 80),
  snapshot_after: optional(count, 20_000),
  snapshot_after_bytes: optional(bytes, 16_777_216),
  renew_ms: optional(milliseconds, 500),
  lease_ms: optional(milliseconds, 10_000),
  maximum_clock_drift: optional(pipe(number(), minValue(0), maxValue(1)), 0.05),
  assignments_per_round: optional(count, 500),
  placement_sample: optional(count, 64),
  aging_ms: optional(milliseconds, 600_000),
  quarantine_after: optional(count, 3),
  quarantine_ms: optional(milliseconds, 60_000),
  maximum_quarantine_ms: optional(milliseconds, 3_600_000),
  interference_weight: optional(pipe(number(), minValue(0)), 1),
  throttle_above_slowdown: optional(pipe(number(), minValue(0.01)), 0.15),
  throttle_patience: optional(count, 3),
  lowest_share: optional(pipe(number(), minValue(0), maxValue(1)), 0.2),
  eviction_burst: optional(countOrZero, 10),
  evictions_per_minute: optional(pipe(number(), minValue(0)), 10),
  workers: optional(record(name, address), {})
})

/** The schema of a settings file; `docs/SETTINGS.md` describes each key. */
export const settingsSchema = strictObject({
  name,
  zone: name,
  cell: optional(name, 'main'),
  peer_key_file: string(),
  operator_token_file: optional(string()),
  control_members: record(name, address),
  log: optional(logSection, {}),
  metrics: optional(metricsSection, {}),
  timing: optional(timingSection, {}),
  entry: optional(entrySection),
  agent: optional(agentSection),
  control: optional(controlSection)
})

/** The settings of one VM, with defaults for absent keys. */
export type Settings = Readonly<InferOutput<typeof settingsSchema>>
