import http from 'node:http'
import { mkdtempSync, rmSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { findFreePorts } from '../../fakes'
import { defaultNodePolicies, type NodeSettings } from '../../settings'
import type { JobNode, NodeEnvironment } from '../../wiring/nodeWiring'
import { startAgentNode, startControlNode, startEntryNode } from '../../wiring/nodeWiring'
import type { Address } from '../../transport'
import { StandInWorker } from './standInWorker'

/** Size, contracts and dependencies of a job deployment on loopback. */
export interface JobDevSiteOptions {
  readonly workers: number
  /** How long a task runs, in milliseconds. */
  readonly taskMs: number
  /** The availability zones, to which workers are assigned round-robin; one zone if absent. */
  readonly zones?: readonly string[] | undefined
  /** The contracts of the deployment; none if absent. */
  readonly contracts?: readonly string[] | undefined
  /** Whether a task crashes each worker that starts it; none does if absent. */
  readonly crashesWorker?: ((task: string) => boolean) | undefined
  readonly surroundings: (role: string, name: string) => NodeEnvironment
}

/** An answer to one HTTP request. */
export interface SiteAnswer {
  readonly status: number
  readonly body: string
  readonly headers: http.IncomingHttpHeaders
}

/** The loopback addresses on which the roles of a job deployment listen. */
export interface JobDevListeners {
  /** The control replica's address for streams of other processes. */
  readonly peers: Address
  readonly operators: Address
  readonly callers: Address
  readonly readiness: Address
  /** The addresses on which the agents accept registrations, one for each worker. */
  readonly agents: readonly Address[]
}

/** A job deployment in one process: a control replica, an entry, and one agent for each stand-in worker. */
export interface JobDevSite {
  readonly workers: readonly StandInWorker[]
  readonly listeners: JobDevListeners
  /** Sends a request to the callers' address of the entry. */
  call (method: string, path: string, body?: object): Promise<SiteAnswer>
  /** Sends a request to the operators' address of the control replica. */
  operate (method: string, path: string, body?: object): Promise<SiteAnswer>
  close (): Promise<void>
}

/** Host and path prefix of the deployment's only queue. */
export const devQueue = { host: 'dev.example', pathPrefix: '/plans/' } as const

const pool = 'tastings'
const region = 'north'
const portsWithoutWorkers = 4
const longestLeaseMs = 10_000

/** Creates a manifest, in the wire format, with {@link devQueue} as its only queue. */
export function createDevManifest (version: number): object {
  return {
    version,
    routes: [{ name: 'plans', ...devQueue, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 300, priority: 0, service: pool, maxAttempts: 2, slackFactor: 2 }],
    services: [{ name: pool, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false }],
    limits: {}
  }
}

/** Starts all processes of a job deployment on loopback, each worker registered with its agent. */
export async function createJobDevSite (options: JobDevSiteOptions): Promise<JobDevSite> {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdrum-jobs-'))
  const ports = await findFreePorts(portsWithoutWorkers + options.workers)
  const [peerPort, controlPort, callerPort, readinessPort, ...agentPorts] = ports as [number, number, number, number, ...number[]]
  const { zones = ['a'], contracts = [] } = options
  const settingsOf = (name: string, changes: Partial<Omit<NodeSettings, 'listen'>> & { readonly listen?: Partial<NodeSettings['listen']> }): NodeSettings => ({
    ...defaultNodePolicies,
    contracts: [...contracts],
    zones: Object.fromEntries(zones.map(zone => [zone, region])),
    name,
    zone: 'a',
    ip: '127.0.0.1',
    first_peer_port: peerPort,
    seeds: [`127.0.0.1:${controlPort}`],
    first_start: true,
    data_folder: '',
    worker: { address: '' },
    bounds: { longest_lease_ms: longestLeaseMs, grace_s: 2, tolerated_losses: 0 },
    ...changes,
    listen: { callers: '', readiness: '', control: '', ...changes.listen }
  })
  const nodes: JobNode[] = []
  nodes.push(await startControlNode(settingsOf('control-1', { data_folder: join(folder, 'control-1'), listen: { control: `127.0.0.1:${controlPort}` } }), options.surroundings('control', 'control-1')))
  nodes.push(await startEntryNode(settingsOf('entry-1', { listen: { callers: `127.0.0.1:${callerPort}`, readiness: `127.0.0.1:${readinessPort}` } }), options.surroundings('entry', 'entry-1')))
  const workers: StandInWorker[] = []
  for (const [position, port] of agentPorts.entries()) {
    const worker = new StandInWorker({ id: `worker-${position + 1}`, pool, zone: zones[position % zones.length], rack: `r${position}`, agent: { host: '127.0.0.1', port }, cpu: 4000, memMb: 8000, taskMs: options.taskMs, heartbeatMs: 200, crashesWorker: options.crashesWorker })
    const { host, port: workerPort } = await worker.listen()
    const name = `agent-${position + 1}`
    nodes.push(await startAgentNode(settingsOf(name, { worker: { address: `${host}:${workerPort}` }, listen: { control: `127.0.0.1:${port}` } }), options.surroundings('agent', name)))
    worker.register()
    workers.push(worker)
  }
  const at = (port: number): Address => ({ host: '127.0.0.1', port })
  return {
    workers,
    listeners: { peers: at(peerPort), operators: at(controlPort), callers: at(callerPort), readiness: at(readinessPort), agents: agentPorts.map(at) },
    call: async (method, path, body) => await send({ host: '127.0.0.1', port: callerPort }, method, path, body),
    operate: async (method, path, body) => await send({ host: '127.0.0.1', port: controlPort }, method, path, body),
    close: async () => {
      for (const worker of workers) worker.kill()
      await Promise.all(nodes.reverse().map(async node => await node.drain()))
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

async function send (address: Address, method: string, path: string, body?: object): Promise<SiteAnswer> {
  const text = body === undefined ? '' : JSON.stringify(body)
  return await new Promise((resolve, reject) => {
    const request = http.request({ ...address, method, path, headers: { host: devQueue.host, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) } }, response => {
      const chunks: Buffer[] = []
      response.on('data', (chunk: Buffer) => chunks.push(chunk))
      response.once('end', () => resolve({ status: response.statusCode ?? 0, headers: response.headers, body: Buffer.concat(chunks).toString('utf8') }))
    })
    request.once('error', reject)
    request.end(text)
  })
}
