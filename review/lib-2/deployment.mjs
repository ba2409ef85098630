// Starts a small deployment from the deploy file: the same commands, settings from its template, one loopback address for each machine.
import { spawn } from 'node:child_process'
import { appendFileSync, existsSync, mkdirSync, mkdtempSync, openSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..')

/** Bounds of the site file `sites/citas-dulces.toml`. */
export const bounds = { seedLagS: 3, contactMs: 3000, ackMs: 4000, catchUpS: 4, graceS: 6, configApplyMs: 2000, maxHoldMs: 10000, stopTimeoutMs: 900, cancel_ms: 3000, visible_ms: 3000, status_s: 120 }

export const sleep = ms => new Promise(resolve => setTimeout(resolve, ms))

/** Waits until a condition holds; false if it doesn't within the time. */
export async function until (condition, ms, pauseMs = 25) {
  for (const end = performance.now() + ms; performance.now() < end; await sleep(pauseMs)) if (await condition()) return true
  return false
}

/** Writes what was sent, answered and run to `record.txt` of a case. */
export class Record {
  constructor (folder) {
    this.path = join(folder, 'record.txt')
    writeFileSync(this.path, '')
    this.startedAt = performance.now()
  }

  note (text) { appendFileSync(this.path, `${((performance.now() - this.startedAt) / 1000).toFixed(3).padStart(8)} s  ${text}\n`) }
}

/** Fills in a template of the deploy file: values, `|json`, and sections over tables. */
export function fillTemplate (text, values) {
  const find = (path, scope) => path === '.' ? scope['.'] : path.split('.').reduce((value, key) => value?.[key], scope)
  const sections = text.replace(/\{\{#([\w.]+)\}\}\n?([\s\S]*?)\{\{\/\1\}\}\n?/g, (_all, path, body) =>
    Object.entries(find(path, values) ?? {}).map(([key, value]) => body.replaceAll('{{@}}', key).replaceAll('{{.}}', String(value))).join(''))
  return sections.replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_all, path, json) => {
    const value = find(path, values)
    if (json !== undefined) return JSON.stringify(value ?? null)
    return value === undefined ? '' : String(value)
  })
}

/** The `run` lines of the deploy file by role. */
function readRunLines () {
  const lines = new Map()
  let role
  for (const line of readFileSync(join(root, 'deploy/system.toml'), 'utf8').split('\n')) {
    role = /^\[roles\.(\w+)\]/.exec(line)?.[1] ?? role
    const run = /^run = "(.*)"/.exec(line)?.[1]
    if (run !== undefined) lines.set(role, run)
  }
  return lines
}

/** Sends one HTTP request; resolves to its status and body, or to status 0 without an answer. */
export async function send ({ address, method, path, host, body, headers = {}, timeoutMs = 3000 }) {
  const [ip, port] = address.split(':')
  const text = body === undefined ? '' : typeof body === 'string' ? body : JSON.stringify(body)
  return await new Promise(resolve => {
    const request = http.request({ host: ip, port, method, path, agent: false, headers: { ...(host === undefined ? {} : { host }), 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers } }, response => {
      const chunks = []
      response.on('data', chunk => chunks.push(chunk))
      response.once('error', () => resolve({ status: 0, text: '' }))
      response.once('end', () => resolve({ status: response.statusCode, text: Buffer.concat(chunks).toString(), headers: response.headers }))
    })
    const timer = setTimeout(() => request.destroy(new Error('timeout')), timeoutMs)
    request.once('close', () => { clearTimeout(timer); resolve({ status: 0, text: '' }) })
    request.once('error', error => resolve({ status: 0, text: String(error.code ?? error.message) }))
    request.end(text)
  })
}

async function isFree (ip, port) {
  return await new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, ip, () => server.close(() => resolve(true)))
  })
}

/** A deployment: a control machine with a disk in each zone, entries beside them, and one agent for each minion. */
export class Deployment {
  processes = new Map()
  settings = new Map()
  logs = []

  constructor (record, { zones = ['paraiso', 'oreamuno', 'el-guarco'], toleratedLosses = 1, longestLeaseMs = bounds.maxHoldMs } = {}) {
    if (!existsSync(join(root, 'target/heatherdrumNode.cjs'))) throw new Error('target/heatherdrumNode.cjs is missing: run the build of the deploy file')
    this.record = record
    this.zones = zones
    this.toleratedLosses = toleratedLosses
    this.bounds = { ...bounds, maxHoldMs: longestLeaseMs }
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.runLines = readRunLines()
    // No process outlives the script, however it ends.
    process.once('exit', () => { for (const { child } of this.processes.values()) child.kill('SIGKILL') })
    for (const signal of ['SIGTERM', 'SIGINT', 'SIGHUP']) process.once(signal, () => process.exit(2))
    this.template = readFileSync(join(root, 'deploy/node.toml.template'), 'utf8')
  }

  /** Finds loopback addresses and ports that are free. */
  async choosePorts () {
    for (let attempt = 0; attempt < 50; attempt += 1) {
      const block = 10 + Math.floor(Math.random() * 200)
      const base = 20000 + Math.floor(Math.random() * 100) * 100
      const free = await Promise.all([9464, 9465, 9466, base, base + 1, base + 2, base + 20].map(async port => await isFree(`127.${block}.0.1`, port)))
      if (free.every(Boolean)) {
        this.block = block
        this.base = base
        return
      }
    }
    throw new Error('no free ports')
  }

  ip (number) { return `127.${this.block}.0.${number}` }

  /** The addresses at which operators reach the control processes; three of them are seeds. */
  get controls () { return this.zones.map((_zone, position) => `${this.ip(position + 1)}:${this.base + 2}`) }

