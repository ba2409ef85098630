import http from 'node:http'

/** Limit of the ends in one list. */
const maximumListedEnds = 500
/** Longest wait of a list for an end, in milliseconds. */
const maximumWaitMs = 2000
/** How long a stop takes, in milliseconds; far below the platform's limit. */
const stopMs = 60
/** Time after which a lasting task is at work, in milliseconds. */
const lastingStartupMs = 300

/**
 * A stand-in of a worker of the users' platform, after PROTOCOL.md ("Running tasks", "Service discovery"). It is sound: it fails
 * no task, keeps leases and fences, and lists each end until that is acknowledged. A script makes it crash, restart, vanish, or lose its open
 * channels.
 */
export class Minion {
  /** Number of the current life, from 0. */
  boot = -1
  isUp = false
  /** Whether it is lost without a trace: calls get no answer, and it sends no heartbeats. */
  isDark = false
  /** Called with each task that is started. */
  onStart = () => {}

  constructor (options) {
    this.options = options
    this.sockets = new Set()
    /** Open channels that have gone silent: nothing passes any more, in either direction. */
    this.silentSockets = new Set()
    this.id = options.id
  }

  get clockMs () { return Math.round(performance.now() - this.startedAt) }

  /** Begins a life, under the given id. */
  async start (id = this.id) {
    this.id = id
    this.boot += 1
    this.born = Date.now()
    this.startedAt = performance.now()
    this.sequence = 0
    this.fence = 0
    this.leaseEnd = 0
    this.endNumber = 0
    this.ends = []
    this.running = new Map()
    /** The highest run of each task that was stopped or has ended here. */
    this.past = new Map()
    this.waiters = new Set()
    const server = http.createServer((request, response) => { this.serve(request, response) })
    server.keepAliveTimeout = 60_000
    server.on('connection', socket => {
      this.sockets.add(socket)
      socket.once('close', () => this.sockets.delete(socket))
    })
    this.server = server
    await new Promise((resolve, reject) => {
      server.once('error', reject)
      server.listen(this.options.app.port, this.options.app.host, resolve)
    })
    this.isUp = true
    this.note('boot', { id })
    this.beat()
    this.heartbeat = setInterval(() => this.beat(), this.options.heartbeatMs)
    this.leaseWatch = setInterval(() => this.endLapsed(), 20)
  }

  /** Crashes: nothing listens, all runs end, and nothing is remembered. */
  crash () {
    if (!this.isUp) return
    this.isUp = false
    this.note('crash', { runs: [...this.running.values()].map(run => `${run.task}#${run.runId}`) })
    clearInterval(this.heartbeat)
    clearInterval(this.leaseWatch)
    for (const run of this.running.values()) this.dropRun(run, 'lost')
    this.server.close()
    for (const socket of this.sockets) socket.resetAndDestroy()
  }

  /** Is lost without a trace: all runs end, and nobody gets an answer or a reset. */
  vanish () {
    this.isDark = true
    this.isUp = false
    this.note('vanish', { runs: [...this.running.values()].map(run => `${run.task}#${run.runId}`) })
    clearInterval(this.heartbeat)
    clearInterval(this.leaseWatch)
    for (const run of this.running.values()) this.dropRun(run, 'lost')
  }

  /** All channels that are open now go silent for good, without a reset; new ones work. */
  silenceChannels () {
    this.note('channels silent', { channels: this.sockets.size })
    for (const socket of this.sockets) this.silentSockets.add(socket)
  }

  /** Ends the stand-in itself. */
  close () {
    clearInterval(this.heartbeat)
    clearInterval(this.leaseWatch)
    for (const run of this.running?.values() ?? []) clearTimeout(run.timer)
    this.server?.close()
    for (const socket of this.sockets) socket.destroy()
  }

  note (event, fields) { this.options.record({ event, minion: this.options.name, boot: this.boot, ...fields }) }

  /** The fields of the next heartbeat. */
  get heartbeatFields () {
    const { service, zone, rack, cpu, memMb, app } = this.options
    return {
      service,
      address: `${app.host}:${app.port}`,
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: { cpu, memMb, gpu: 0 },
      labels: ['a', rack],
      clockMs: this.clockMs,
      born: this.born,
      sequence: this.sequence + 1
    }
  }

  beat () {
    const fields = this.heartbeatFields
    this.sequence = fields.sequence
    // Nobody may listen there for a moment; the next heartbeat follows.
    this.sendHeartbeat(this.id, fields)
  }

