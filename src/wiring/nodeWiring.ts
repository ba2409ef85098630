import { LimitingPolicy } from '../core/jobs'
import { Histograms, renderMetrics, StallMeter, stallTickMs, SuspensionClock, type Counters, type HistogramSummary, type Logger } from '../observability'
import { callsForEvacuations, createCallerHandler, createOperatorHandler, createReadinessHandler, createRegistrationHandler, PlatformWorkerDriver } from '../platform'
import type { NodeSettings } from '../settings'
import { CallerGateway, ControlLink, createControlRelay, createJobControl, replicaAddress, WorkerAgent } from '../tasks/jobs'
import { defaultStreamBounds, formatAddress, openListener, parseAddress, type Address, type Listener, type RequestHandler } from '../transport'
import { leaseMsOf, leaseOptionsOf } from './nodeLeases'

/** Clocks, randomness, logger and metrics of a process of a job deployment. */
export interface NodeEnvironment {
  /** Monotonic time in milliseconds. */
  readonly now: () => number
  /** Wall-clock time in milliseconds. */
  readonly wallClock: () => number
  /** A random number from 0 to 1. */
  readonly random: () => number
  readonly logger: Logger
  readonly counters: Counters
  /** The address that serves counters and histograms as text; they are not served if it is absent. */
  readonly metrics?: Address | undefined
}

/** A running process of a job deployment. */
export interface JobNode {
  /** Applies changed settings: the seeds, and at control processes also zones and contracts; other changes need a restart. */
  reload (settings: NodeSettings): void
  /** Stops the process after its calls in progress. */
  drain (): Promise<void>
}

/** Minimum election timeout, in milliseconds: several round trips and disk syncs of the slowest VM. */
const electionTimeoutMs = 600
const heartbeatMs = 120
/** Silence after which a control replica is replaced if a standby is available, in milliseconds: above the longest election, and well below the time within which a new VM must be a member. */
const replaceAfterMs = 1500
const health = { quarantineAfter: 3, quarantineMs: 3000, maximumQuarantineMs: 20_000 } as const
/** Maximum number of connections from an agent to its worker, for orders and looks. */
const workerConnections = 16

const listenerBounds = {
  maximumConnections: 3000,
  maximumHeaderBytes: 16_384,
  headersTimeoutMs: 10_000,
  keepAliveMs: 60_000
} as const

async function listen (address: string, handle: RequestHandler): Promise<Listener> {
  return await openListener({ address: parseAddress(address), handle, ...listenerBounds })
}

/** Serves the metrics as text on every path of the metrics address; does nothing if there is none. */
async function serveMetrics ({ metrics, counters }: NodeEnvironment, summaries: () => readonly HistogramSummary[]): Promise<Listener | undefined> {
  if (metrics === undefined) return undefined
  const handle: RequestHandler = (_request, response) => {
    const text = renderMetrics(counters, summaries())
    response.writeHead(200, { 'content-type': 'text/plain', 'content-length': Buffer.byteLength(text) })
    response.end(text)
  }
  return await openListener({ address: metrics, handle, ...listenerBounds })
}

function seedPeerAddresses (settings: NodeSettings): readonly string[] {
  return settings.seeds.map(seed => replicaAddress(seed, settings.first_peer_port))
}

/** Starts an entry process, which serves callers' requests; rejects if it cannot listen. */
export async function startEntryNode (settings: NodeSettings, environment: NodeEnvironment): Promise<JobNode> {
  const { logger, counters } = environment
  const histograms = await Histograms.create()
  let isDraining = false
  const clock = new SuspensionClock(environment.now, environment.wallClock)
  const stalls = new StallMeter(() => clock.now())
  const stallTimer = setInterval(() => stalls.tick(), stallTickMs)
  const gateway = new CallerGateway({ send: message => link.send(message), now: () => clock.now(), zone: settings.zone })
  const link = new ControlLink({
    role: 'entry',
    name: settings.name,
    seeds: seedPeerAddresses(settings),
    bounds: defaultStreamBounds,
    logger,
    onOpen: () => gateway.linkOpened(),
    onMessage: message => gateway.receive(message),
    onLost: () => gateway.linkLost()
  })
  const callers = await listen(settings.listen.callers, createCallerHandler({
    call: async (call, deadlineMs) => await gateway.call(call, deadlineMs),
    unreadMs: () => stalls.unreadMs(),
    now: () => clock.now(),
    logger,
    onAnswered: (kind, status, durationMs, host) => {
      counters.add('calls_total', { call: kind, status: String(status) })
      histograms.record(host, kind, durationMs)
    }
  }))
  const metrics = await serveMetrics(environment, () => histograms.summarize())
  const readiness = await listen(settings.listen.readiness, createReadinessHandler(() => link.isOpen && !isDraining))
  link.start()
  logger.info('entry_started', { callers: settings.listen.callers })
  return {
    reload: changed => link.reseed(seedPeerAddresses(changed)),
    drain: async () => {
      isDraining = true
      logger.info('entry_draining', { calls: gateway.size })
      await callers.drain()
      clearInterval(stallTimer)
      link.stop()
      readiness.destroy()
      metrics?.destroy()
    }
  }
}

