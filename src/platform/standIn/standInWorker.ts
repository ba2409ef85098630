import http from 'node:http'
import { formatAddress, openListener, peerListenerBounds, type Address, type Listener } from '../../transport'
import { readBody, sendJson } from '../httpBody'

/** Options of {@link StandInWorker}. */
export interface StandInWorkerOptions {
  readonly id: string
  readonly pool: string
  /** `a` if absent. */
  readonly zone?: string | undefined
  readonly rack: string
  /** The address on which the worker's agent accepts registrations. */
  readonly agent: Address
  readonly cpu: number
  readonly memMb: number
  /** How long a task runs, in milliseconds. */
  readonly taskMs: number
  readonly heartbeatMs: number
  /** Whether a task crashes each worker that starts it; none does if absent. */
  readonly crashesWorker?: ((task: string) => boolean) | undefined
}

/** The delay between the start of a task that crashes its worker and the crash, in milliseconds. */
const crashAfterMs = 10
/** The delay until a worker that crashed under a task is back, in milliseconds. */
const downMs = 500

interface StandInRun {
  readonly task: string
  readonly runId: number
  readonly startedAt: number
  readonly timer: NodeJS.Timeout
}

interface OrderBody {
  readonly task: string
  readonly runId: number
  readonly fencingToken?: number
  readonly deadlineMs?: number
  readonly ackSeq?: number
  readonly waitMs?: number
}

/** A stand-in of the platform's worker for the dev command and for tests: it registers, simulates tasks by timers, and lists their ends. */
export class StandInWorker {
  /** Number of starts by task. */
  readonly starts = new Map<string, number>()
  /** Number of crashes under tasks. */
  crashes = 0
  private boot = 1
  private capacity: { readonly cpu: number, readonly memMb: number }
  private restart: NodeJS.Timeout | undefined
  private readonly running = new Map<string, StandInRun>()
  private ends: Array<readonly [number, string, number, string, string]> = []
  private readonly highestRuns = new Map<string, number>()
  private readonly waiters = new Set<() => void>()
  private born = Date.now()
  private startedAt = performance.now()
  private sequence = 0
  private endNumber = 0
  private fence = 0
  private listener: Listener | undefined
  private heartbeat: NodeJS.Timeout | undefined

  constructor (private readonly options: StandInWorkerOptions) { this.capacity = { cpu: options.cpu, memMb: options.memMb } }

  /** Opens a listener for the calls of the agent on a loopback port, a free one if it is 0, and returns its address. */
  async listen (port = 0): Promise<Address> {
    this.listener = await openListener({ address: { host: '127.0.0.1', port }, handle: (request, response) => { this.serve(request, response).catch(() => sendJson(response, 500)) }, ...peerListenerBounds })
    return this.listener.address
  }

  /** Sends the first heartbeat to the agent and repeats it every `heartbeatMs`. */
  register (): void {
    this.sendHeartbeat()
    this.heartbeat = setInterval(() => this.sendHeartbeat(), this.options.heartbeatMs)
  }

  /** Ends immediately and loses all runs, as in a crash. */
  kill (): void {
    clearInterval(this.heartbeat)
    clearTimeout(this.restart)
    for (const run of this.running.values()) clearTimeout(run.timer)
    this.running.clear()
    this.listener?.destroy()
  }

  /** Changes its capacity while it runs, which its next heartbeat tells. */
  resize (cpu: number, memMb: number): void { this.capacity = { cpu, memMb } }

  /** Number of tasks that run now. */
  get runningTasks (): number { return this.running.size }

  /** Crashes, and comes back some time later as another boot at the same address. */
  private crash (): void {
    const { port } = this.listener?.address ?? { port: 0 }
    this.crashes += 1
    this.kill()
    this.restart = setTimeout(() => {
      this.boot += 1
      this.born = Date.now()
      this.startedAt = performance.now()
      Object.assign(this, { sequence: 0, endNumber: 0, fence: 0, ends: [] })
      this.highestRuns.clear()
      this.listen(port).then(() => this.register(), () => this.crash())
    }, downMs)
  }

  private get id (): string { return `${this.options.id}-${this.boot}` }