  /** Sends a heartbeat to the agent under an id. Resolves to the status of the answer, 0 without one. */
  async sendHeartbeat (id, fields) {
    const body = JSON.stringify(fields)
    return await new Promise(resolve => {
      const request = http.request({ ...this.options.agent, path: `/-/instances/${id}`, method: 'PUT', agent: false, headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } }, response => {
        response.resume()
        resolve(response.statusCode)
      })
      request.setTimeout(1000, () => request.destroy())
      request.once('error', () => resolve(0))
      request.end(body)
    })
  }

  async serve (request, response) {
    const { boot } = this
    let text = ''
    for await (const chunk of request) text += chunk
    if (this.isDark || !this.isUp || boot !== this.boot || this.silentSockets.has(request.socket)) return
    const order = JSON.parse(text || '{}')
    const reply = (status, body) => {
      if (response.destroyed || this.silentSockets.has(request.socket)) return
      const json = JSON.stringify(body)
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(json) }).end(json)
    }
    this.carryOut(request.url, request.headers['expect-instance'], order, reply)
  }

  carryOut (path, expected, order, reply) {
    if (expected !== undefined && expected !== this.id) return reply(421, {})
    const token = order.fencingToken ?? 0
    if (token < this.fence) return reply(409, { clockMs: this.clockMs, reason: 'fence' })
    this.fence = token
    if (path === '/-/run-start') return this.startRun(order, reply)
    if (path === '/-/run-stop') return this.stopRun(order, reply)
    if (path === '/-/hold') return this.hold(order, reply)
    if (path === '/-/pace') return reply(200, { clockMs: this.clockMs })
    reply(404, {})
  }

  extendLease ({ deadlineMs }) {
    if (deadlineMs !== undefined) this.leaseEnd = Math.max(this.leaseEnd, Math.min(deadlineMs, this.clockMs + this.options.maxHoldMs))
  }

  startRun (order, reply) {
    const { task, runId } = order
    const { clockMs } = this
    const refuse = reason => {
      this.note('start refused', { task, runId, reason })
      reply(409, { clockMs, reason })
    }
    if (order.deadlineMs !== undefined && order.deadlineMs <= clockMs) return refuse('late')
    this.extendLease(order)
    const known = this.running.get(task)
    if (known?.runId === runId) return reply(200, { clockMs })
    if (runId <= (this.past.get(task) ?? 0) || (known !== undefined && known.runId > runId)) return refuse('old')
    const { ms, lasts } = this.options.workOf(task)
    const run = { task, runId, lasts, ms, startedAt: clockMs, name: `${task}#${runId}` }
    if (!lasts) run.timer = setTimeout(() => this.endRun(run, 'done'), ms)
    this.running.set(task, run)
    this.note('start', { task, runId, spec: order.spec })
    this.onStart(task)
    reply(200, { clockMs })
  }

  stopRun ({ task, runId }, reply) {
    this.past.set(task, Math.max(runId, this.past.get(task) ?? 0))
    const run = this.running.get(task)
    if (run?.runId === runId && run.isStopping !== true) {
      run.isStopping = true
      setTimeout(() => this.endRun(run, 'stopped'), stopMs)
    }
    reply(200, { clockMs: this.clockMs })
  }

  hold (order, reply) {
    this.extendLease(order)
    this.ends = this.ends.filter(([number]) => number > (order.ackSeq ?? 0))
    const { boot } = this
    const answer = () => {
      if (!this.isUp || boot !== this.boot) return
      const { clockMs } = this
      const running = [...this.running.values()].map(run => {
        const ageMs = clockMs - run.startedAt
        return run.lasts
          ? [run.task, run.runId, '', ageMs >= lastingStartupMs ? 100 : 0, 5]
          : [run.task, run.runId, '', Math.min(99, Math.floor(100 * ageMs / run.ms)), 500]
      })
      reply(200, { clockMs, born: this.born, running, finished: this.ends.slice(0, maximumListedEnds) })
    }
    const waitMs = Math.min(order.waitMs ?? 0, maximumWaitMs)
    if (this.ends.length > 0 || waitMs === 0) return answer()
    const waiter = () => {
      clearTimeout(timer)
      this.waiters.delete(waiter)
      answer()
    }
    const timer = setTimeout(waiter, waitMs)
    this.waiters.add(waiter)
  }

  endLapsed () {
    if (this.running.size === 0 || this.clockMs < this.leaseEnd) return
    for (const run of [...this.running.values()]) this.endRun(run, 'lapsed')
  }

  endRun (run, how) {
    if (this.running.get(run.task) !== run) return
    this.dropRun(run, how)
    this.past.set(run.task, Math.max(run.runId, this.past.get(run.task) ?? 0))
    this.endNumber += 1
    this.ends.push([this.endNumber, run.task, run.runId, how, ''])
    for (const waiter of [...this.waiters]) waiter()
  }

  dropRun (run, how) {
    clearTimeout(run.timer)
    this.running.delete(run.task)
    this.note('end', { task: run.task, runId: run.runId, how })
  }
}
