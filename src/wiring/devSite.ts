import { mkdtempSync, rmSync } from 'node:fs'
import type { IncomingMessage } from 'node:http'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { createFakeEndpoint, createFakeWorker, findFreePorts, type FakeEndpoint, type FakeEndpointOptions, type FakeWorker, type FakeWorkerOptions } from '../fakes'
import { parseSettings, type Secrets, type Settings } from '../settings'
import type { Agent } from '../tasks/agent'
import type { Control } from '../tasks/control'
import type { Entry } from '../tasks/entry'
import type { Address } from '../transport'
import { startAgent, startControl, startEntry, type Environment } from './wiring'

/** The size, settings and fakes of a site on loopback. */
export interface DevSiteOptions {
  readonly controls: number
  readonly entries: number
  readonly endpoints: number
  readonly workers: number
  readonly environment: (role: string, name: string) => Environment
  /** How long a request takes at an endpoint, in milliseconds. */
  readonly serviceMs?: number | ((request: IncomingMessage) => number)
  /** Replaces the default answer of the fake endpoints. */
  readonly answer?: FakeEndpointOptions['answer']
  /** Returns the address that an agent advertises in place of its own, such as that of a proxy. */
  readonly advertise?: (agent: Address) => Promise<Address>
  /** How long a batch task runs, in milliseconds. */
  readonly taskMs?: number
  /** TOML lines of the section `timing`. */
  readonly timing?: string
  /** TOML lines that are added to the section `entry`. */
  readonly entrySettings?: string
  /** TOML lines that are added to the section `control`. */
  readonly controlSettings?: string
  /** Overrides of the default options of one fake worker. */
  readonly worker?: (index: number) => Partial<FakeWorkerOptions>
  /** TOML lines that are added to the section `agent`; they replace the default number of slots. */
  readonly agentSettings?: string
  readonly catalogueEntries?: readonly string[]
}

/** All processes of a site, run in one process with fake endpoints and workers. */
export interface DevSite {
  readonly controls: Control[]
  readonly entries: Entry[]
  readonly agents: Agent[]
  readonly endpoints: FakeEndpoint[]
  readonly workers: FakeWorker[]
  readonly secrets: Secrets
  /** Starts a control replica again with its address and data folder. */
  restartControl (position: number): Promise<Control>
  /** Starts an entry process again with its addresses. */
  restartEntry (position: number): Promise<Entry>
  /** Starts an agent again with its address. */
  restartAgent (position: number): Promise<Agent>
  close (): Promise<void>
}

const secrets: Secrets = { peerKey: 'development-peer-key', operatorToken: 'development-operator-token' }
const workerCapacity = { processors: 16, memoryMb: 60_000, accelerators: 1 } as const
const workersPerRack = 3
const zones = ['a', 'b', 'c'] as const
const slots = 8
const portsPerEntry = 3
const connections = 60