  private get clockMs (): number { return Math.round(performance.now() - this.startedAt) }

  private sendHeartbeat (): void {
    const { pool, zone = 'a', rack, agent } = this.options
    this.sequence += 1
    const body = JSON.stringify({
      service: pool,
      address: formatAddress(this.listener?.address ?? { host: '', port: 0 }),
      zone,
      version: 'v1',
      slots: 8,
      state: 'ready',
      coldRemainingMs: 0,
      capacity: { ...this.capacity, gpu: 0 },
      labels: [zone, rack],
      clockMs: this.clockMs,
      sequence: this.sequence,
      born: this.born
    })
    const request = http.request({ ...agent, path: `/-/instances/${this.id}`, method: 'PUT', headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } }, response => response.resume())
    // The agent may not be listening yet; the next heartbeat is the retry.
    request.once('error', () => {})
    request.end(body)
  }

  private async serve (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const body = JSON.parse(await readBody(request, 1_000_000) ?? '{}') as OrderBody
    if (request.headers['expect-instance'] !== this.id) return sendJson(response, 421, {})
    if ((body.fencingToken ?? 0) < this.fence) return sendJson(response, 409, { clockMs: this.clockMs, reason: 'fence' })
    this.fence = body.fencingToken ?? 0
    if (request.url === '/-/run-start') return this.start(body, response)
    if (request.url === '/-/run-stop') return this.stop(body, response)
    if (request.url === '/-/pace') return sendJson(response, 200, { clockMs: this.clockMs })
    if (request.url === '/-/hold') return await this.hold(body, response)
    sendJson(response, 404)
  }

  private start ({ task, runId, deadlineMs }: OrderBody, response: http.ServerResponse): void {
    const { clockMs } = this
    if (this.running.get(task)?.runId === runId) return sendJson(response, 200, { clockMs })
    if (runId <= (this.highestRuns.get(task) ?? 0)) return sendJson(response, 409, { clockMs, reason: 'old' })
    if ((deadlineMs ?? 0) <= clockMs) return sendJson(response, 409, { clockMs, reason: 'late' })
    this.highestRuns.set(task, runId)
    this.starts.set(task, (this.starts.get(task) ?? 0) + 1)
    const isCrashing = this.options.crashesWorker?.(task) === true
    const timer = isCrashing ? setTimeout(() => this.crash(), crashAfterMs) : setTimeout(() => this.end(task, 'done'), this.options.taskMs)
    this.running.set(task, { task, runId, startedAt: clockMs, timer })
    sendJson(response, 200, { clockMs })
  }

  private stop ({ task, runId }: OrderBody, response: http.ServerResponse): void {
    this.highestRuns.set(task, Math.max(runId, this.highestRuns.get(task) ?? 0))
    if (this.running.get(task)?.runId === runId) this.end(task, 'stopped')
    sendJson(response, 200, { clockMs: this.clockMs })
  }

  private async hold ({ ackSeq, waitMs }: OrderBody, response: http.ServerResponse): Promise<void> {
    this.ends = this.ends.filter(([number]) => number > (ackSeq ?? 0))
    if (this.ends.length === 0 && (waitMs ?? 0) > 0) await this.waitForEnd(waitMs ?? 0)
    const { clockMs } = this
    sendJson(response, 200, {
      clockMs,
      born: this.born,
      running: [...this.running.values()].map(run => [run.task, run.runId, '', Math.min(99, Math.floor(100 * (clockMs - run.startedAt) / this.options.taskMs)), 0]),
      finished: this.ends
    })
  }

  private end (task: string, how: string): void {
    const run = this.running.get(task)
    if (run === undefined) return
    clearTimeout(run.timer)
    this.running.delete(task)
    this.endNumber += 1
    this.ends.push([this.endNumber, task, run.runId, how, ''])
    for (const wake of [...this.waiters]) wake()
  }

  private async waitForEnd (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const wake = (): void => {
        clearTimeout(timer)
        this.waiters.delete(wake)
        resolve()
      }
      const timer = setTimeout(wake, waitMs)
      this.waiters.add(wake)
    })
  }
}
