import { spawn } from 'node:child_process'
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import http from 'node:http'
import net from 'node:net'
import { tmpdir } from 'node:os'
import { dirname, join, resolve } from 'node:path'
import { fileURLToPath } from 'node:url'
import { Minion } from './minion.mjs'
import { fillTemplate } from './template.mjs'

const root = resolve(dirname(fileURLToPath(import.meta.url)), '../..')
const zones = ['paraiso', 'oreamuno', 'el-guarco']
/** Delay until a process that ended is started again, in milliseconds. */
const restartMs = 400

/** The bounds of the site `citas-dulces`, which the scripts' deployments follow. */
export const siteBounds = {
  seedLagS: 3,
  contactMs: 3000,
  ackMs: 4000,
  catchUpS: 4,
  drainMs: 2000,
  graceS: 6,
  lossSlackMs: 200,
  configApplyMs: 2000,
  recoverS: 12,
  maxHoldMs: 10_000,
  stopTimeoutMs: 900,
  cancel_ms: 3000,
  visible_ms: 3000,
  early_ms: 250,
  finish_s: 14,
  status_s: 120,
  checkpointS: 2
}

/** The route that the scripts use, as in the example of PROTOCOL.md. */
export const route = { name: 'r-3hwrr6x', host: 'nony24.example', pathPrefix: '/lohu930/', kind: 'non_idempotent', timeoutMs: 3000, targetLatencyMs: 2500, priority: 0, service: 'huvo11a', maxAttempts: 4, slackFactor: 2.2 }

/** A small deployment of the project's own programs, each process started by the `run` line of the deploy file. */
export class Deployment {
  processes = new Map()
  minions = []
  events = []
  startedAt = performance.now()
  isStopping = false

