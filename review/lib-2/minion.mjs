// A minion as PROTOCOL.md describes it. The length of a task is the field `ms` of its spec, a JSON text; 1 s without one. One with the field
// `lasts` runs until it is stopped, and is at work after a short startup.
import http from 'node:http'
import { send } from './deployment.mjs'

const heartbeatMs = 1500

/** Startup of a task that lasts. */
const startupMs = 400

function readSpec (spec) {
  try { return JSON.parse(spec) } catch { return {} }
}

function percentOf ({ lasts, ms, entry }) {
  const agedMs = performance.now() - entry.at - (entry.pausedMs ?? 0)
  if (lasts) return agedMs >= startupMs ? 100 : 0
  return Math.min(99, Math.floor(agedMs / ms * 100))
}

export class Minion {
  runs = new Map()
  ends = []
  /** What was started here, for the checks: { task, run, boot, at, endedAt, end, spec }. */
  history = []
  boots = 0
  isDark = false

  constructor ({ name, record, labels = ['a', 'r1-1'], cpu = 64000, memMb = 256000, stopMs = 50, maxHoldMs = 10000 }) {
    Object.assign(this, { name, record, labels, cpu, memMb, stopMs, maxHoldMs })
  }

  get id () { return `i-${this.name}-${this.boots}` }
  /** The steady clock, which a suspension stops. */
  get clock () { return Math.floor((this.suspendedAt ?? performance.now()) - this.bootedAt + 100) }

  async open ({ ip, port, zone, agent }) {
    Object.assign(this, { ip, port, zone, agent })
    await this.boot()
  }

  async boot () {
    this.boots += 1
    this.bootedAt = performance.now()
    this.born = Date.now()
    this.runs.clear()
    this.highest = new Map()
    this.ends = []
    this.endNumber = 0
    this.fence = 0
    this.deadline = 0
    this.sequence = 0
    this.isDark = false
    this.sockets = new Set()
    this.server = http.createServer({ keepAliveTimeout: 60000 }, (request, response) => { this.serve(request, response) })
    this.server.on('connection', socket => {
      this.sockets.add(socket)
      socket.on('error', () => {})
      socket.once('close', () => this.sockets.delete(socket))
    })
    for (let attempt = 0; ; attempt += 1) {
      const isOpen = await new Promise(resolve => {
        this.server.once('error', () => resolve(false))
        this.server.listen(this.port, this.ip, () => resolve(true))
      })
      if (isOpen) break
      if (attempt > 50) throw new Error(`${this.name} can't listen`)
      await new Promise(resolve => setTimeout(resolve, 20))
    }
    this.watch = setInterval(() => this.checkLease(), 20)
    this.beat = setInterval(() => this.heartbeat(), heartbeatMs)
    this.heartbeat()
  }

  async heartbeat () {
    if (this.isDark || this.suspendedAt !== undefined) return
    this.sequence += 1
    const body = { service: 'citas', address: `${this.ip}:${this.port}`, zone: this.zone, version: 'v1', slots: 8, state: 'ready', coldRemainingMs: 0, capacity: { cpu: this.cpu, memMb: this.memMb, gpu: 0 }, labels: this.labels, clockMs: this.clock, sequence: this.sequence, born: this.born }
    const { boots } = this
    const answer = await send({ address: this.agent, method: 'PUT', path: `/-/instances/${this.id}`, body, timeoutMs: 1000 })
    // Without an ack the ping is sent again soon.
    if (answer.status !== 200 && boots === this.boots && !this.isDark && this.server !== undefined) setTimeout(() => { if (boots === this.boots) this.heartbeat() }, 200)
  }

  /** Crashes: whatever runs is gone, connections are reset, and nothing listens. `restart` brings the next boot. */
  crash () {
    this.record.note(`${this.name} crashes`)
    this.close()
  }

  /** Crashes without a sound: whatever runs is gone, calls hang. `restart` brings the next boot. */
  goDark () {
    this.record.note(`${this.name} crashes, dark`)
    this.stopRuns('crashed')
    this.isDark = true
    clearInterval(this.beat)
    clearInterval(this.watch)
  }

  /** Suspends it with its machine: nothing works on, and the steady clock stands still. */
  suspend () {
    this.record.note(`${this.name} is suspended`)
    this.suspendedAt = performance.now()
    this.resumed = new Promise(resolve => { this.wake = resolve })
    for (const run of this.runs.values()) clearTimeout(run.timer)
  }