/** Starts the agent process beside a worker; rejects if it cannot listen. */
export async function startAgentNode (settings: NodeSettings, environment: NodeEnvironment): Promise<JobNode> {
  const { logger } = environment
  const driver = new PlatformWorkerDriver({ address: parseAddress(settings.worker.address), maximumConnections: workerConnections })
  const agent = new WorkerAgent({ name: settings.name, driver, send: message => link.send(message), leaseMs: leaseMsOf(settings), longestLeaseMs: settings.bounds.longest_lease_ms, now: environment.now, logger, counters: environment.counters })
  const link = new ControlLink({
    role: 'agent',
    name: settings.name,
    seeds: seedPeerAddresses(settings),
    bounds: defaultStreamBounds,
    logger,
    onOpen: term => agent.mailbox.offer({ type: 'linkOpen', term }),
    onMessage: message => agent.mailbox.offer({ type: 'control', message }),
    onLost: () => agent.mailbox.offer({ type: 'linkLost' })
  })
  const listener = await listen(settings.listen.control, createRegistrationHandler({
    onRegistered: registration => agent.mailbox.offer({ type: 'registered', registration }),
    onLeft: workerId => agent.mailbox.offer({ type: 'left', workerId }),
    logger
  }))
  const metrics = await serveMetrics(environment, () => [])
  link.start()
  logger.info('agent_started', { worker: settings.worker.address, lease_ms: leaseMsOf(settings) })
  return {
    reload: changed => link.reseed(seedPeerAddresses(changed)),
    drain: async () => {
      agent.mailbox.offer({ type: 'stop' })
      link.stop()
      listener.destroy()
      metrics?.destroy()
    }
  }
}

/** Starts a control process: a replica of the ledger if there is a data folder, or else a relay. Rejects with a Failure. */
export async function startControlNode (settings: NodeSettings, environment: NodeEnvironment): Promise<JobNode> {
  return settings.data_folder === '' ? await startRelay(settings, environment) : await startReplica(settings, environment)
}

/** The availability zones that operators may evacuate; undefined if no contract in force provides evacuations. */
function evacuableZones ({ contracts, zones }: NodeSettings): readonly string[] | undefined {
  return callsForEvacuations(contracts) ? Object.keys(zones) : undefined
}

/** The operators' address of the control process at a peer address, as all control processes use the same operators' port. */
function operatorAddressOf (settings: NodeSettings, peer: string | undefined): string | undefined {
  if (peer === undefined) return undefined
  const { port } = parseAddress(settings.listen.control)
  return formatAddress({ host: parseAddress(peer).host, port })
}

/** Starts a control process without the ledger, for a VM without a disk; it redirects operators and other processes to the leader. */
async function startRelay (settings: NodeSettings, environment: NodeEnvironment): Promise<JobNode> {
  let current = settings
  const relay = await createControlRelay({
    listen: { host: settings.ip, port: settings.first_peer_port },
    seeds: seedPeerAddresses(settings),
    isFirstStart: settings.first_start,
    bounds: defaultStreamBounds,
    logger: environment.logger
  })
  const operators = await listen(settings.listen.control, createOperatorHandler({
    putManifest: async () => 'notLeading',
    readManifest: async () => ({ type: 'unconfirmed' }),
    changeEvacuation: async () => 'notLeading',
    evacuableZones: () => evacuableZones(current),
    leader: () => operatorAddressOf(settings, relay.leader),
    logger: environment.logger
  }))
  const metrics = await serveMetrics(environment, () => [])
  return {
    reload: changed => {
      current = changed
      relay.reseed(seedPeerAddresses(changed))
    },
    drain: async () => {
      relay.stop()
      operators.destroy()
      metrics?.destroy()
    }
  }
}

async function startReplica (settings: NodeSettings, environment: NodeEnvironment): Promise<JobNode> {
  let current = settings
  const peers = { host: settings.ip, port: settings.first_peer_port }
  const clock = new SuspensionClock(environment.now, environment.wallClock)
  const control = await createJobControl({
    consensusNow: () => clock.now(),
    listen: peers,
    seeds: seedPeerAddresses(settings),
    wantedMembers: 2 * settings.bounds.tolerated_losses + 1,
    replaceAfterMs,
    folder: settings.data_folder,
    isFirstStart: settings.first_start,
    electionTimeoutMs,
    heartbeatMs,
    snapshotAfter: settings.ledger.snapshot_after,
    snapshotAfterCharacters: settings.ledger.snapshot_after_bytes,
    bounds: defaultStreamBounds,
    leases: leaseOptionsOf(settings, 2 * electionTimeoutMs + defaultStreamBounds.silenceMs),
    health,
    regionOf: zone => Object.hasOwn(current.zones, zone) ? current.zones[zone] : undefined,
    order: settings.scheduling.order,
    admission: new LimitingPolicy({ maximumWaitingTasks: settings.admission.maximum_waiting_tasks, rejectsLate: settings.admission.rejects_late }),
    packsJobs: settings.scheduling.packs_jobs,
    groupsImages: settings.scheduling.groups_images,
    sharesFairly: settings.scheduling.fair_shares,
    ...environment
  })
  const operators = await listen(settings.listen.control, createOperatorHandler({
    putManifest: async manifest => await control.putManifest(manifest),
    readManifest: async () => await control.readManifest(),
    changeEvacuation: async (zone, change) => await control.changeEvacuation(zone, change),
    evacuableZones: () => evacuableZones(current),
    // An elected replica does not serve until it has applied the log; it must not redirect operators to itself.
    leader: () => operatorAddressOf(settings, control.leader === formatAddress(peers) ? undefined : control.leader),
    logger: environment.logger
  }))
  const metrics = await serveMetrics(environment, () => [])
  return {
    reload: changed => {
      current = changed
      control.reseed(seedPeerAddresses(changed))
    },
    drain: async () => {
      await control.drain()
      operators.destroy()
      metrics?.destroy()
    }
  }
}