  values (role, name, ip, zone, app) {
    return {
      nodeName: name,
      zone,
      ip,
      zones: Object.fromEntries(this.zones.map(each => [each, 'cartago'])),
      internalPorts: [this.base + 20, this.base + 35],
      seeds: this.controls.slice(0, 3),
      bootstrap: !this.hasStarted,
      dataDir: role === 'control' ? join(this.folder, name) : '',
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'advice', 'upkeep', 'sharing'],
      listen: role === 'entry' ? { frontend: `${ip}:${this.base}`, ready: `${ip}:${this.base + 1}` } : { control: `${ip}:${this.base + 2}` },
      app,
      bounds: this.bounds,
      faultTolerance: { machines: this.toleratedLosses }
    }
  }

  /** Starts or restarts one process with the command of the deploy file; a `relay` is a control process of a machine without a disk. */
  start (role, name, ip, zone, app) {
    const path = join(this.folder, `${name}-${role}.toml`)
    writeFileSync(path, fillTemplate(this.template, this.values(role, name, ip, zone, app)))
    if (role === 'control') mkdirSync(join(this.folder, name), { recursive: true })
    const [command, ...words] = this.runLines.get(role === 'relay' ? 'control' : role).replace('/etc/heatherdrum/node.json', path).split(' ')
    const log = openSync(join(this.folder, `${name}-${role}.log`), 'a')
    const child = spawn(command === 'node' ? process.execPath : command, words, { cwd: root, stdio: ['ignore', log, log], env: { PATH: process.env.PATH, HOME: process.env.HOME } })
    this.processes.set(`${name}-${role}`, { child, restart: () => this.start(role, name, ip, zone, app) })
    return child
  }

  pid (name) { return this.processes.get(name).child.pid }

  signal (name, signal) {
    this.record.note(`${signal} to ${name}`)
    this.processes.get(name).child.kill(signal)
  }

  /** Stops a process in order, as the platform does around planned work, and starts it again. */
  async restart (name) {
    const { child, restart } = this.processes.get(name)
    this.signal(name, 'SIGTERM')
    await new Promise(resolve => child.once('exit', resolve))
    restart()
    this.record.note(`${name} starts again`)
  }

  /** Kills control processes at the same moment, empties their disks, and starts them again after a time. */
  async wipe (names, downMs) {
    const ended = names.map(name => new Promise(resolve => this.processes.get(name).child.once('exit', resolve)))
    for (const name of names) this.signal(name, 'SIGKILL')
    await Promise.all(ended)
    for (const name of names) rmSync(join(this.folder, name.replace('-control', '')), { recursive: true, force: true })
    await sleep(downMs)
    for (const name of names) this.processes.get(name).restart()
    this.record.note(`${names.join(', ')} start again with empty disks`)
  }

  /** The position of the control process that leads: it answers a read of the manifest itself. */
  async leader () {
    for (const [position, address] of this.controls.entries()) {
      if ((await send({ address, method: 'GET', path: '/-/config', timeoutMs: 1000 })).status === 200) return position
    }
    return undefined
  }

  log (name) { return readFileSync(join(this.folder, `${name}.log`), 'utf8') }

  /** Starts control and entry processes, and an agent for each minion. */
  async begin (minions) {
    await this.choosePorts()
    this.zones.forEach((zone, position) => {
      const ip = this.ip(position + 1)
      this.start('control', `edge-${zone}-1`, ip, zone)
      this.start('entry', `edge-${zone}-1`, ip, zone)
    })
    for (const [position, minion] of minions.entries()) {
      const ip = this.ip(position + 101)
      const zone = this.zones[position % this.zones.length]
      const app = `${ip}:${this.base + 5}`
      await minion.open({ ip, port: this.base + 5, zone, agent: `${ip}:${this.base + 2}` })
      this.start('agent', `side-${position + 1}`, ip, zone, app)
    }
    this.hasStarted = true
    this.entries = this.zones.map((_zone, position) => `${this.ip(position + 1)}:${this.base}`)
    this.minions = minions
  }

  /** Sends a call of the operator to the control processes in turn, follows redirects, and repeats it until it is answered. */
  async operate (method, path, body, ms = 15000) {
    for (const end = performance.now() + ms; performance.now() < end; await sleep(100)) {
      for (const first of this.controls) {
        let [address, target] = [first, path]
        for (let hop = 0; hop < 3; hop += 1) {
          const answer = await send({ address, method, path: target, body, timeoutMs: 1000 })
          if (answer.status === 307) {
            const location = new URL(answer.headers.location)
            ;[address, target] = [location.host, location.pathname]
          } else if (answer.status >= 200 && answer.status < 500 && answer.status !== 408 && answer.status !== 429) return answer
          else break
        }
      }
    }
    return { status: 0, text: '' }
  }

  /** Ends all processes that this deployment started. */
  async end () {
    for (const { child } of this.processes.values()) {
      child.kill('SIGCONT')
      child.kill('SIGKILL')
    }
    for (const minion of this.minions ?? []) minion.close()
    await sleep(200)
    if (process.env.KEEP === undefined) rmSync(this.folder, { recursive: true, force: true })
    else console.log(this.folder)
  }
}

/** The manifest of a deployment with one pool; queues are named in `queues`. */
export function manifest (version, queues) {
  return {
    version,
    routes: queues.map(({ name, host = 'nony24.example', prefix, priority = 0, maxAttempts = 4 }) => ({ name, host, pathPrefix: prefix, kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 300, priority, service: 'citas', maxAttempts, slackFactor: 1.5 })),
    services: [{ name: 'citas', healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false }],
    limits: { maxHeaderBytes: 16384, maxBodyBytes: 262144, headerTimeoutMs: 3000, idleTimeoutMs: 15000 }
  }
}