  resume () {
    this.bootedAt += performance.now() - this.suspendedAt
    for (const run of this.runs.values()) {
      run.entry.pausedMs = (run.entry.pausedMs ?? 0) + performance.now() - this.suspendedAt
      if (!run.lasts) run.timer = setTimeout(() => this.finish(run, 'done'), run.ms - (performance.now() - run.entry.at - run.entry.pausedMs))
    }
    this.suspendedAt = undefined
    this.resumed = undefined
    this.wake()
    this.record.note(`${this.name} goes on, at ${this.clock} of its steady clock, and holds a lease until ${this.deadline}; it runs ${[...this.runs.keys()].join(', ')}`)
    this.heartbeat()
  }

  /** Starts again, after a crash, as another boot. */
  async restart () {
    this.close()
    await this.boot()
    this.record.note(`${this.name} is back as ${this.id}`)
  }

  close () {
    clearInterval(this.beat)
    clearInterval(this.watch)
    this.stopRuns('crashed')
    this.server?.close()
    for (const socket of this.sockets ?? []) socket.destroy()
    this.server = undefined
  }

  stopRuns (end) {
    for (const run of this.runs.values()) {
      clearTimeout(run.timer)
      Object.assign(run.entry, { endedAt: performance.now(), end })
    }
    this.runs.clear()
  }

  checkLease () {
    if (this.runs.size === 0 || this.clock <= this.deadline) return
    for (const run of [...this.runs.values()]) this.finish(run, 'lapsed')
  }

  finish (run, how) {
    clearTimeout(run.timer)
    this.runs.delete(run.task)
    this.endNumber += 1
    this.ends.push([this.endNumber, run.task, run.run, how, ''])
    Object.assign(run.entry, { endedAt: performance.now(), end: how })
    this.record.note(`${this.name} ends ${run.task} run ${run.run}: ${how}`)
    for (const wake of this.waiters ?? []) wake()
  }

  async serve (request, response) {
    const chunks = []
    try {
      for await (const chunk of request) chunks.push(chunk)
    } catch { return }
    await this.resumed
    if (this.isDark) return
    const { boots } = this
    const answer = (status, body) => {
      if (this.isDark || boots !== this.boots || response.destroyed) return
      const text = JSON.stringify({ clockMs: this.clock, born: this.born, ...body })
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) }).end(text)
    }
    if (request.url === '/healthz') return answer(200, {})
    const expected = request.headers['expect-instance']
    if (expected !== undefined && expected !== this.id) return answer(421, {})
    let body
    try { body = JSON.parse(Buffer.concat(chunks).toString()) } catch { return answer(400, {}) }
    const token = body.fencingToken ?? 0
    if (token < this.fence) return answer(409, { reason: 'fence' })
    this.fence = token
    if (body.deadlineMs !== undefined) this.deadline = Math.max(this.deadline, Math.min(body.deadlineMs, this.clock + this.maxHoldMs))
    if (request.url === '/-/run-start') return this.startRun(body, answer)
    if (request.url === '/-/run-stop') return this.stopRun(body, answer)
    if (request.url === '/-/hold') return this.hold(body, answer)
    if (request.url === '/-/pace') return answer(200, {})
    answer(404, {})
  }

  startRun ({ task, runId, spec }, answer) {
    const known = this.runs.get(task)
    if (known?.run === runId) return answer(200, {})
    if (runId <= (this.highest.get(task) ?? 0) || known !== undefined) return answer(409, { reason: 'old' })
    if (this.deadline <= this.clock) return answer(409, { reason: 'late' })
    const { ms = 1000, lasts = false } = readSpec(spec)
    const entry = { task, run: runId, boot: this.id, at: performance.now(), spec }
    this.history.push(entry)
    const run = { task, run: runId, entry, ms, lasts, timer: lasts ? undefined : setTimeout(() => this.finish(run, 'done'), ms) }
    this.runs.set(task, run)
    this.highest.set(task, runId)
    this.record.note(`${this.name} starts ${task} run ${runId}`)
    this.onStart?.(entry)
    answer(200, {})
  }

  stopRun ({ task, runId }, answer) {
    this.highest.set(task, Math.max(runId, this.highest.get(task) ?? 0))
    const run = this.runs.get(task)
    if (run?.run === runId) setTimeout(() => { if (this.runs.get(task) === run) this.finish(run, 'stopped') }, this.stopMs)
    answer(200, {})
  }

  hold ({ ackSeq = 0, waitMs = 0 }, answer) {
    this.ends = this.ends.filter(([number]) => number > ackSeq)
    const reply = () => answer(200, {
      running: [...this.runs.values()].map(each => [each.task, each.run, '', percentOf(each), 500]),
      finished: this.ends.slice(0, 500)
    })
    if (waitMs === 0 || this.ends.length > 0) return reply()
    this.waiters ??= new Set()
    const wake = () => {
      clearTimeout(timer)
      this.waiters.delete(wake)
      reply()
    }
    const timer = setTimeout(wake, waitMs)
    this.waiters.add(wake)
  }
}