  constructor ({ sides, bounds = siteBounds, heartbeatMs = 1500, workOf = () => ({ ms: 900, lasts: false }) }) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'))
    this.sides = sides
    this.bounds = bounds
    this.heartbeatMs = heartbeatMs
    this.workOf = workOf
    this.runLines = readRunLines()
    this.template = readFileSync(join(root, 'deploy/node.toml.template'), 'utf8')
  }

  get nowMs () { return Math.round(performance.now() - this.startedAt) }

  record (fields) { this.events.push({ at: this.nowMs, ...fields }) }

  /** Starts all processes and minions, sends the manifest and waits until callers are served. */
  async start () {
    // Each machine has a loopback address of its own, so all of them can use the same ports, as on the platform.
    const block = 1 + Math.floor(Math.random() * 250)
    this.addressOf = (zone, number) => `127.${block}.${zone + 1}.${number}`
    const [frontend, ready, control, app, ...peers] = await findFreePorts(this.addressOf(0, 1), 8)
    this.ports = { frontend, ready, control, app, peers }
    this.edges = zones.map((zone, index) => ({ name: `edge-${zone}-1`, zone, ip: this.addressOf(index, 1) }))
    this.sideMachines = Array.from({ length: this.sides }, (_, index) => {
      const zone = index % zones.length
      return { name: `side-${zones[zone]}-${Math.floor(index / zones.length) + 1}`, zone: zones[zone], ip: this.addressOf(zone, 16 + Math.floor(index / zones.length)), rack: `r${index % zones.length + 1}-${Math.floor(index / (3 * zones.length))}` }
    })
    for (const machine of this.edges) {
      this.launch(machine, 'control', true)
      this.launch(machine, 'entry', true)
    }
    for (const [index, machine] of this.sideMachines.entries()) {
      this.launch(machine, 'agent', true)
      const minion = new Minion({
        name: machine.name,
        id: `i-${index}-0`,
        service: route.service,
        zone: machine.zone,
        rack: machine.rack,
        cpu: 64_000,
        memMb: 256_000,
        app: { host: machine.ip, port: app },
        agent: { host: machine.ip, port: control },
        heartbeatMs: this.heartbeatMs,
        maxHoldMs: this.bounds.maxHoldMs,
        workOf: this.workOf,
        record: fields => this.record(fields)
      })
      this.minions.push(minion)
      await minion.start()
    }
    await this.putManifest(1, [route])
    await this.waitFor('ready', 20_000, async () => {
      const answers = await Promise.all(this.edges.map(async ({ ip }) => await call({ host: ip, port: ready }, 'GET', '/-/readyz')))
      return answers.every(answer => answer.status === 200)
    })
    // All agents have found the leader by then, so that it knows all minions.
    await sleep(3500)
  }

  settingsOf (machine, role, isFirstStart) {
    const { ports } = this
    const isAgent = role === 'agent'
    return {
      nodeName: machine.name,
      role,
      machineClass: isAgent ? 'side' : 'edge',
      ip: machine.ip,
      zone: machine.zone,
      region: 'cartago',
      zones: Object.fromEntries(zones.map(zone => [zone, 'cartago'])),
      listen: role === 'entry' ? { frontend: `${machine.ip}:${ports.frontend}`, ready: `${machine.ip}:${ports.ready}` } : { control: `${machine.ip}:${ports.control}` },
      ...(isAgent ? { app: `${machine.ip}:${ports.app}` } : {}),
      internalPorts: [ports.peers[0], ports.peers.at(-1)],
      seeds: this.edges.map(({ ip }) => `${ip}:${ports.control}`),
      bootstrap: isFirstStart,
      dataDir: role === 'control' ? join(this.folder, machine.name) : null,
      contracts: ['base', 'drain', 'config', 'cost', 'recover', 'sched', 'advice', 'upkeep', 'sharing'],
      faultTolerance: { machines: 1, zones: 0, regionCount: 0 },
      bounds: this.bounds
    }
  }

  launch (machine, role, isFirstStart) {
    const name = `${machine.name}/${role}`
    const path = join(this.folder, `${machine.name}-${role}.toml`)
    if (role === 'control') mkdirSync(join(this.folder, machine.name), { recursive: true })
    writeFileSync(path, fillTemplate(this.template, this.settingsOf(machine, role, isFirstStart)))
    const [program, ...words] = this.runLines[role].replaceAll('/etc/heatherdrum/node.json', path).split(' ')
    const { PATH, HOME, LANG } = process.env
    const child = spawn(program === 'node' ? process.execPath : program, words, { cwd: root, env: { PATH, HOME, LANG, HEATHERDRUM_BOOT: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    const entry = { child, machine, role, log: this.processes.get(name)?.log ?? [], mayRestart: true }
    this.processes.set(name, entry)
    const keep = chunk => entry.log.push(String(chunk))
    child.stdout.on('data', keep)
    child.stderr.on('data', keep)
    this.record({ event: 'process started', name, pid: child.pid })
    child.once('exit', (code, signal) => {
      entry.hasExited = true
      this.record({ event: 'process ended', name, code, signal })
      if (this.isStopping || !entry.mayRestart) return
      setTimeout(() => { if (!this.isStopping) this.launch(machine, role, false) }, restartMs)
    })
  }

  /** Sends a signal to a process that this deployment started. */
  signal (name, signal) {
    const entry = this.processes.get(name)
    if (entry === undefined || entry.hasExited === true) return
    this.record({ event: 'signal', name, signal })
    entry.child.kill(signal)
  }

  /** A machine with a disk loses power and its disk, and is back some time later, with an empty one. */
  async wipe (machine, downMs) {
    const roles = ['control', 'entry']
    for (const role of roles) {
      const name = `${machine.name}/${role}`
      const entry = this.processes.get(name)
      entry.mayRestart = false
      const ended = new Promise(resolve => entry.child.once('exit', resolve))
      this.signal(name, 'SIGKILL')
      await ended
    }
    rmSync(join(this.folder, machine.name), { recursive: true })
    this.record({ event: 'disk lost', machine: machine.name })
    await sleep(downMs)
    for (const role of roles) this.launch(machine, role, false)
  }

  /** The name of the process that has begun to lead last. */
  get leader () {
    const terms = [...this.processes].flatMap(([name, { role, log }]) => {
      const term = role === 'control' ? [...log.join('').matchAll(/event=leading .*?term=(\d+)/g)].at(-1)?.[1] : undefined
      return term === undefined ? [] : [{ name, term: Number(term) }]
    })
    return terms.sort((a, b) => b.term - a.term)[0]?.name
  }

  /** Sends a manifest until it is acknowledged. */
  async putManifest (version, routes) {
    await this.waitFor('manifest', 20_000, async () => await this.tryManifest(version, routes, 1))
  }

  /** Sends a manifest as the operator does: at the next node after a failure, with increasing pauses. Resolves to whether it was acknowledged. */
  async tryManifest (version, routes, attempts = 8) {
    const manifest = {
      version,
      routes,
      services: [{ name: route.service, healthPath: '/healthz', maxConns: 64, protocol: 'h1', tls: false, admissionCheck: false, standby: false }],
      limits: { maxHeaderBytes: 16_384, maxBodyBytes: 262_144, headerTimeoutMs: 3000, idleTimeoutMs: 15_000 }
    }
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const status = await this.sendManifest(manifest, (version + attempt) % this.edges.length)
      if (status === 200) {
        this.record({ event: 'manifest acknowledged', version })
        return true
      }
      await sleep(100 * (attempt + 1))
    }
    this.record({ event: 'manifest without acknowledgement', version })
    return false
  }

  async sendManifest (manifest, edge) {
    let address = { host: this.edges[edge].ip, port: this.ports.control }
    for (let hop = 0; hop < 3; hop += 1) {
      // A second is the limit of usual orders; larger bodies get more.
      const answer = await call(address, 'PUT', '/-/config', { body: manifest, timeoutMs: 2000 })
      if (answer.status !== 307) return answer.status
      const { hostname, port } = new URL(answer.headers.location)
      address = { host: hostname, port: Number(port) }
    }
    return 0
  }

  /** One request of a consumer, at the entry process of the given edge machine. */
  async request (method, path, body, edge = 0) {
    const answer = await call({ host: this.edges[edge].ip, port: this.ports.frontend }, method, path, { host: route.host, body, timeoutMs: 3000, headers: { 'deadline-ms': '3000' } })
    this.record({ event: 'answer', method, path, edge, status: answer.status, body: answer.text })
    return answer
  }

  /** Hands a submission in as consumers do: again with the same id, at another node, after no clear answer. */
  async submit (id, submission, edge = 0) {
    for (let attempt = 0; attempt < 5; attempt += 1) {
      const { status } = await this.request('POST', route.pathPrefix + id, submission, (edge + attempt) % this.edges.length)
      if (status >= 200 && status < 300) {
        this.record({ event: 'accepted', id })
        return true
      }
      await sleep(300)
    }
    return false
  }

  async stateOf (id, edge = 0) {
    const { status, text } = await this.request('GET', route.pathPrefix + id, undefined, edge)
    return status === 200 ? JSON.parse(text).state : String(status)
  }

  async waitFor (what, limitMs, isTrue) {
    const giveUpAt = performance.now() + limitMs
    while (!await isTrue()) {
      if (performance.now() > giveUpAt) throw new Error(`not reached within ${limitMs} ms: ${what}`)
      await sleep(100)
    }
  }

  /** Ends all processes and stand-ins, and waits a moment for their last events. */
  async stop () {
    this.isStopping = true
    for (const { child } of this.processes.values()) child.kill('SIGKILL')
    for (const minion of this.minions) minion.close()
    await sleep(200)
    rmSync(this.folder, { recursive: true, force: true })
  }

  /** The same without waiting. */
  stopNow () {
    this.isStopping = true
    for (const { child } of this.processes.values()) child.kill('SIGKILL')
    rmSync(this.folder, { recursive: true, force: true })
  }
}

/** Exit codes of a case; `run.sh` turns them into 1, 0 and 2, as an error of Node.js ends with 1 as well. */
const exitCodes = { held: 0, broken: 10, notRun: 2 }
/** A script ends within this time, in milliseconds. */
const limitMs = 115_000

/**
 * Runs a script: `body` gets the deployment and whether there is trouble, and returns a sentence on how the rule was broken, or
 * undefined if it held. Writes the record, and ends all processes that it started.
 */
export async function runCase (recordPath, options, body) {
  const hasTrouble = process.env.TROUBLE !== '0'
  const deployment = new Deployment(options)
  const giveUp = reason => {
    console.log(`the case couldn't run: ${reason}`)
    deployment.stopNow()
    process.exit(exitCodes.notRun)
  }
  setTimeout(() => giveUp(`not done within ${limitMs} ms`), limitMs)
  for (const signal of ['SIGTERM', 'SIGINT']) process.once(signal, () => giveUp(signal))
  process.once('uncaughtException', error => giveUp(error.stack))
  let code = exitCodes.notRun
  let verdict
  try {
    await deployment.start()
    const broken = await body(deployment, hasTrouble)
    code = broken === undefined ? exitCodes.held : exitCodes.broken
    verdict = broken === undefined ? 'the rule held' : `the rule was broken: ${broken}`
  } catch (error) {
    verdict = `the case couldn't run: ${error instanceof Error ? error.message : String(error)}`
  }
  await deployment.stop()
  const lines = deployment.events.map(({ at, event, ...rest }) => `${String(at).padStart(6)} ms  ${event}  ${Object.entries(rest).filter(([, value]) => value !== undefined).map(([key, value]) => `${key}=${typeof value === 'object' ? JSON.stringify(value) : value}`).join(' ')}`)
  writeFileSync(recordPath, [`trouble: ${hasTrouble ? 'yes' : 'no'}`, `result: ${verdict}`, ...lines, ''].join('\n'))
  console.log(verdict)
  process.exit(code)
}

/** Sends a request and resolves to its answer; status 0 if there is none. */
export async function call (address, method, path, { host, body, timeoutMs = 1000, headers = {} } = {}) {
  const text = body === undefined ? '' : JSON.stringify(body)
  return await new Promise(resolve => {
    const none = () => resolve({ status: 0, text: '', headers: {} })
    const request = http.request({ ...address, method, path, agent: false, headers: { ...(host === undefined ? {} : { host }), ...(text === '' ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }), ...headers } }, response => {
      let received = ''
      response.on('data', chunk => { received += chunk })
      response.once('end', () => resolve({ status: response.statusCode, text: received, headers: response.headers }))
      response.once('error', none)
      response.once('aborted', none)
    })
    request.setTimeout(timeoutMs, () => request.destroy())
    request.once('error', none)
    request.end(text)
  })
}

export async function sleep (ms) { await new Promise(resolve => setTimeout(resolve, ms)) }

function readRunLines () {
  const lines = {}
  let role = ''
  for (const line of readFileSync(join(root, 'deploy/system.toml'), 'utf8').split('\n')) {
    role = /^\[roles\.(\w+)\]/.exec(line)?.[1] ?? role
    const run = /^run = "(.*)"/.exec(line)?.[1]
    if (run !== undefined) lines[role] = run
  }
  return lines
}

/** Consecutive ports that are free at an address; the ports of the deployment are the same at all addresses. */
async function findFreePorts (host, count) {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const first = 20_000 + Math.floor(Math.random() * 9000)
    const ports = Array.from({ length: count }, (_, index) => first + index)
    const areFree = await Promise.all(ports.map(async port => await isFree(host, port)))
    if (areFree.every(Boolean)) return ports
  }
  throw new Error('no free ports')
}

async function isFree (host, port) {
  return await new Promise(resolve => {
    const server = net.createServer()
    server.once('error', () => resolve(false))
    server.listen(port, host, () => server.close(() => resolve(true)))
  })
}
