import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { callHttp, type HttpAnswer } from '../src/cli/httpCall'
import { findFreePorts } from '../src/fakes'
import type { Address } from '../src/transport'

const token = 'an operators token of some length'
const peerKey = 'a peer key of some length'
const waitMs = 20_000
const clockTicksPerSecond = 100

/** Settings files and daemons from the bundle, as real processes on loopback. */
export class ProcessSite {
  readonly folder = mkdtempSync(join(tmpdir(), 'bench-'))
  readonly peerKey = peerKey
  private readonly processes = new Map<string, ChildProcess>()
  private members: Readonly<Record<string, string>> = {}
  private entryPorts: readonly number[] = []

  constructor () {
    writeFileSync(join(this.folder, 'peer.key'), peerKey)
    writeFileSync(join(this.folder, 'operator.token'), token)
  }

  get controlMembers (): ReadonlyMap<string, Address> {
    return new Map(Object.entries(this.members).map(([name, address]) => [name, toAddress(address)]))
  }

  get callers (): Address { return { host: '127.0.0.1', port: this.entryPorts[0] ?? 0 } }

  get peers (): Address { return { host: '127.0.0.1', port: this.entryPorts[2] ?? 0 } }

  /** Starts a control group; extra lines go into its section. */
  async startControls (count: number, lines: readonly string[] = []): Promise<void> {
    const ports = await findFreePorts(count)
    this.members = Object.fromEntries(ports.map((port, index) => [`c${index + 1}`, `127.0.0.1:${port}`]))
    for (const [name, address] of Object.entries(this.members)) {
      this.write(name, ['[control]', `listen = "${address}"`, `data_folder = "${join(this.folder, name)}"`, ...lines])
      this.start('control', name)
    }
  }

  async startEntry (lines: readonly string[] = []): Promise<void> {
    this.entryPorts = await findFreePorts(3)
    const [callers, operators, peers] = this.entryPorts
    this.write('entry', ['[entry]', `callers = "127.0.0.1:${callers}"`, `operators = "127.0.0.1:${operators}"`, `peers = "127.0.0.1:${peers}"`, ...lines])
    this.start('entry', 'entry')
    await waitFor(async () => (await callHttp({ address: this.callers, method: 'GET', path: '/ready' })).status === 200)
  }

  async startAgent (endpoint: Address, peers: readonly Address[], slots: number): Promise<void> {
    const [port] = await findFreePorts(1)
    this.write('agent', [
      '[agent]', `listen = "127.0.0.1:${port}"`, `endpoint = "127.0.0.1:${endpoint.port}"`, 'catalogue_entries = ["matching"]',
      `entry_addresses = [${peers.map(peer => `"127.0.0.1:${peer.port}"`).join(', ')}]`, `slots = ${slots}`, `connections = ${slots}`
    ])
    this.start('agent', 'agent')
  }

  async operate (method: string, path: string, body?: object): Promise<HttpAnswer> {
    return await callHttp({
      address: { host: '127.0.0.1', port: this.entryPorts[1] ?? 0 },
      method,
      path,
      headers: { authorization: `Bearer ${token}` },
      ...(body === undefined ? {} : { body: JSON.stringify(body) })
    })
  }

  /** Starts a daemon on its settings file, again if it was killed. */
  start (role: string, name: string): void {
    this.processes.set(name, spawn(process.execPath, [...flagsOf(role), 'dist/heatherdrum.cjs', role, '--settings', join(this.folder, `${name}.toml`)], { stdio: ['ignore', 'ignore', 'inherit'] }))
  }

  async kill (name: string): Promise<void> {
    const child = this.processes.get(name)
    const exited = new Promise(resolve => child?.once('exit', resolve))
    child?.kill('SIGKILL')
    await exited
  }

  /** Resident memory of a daemon in MB. */
  rssMb (name: string): number {
    const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${this.pidOf(name)}/status`, 'utf8'))
    return Number(line?.[1] ?? 0) / 1024
  }

  /** Processor seconds of a daemon so far. */
  cpuSeconds (name: string): number {
    const stat = readFileSync(`/proc/${this.pidOf(name)}/stat`, 'utf8')
    const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
    return (Number(fields[11]) + Number(fields[12])) / clockTicksPerSecond
  }

  async close (): Promise<void> {
    await Promise.all([...this.processes.keys()].map(async name => await this.kill(name)))
    rmSync(this.folder, { recursive: true, force: true })
  }

  private pidOf (name: string): number {
    return this.processes.get(name)?.pid ?? 0
  }

  private write (name: string, lines: readonly string[]): void {
    const members = Object.entries(this.members).map(([member, address]) => `${member} = "${address}"`).join(', ')
    writeFileSync(join(this.folder, `${name}.toml`), [
      `name = "${name}"`, 'zone = "a"', 'peer_key_file = "peer.key"', 'operator_token_file = "operator.token"', `control_members = { ${members} }`,
      '[log]', 'level = "warn"', ...lines
    ].join('\n'))
  }
}

/** The flags which the operators' page names for each role. */
function flagsOf (role: string): readonly string[] {
  return role === 'agent' ? ['--max-semi-space-size=2'] : []
}

/** Waits until a condition holds; an error counts as not yet. */
export async function waitFor (condition: () => Promise<boolean>): Promise<void> {
  const giveUpAt = performance.now() + waitMs
  for (;;) {
    if (await condition().catch(() => false)) return
    if (performance.now() > giveUpAt) throw new Error(`expected within ${waitMs} ms: ${condition.toString()}`)
    await sleep(20)
  }
}

export async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}

function toAddress (text: string): Address {
  const [host = '', port = ''] = text.split(':')
  return { host, port: Number(port) }
}