/** Starts a site on loopback; its data lies in a temporary folder that `close` removes. */
export async function createDevSite (options: DevSiteOptions): Promise<DevSite> {
  const folder = mkdtempSync(join(tmpdir(), 'heatherdrum-'))
  const ports = await findFreePorts(options.controls + portsPerEntry * options.entries + options.endpoints)
  const controlPorts = ports.slice(0, options.controls)
  const entryPorts = ports.slice(options.controls, ports.length - options.endpoints)
  const agentAddresses = ports.slice(ports.length - options.endpoints).map(port => ({ host: '127.0.0.1', port }))
  const advertisedAddresses = await Promise.all(agentAddresses.map(async address => await options.advertise?.(address) ?? address))
  const members = Object.fromEntries(controlPorts.map((port, index) => [`control-${index + 1}`, `127.0.0.1:${port}`]))
  const endpoints = await Promise.all(range(options.endpoints).map(async index => await createFakeEndpoint({
    name: `endpoint-${index + 1}`,
    serviceMs: typeof options.serviceMs === 'function' ? options.serviceMs : () => Number(options.serviceMs ?? 5),
    ...(options.answer === undefined ? {} : { answer: options.answer })
  })))
  const workers = await Promise.all(range(options.workers).map(async index => await createWorker(index, options.taskMs ?? 300, options.worker?.(index) ?? {})))
  const workerAddresses = Object.fromEntries(workers.map(worker => [worker.model.name, formatLoopbackAddress(worker.address.port)]))

  function settingsOf (name: string, index: number, section: string): Settings {
    const zone = zones[index % zones.length] ?? 'a'
    const text = [
      `name = "${name}"`,
      `zone = "${zone}"`,
      'peer_key_file = "peer.key"',
      'operator_token_file = "operator.token"',
      `control_members = ${formatInlineTable(members)}`,
      '[timing]',
      options.timing ?? '',
      section
    ].join('\n')
    return parseSettings(text).unwrap()
  }

  async function launchControl (index: number): Promise<Control> {
    const name = `control-${index + 1}`
    const settings = settingsOf(name, index, [
      '[control]',
      `listen = "${members[name] ?? ''}"`,
      `data_folder = "${join(folder, name)}"`,
      'renew_ms = 100',
      options.controlSettings ?? '',
      `workers = ${formatInlineTable(workerAddresses)}`
    ].join('\n'))
    return await startControl(settings, requireSection(settings.control), secrets, options.environment('control', name))
  }

  async function launchEntry (index: number): Promise<Entry> {
    const name = `entry-${index + 1}`
    const [callers, operators, peers] = entryPorts.slice(portsPerEntry * index).map(formatLoopbackAddress)
    const settings = settingsOf(name, index, [
      '[entry]',
      `callers = "${callers ?? ''}"`,
      `operators = "${operators ?? ''}"`,
      `peers = "${peers ?? ''}"`,
      'readiness_ms = 50',
      options.entrySettings ?? ''
    ].join('\n'))
    return await startEntry(settings, requireSection(settings.entry), secrets, options.environment('entry', name))
  }

  async function launchAgent (index: number): Promise<Agent> {
    const name = `agent-${index + 1}`
    const settings = settingsOf(name, index, [
      '[agent]',
      `listen = "${formatLoopbackAddress(agentAddresses[index]?.port ?? 0)}"`,
      `advertise = "${formatLoopbackAddress(advertisedAddresses[index]?.port ?? 0)}"`,
      `endpoint = "${formatLoopbackAddress(endpoints[index]?.address.port ?? 0)}"`,
      `catalogue_entries = ${JSON.stringify(options.catalogueEntries ?? ['tastings'])}`,
      `entry_addresses = ${JSON.stringify(range(options.entries).map(entry => formatLoopbackAddress(entryPorts[portsPerEntry * entry + 2] ?? 0)))}`,
      `connections = ${connections}`,
      options.agentSettings ?? `slots = ${slots}`
    ].join('\n'))
    return await startAgent(settings, requireSection(settings.agent), secrets, options.environment('agent', name))
  }

  const controls = await Promise.all(range(options.controls).map(launchControl))
  const entries = await Promise.all(range(options.entries).map(launchEntry))
  const agents = await Promise.all(range(options.endpoints).map(launchAgent))

  return {
    controls,
    entries,
    agents,
    endpoints,
    workers,
    secrets,
    restartControl: async position => {
      const control = await launchControl(position)
      controls[position] = control
      return control
    },
    restartEntry: async position => {
      const entry = await launchEntry(position)
      entries[position] = entry
      return entry
    },
    restartAgent: async position => {
      const agent = await launchAgent(position)
      agents[position] = agent
      return agent
    },
    close: async () => {
      for (const part of [...agents, ...entries, ...controls]) part.kill()
      await Promise.all([...endpoints.map(async endpoint => await endpoint.kill()), ...workers.map(async worker => await worker.close())])
      await new Promise(resolve => setTimeout(resolve, 50))
      rmSync(folder, { recursive: true, force: true })
    }
  }
}

async function createWorker (index: number, taskMs: number, overrides: Partial<FakeWorkerOptions>): Promise<FakeWorker> {
  return await createFakeWorker({
    name: `worker-${index + 1}`,
    rack: `rack-${Math.floor(index / workersPerRack) + 1}`,
    zone: zones[index % zones.length] ?? 'a',
    capacity: workerCapacity,
    clock: () => performance.now(),
    taskMs: order => order.taskId.startsWith('instance.') ? undefined : taskMs,
    reportLagMs: 1000,
    ...overrides
  })
}

function range (count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index)
}

function formatInlineTable (table: Readonly<Record<string, string>>): string {
  return `{ ${Object.entries(table).map(([key, value]) => `"${key}" = "${value}"`).join(', ')} }`
}

function formatLoopbackAddress (port: number): string {
  return `127.0.0.1:${port}`
}

function requireSection<Section> (section: Section | undefined): Section {
  if (section === undefined) throw new TypeError('expected a section in the settings of the site')
  return section
}
