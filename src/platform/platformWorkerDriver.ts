import http from 'node:http'
import { array, finite, maxLength, maxValue, minValue, number, object, picklist, pipe, safeInteger, safeParse, string, transform, tuple, union, unknown, type GenericSchema, type InferOutput } from 'valibot'
import type { EndedRun, RunningTask, RunOrder } from '../core/jobs'
import { WorkerDriver, type LookOutcome, type LookRequest, type OrderContext, type OrderOutcome, type StartRefusal } from '../workers'
import { parseBoundedJson, type Address } from '../transport'
import { ListCheck } from './listCheck'

/** Options of {@link PlatformWorkerDriver}. */
export interface PlatformWorkerDriverOptions {
  /** The address on which the worker accepts calls from its own VM. */
  readonly address: Address
  /** Limit of concurrent connections to the worker. */
  readonly maximumConnections: number
}

/** Timeout of an order, in milliseconds; the worker runs on the same VM and answers immediately. */
const orderTimeoutMs = 500
/** Limit of ends in one answer of a worker. */
const maximumListedEnds = 500
/** How long a look may take in addition to the wait that it requests, in milliseconds. */
const lookTimeoutMarginMs = 800

/** Limit of runs or ends in an answer; a longer list is malformed, as a worker has a few dozen runs and lists 500 ends. */
const maximumRows = 5000
/** Limit of an answer in bytes; 500 ends with long checkpoints fit. */
const maximumReplyBytes = 8 * 1024 * 1024
const measurementPerProcessor = 1000

/** Largest number that is exact with all smaller ones and can be incremented; a larger one would stay the highest for good. */
const maximumNumber = 2 ** 52

const ordinal = pipe(number(), safeInteger(), minValue(0), maxValue(maximumNumber))
/** A number that only describes; one out of range counts as the nearest within. */
const reading = (highest: number): GenericSchema<unknown, number> => pipe(number(), finite(), transform(value => Math.min(highest, Math.max(0, value))))
const rows = pipe(array(unknown()), maxLength(maximumRows))
const lookShape = object({
  clockMs: pipe(number(), minValue(-maximumNumber), maxValue(maximumNumber)),
  born: pipe(number(), safeInteger(), minValue(0), maxValue(maximumNumber)),
  running: rows,
  finished: rows
})
/** Task, run, checkpoint, percent, and a measurement over the last half second, which some workers omit: see `decodeMeasurement`. */
const runningRow = pipe(
  union([tuple([string(), ordinal, string(), reading(100), reading(maximumNumber)]), tuple([string(), ordinal, string(), reading(100)])]),
  transform(([task, run, checkpoint, percent, measurement = 0]): RunningTask => ({ task, run, checkpoint, percent, ...decodeMeasurement(measurement) }))
)
/** Sequence number, task, run, kind of end, checkpoint. */
const finishedRow = pipe(
  tuple([pipe(ordinal, minValue(1)), string(), ordinal, picklist(['done', 'failed', 'stopped', 'lapsed', 'broken', 'alone']), string()]),
  transform(([sequence, task, run, end, checkpoint]): EndedRun => ({ sequence, task, run, end, checkpoint }))
)
const refusalShape = object({ reason: string() })

const refusalReasons: ReadonlyMap<string, StartRefusal> = new Map([['fence', 'fenced'], ['old', 'superseded'], ['late', 'late'], ['room', 'noRoom'], ['ticket', 'noTicket']])

/** Calls a worker of the users' platform by HTTP with JSON bodies. */
export class PlatformWorkerDriver extends WorkerDriver {
  private readonly agent: http.Agent
  private readonly check = new ListCheck()

  constructor (private readonly options: PlatformWorkerDriverOptions) {
    super()
    this.agent = new http.Agent({ keepAlive: true, maxSockets: options.maximumConnections, maxFreeSockets: options.maximumConnections, scheduling: 'lifo' })
  }

  override async start (order: RunOrder, leaseEndMs: number, context: OrderContext): Promise<OrderOutcome> {
    return await this.order('/-/run-start', {
      task: order.task,
      runId: order.run,
      spec: order.spec,
      deadlineMs: Math.floor(leaseEndMs),
      fencingToken: context.term,
      ...(order.checkpoint === '' ? {} : { checkpoint: order.checkpoint })
    }, context)
  }

  override async stop (task: string, run: number, context: OrderContext): Promise<OrderOutcome> {
    return await this.order('/-/run-stop', { task, runId: run, fencingToken: context.term }, context)
  }

  override async pace (task: string, run: number, percent: number, context: OrderContext): Promise<OrderOutcome> {
    return await this.order('/-/pace', { task, runId: run, percent, fencingToken: context.term }, context)
  }

  /** An answer that doesn't follow from the former ones is requested again at once, and counts only if the second one agrees or follows. */
  override async look (request: LookRequest): Promise<LookOutcome> {
    const first = await this.requestLists(request)
    if (first.type !== 'listed' || this.check.isExpected(request.workerId, first, performance.now())) return this.accept(request, first)
    const firstAt = performance.now()
    // Another boot may answer, which must neither drop ends that nobody has seen nor get this lease.
    const second = await this.requestLists({ workerId: request.workerId, term: request.term, acknowledged: 0, waitMs: 0 })
    if (second.type !== 'listed') return second
    const now = performance.now()
    const isConfirmed = this.check.isExpected(request.workerId, second, now) || this.check.agrees(first, firstAt, second, now)
    return isConfirmed ? this.accept(request, second) : { type: 'refused', reason: 'malformed' }
  }

  private accept ({ workerId }: LookRequest, outcome: LookOutcome): LookOutcome {
    if (outcome.type === 'listed') this.check.accept(workerId, outcome, performance.now())
    return outcome
  }

  private async requestLists (request: LookRequest): Promise<LookOutcome> {
    const reply = await this.call('/-/hold', {
      fencingToken: request.term,
      ackSeq: request.acknowledged,
      ...(request.leaseEndMs === undefined ? {} : { deadlineMs: Math.floor(request.leaseEndMs) }),
      waitMs: Math.floor(request.waitMs)
    }, request, request.waitMs + lookTimeoutMarginMs)
    if (typeof reply === 'string') return { type: reply }
    if (reply.status !== 200) return refused(reply)
    const listed = decode(lookShape, reply.text)
    if (listed === undefined) return { type: 'refused', reason: 'malformed' }
    const running = decodeRows(runningRow, listed.running)
    const ends = decodeRows(finishedRow, listed.finished)
    return {
      type: 'listed',
      bornMs: listed.born,
      clockMs: listed.clockMs,
      running,
      ends,
      // A row that can't be read may be of any run, so none counts as absent.
      hasMoreEnds: listed.finished.length >= maximumListedEnds || running.length < listed.running.length || ends.length < listed.finished.length
    }
  }

  override close (): void {
    this.agent.destroy()
  }

  /** Connections go silent together and without a reset, so after a timeout the next call gets a new one rather than another that may be silent. */
  private dropIdleConnections (): void {
    for (const sockets of Object.values(this.agent.freeSockets)) for (const socket of sockets ?? []) socket.destroy()
  }

  private async order (path: string, body: object, context: OrderContext): Promise<OrderOutcome> {
    const reply = await this.call(path, body, context, orderTimeoutMs)
    if (typeof reply === 'string') return { type: reply }
    return reply.status === 200 ? { type: 'done' } : refused(reply)
  }

  private async call (path: string, body: object, context: OrderContext, timeoutMs: number): Promise<Reply | 'unanswered' | 'notListening'> {
    const text = JSON.stringify(body)
    return await new Promise(resolve => {
      const request = http.request({
        ...this.options.address,
        path,
        method: 'POST',
        agent: this.agent,
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text), 'expect-instance': context.workerId }
      })
      const timer = setTimeout(() => {
        request.destroy(new Error('timeout'))
        this.dropIdleConnections()
      }, timeoutMs)
      request.once('close', () => {
        clearTimeout(timer)
        // After an upgrade that nobody asked for, the request closes without a response or an error.
        resolve('unanswered')
      })
      request.once('error', (error: NodeJS.ErrnoException) => resolve(error.code === 'ECONNREFUSED' ? 'notListening' : 'unanswered'))
      request.once('response', response => {
        const chunks: Buffer[] = []
        let size = 0
        response.on('data', (chunk: Buffer) => {
          size += chunk.length
          if (size > maximumReplyBytes) request.destroy(new Error('the answer exceeds the size limit'))
          else chunks.push(chunk)
        })
        response.once('error', () => resolve('unanswered'))
        response.once('aborted', () => resolve('unanswered'))
        response.once('end', () => resolve({ status: response.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') }))
      })
      request.end(text)
    })
  }
}

/** The measurement is a tail latency in milliseconds for a serving task and the processor usage in thousandths otherwise. The list does not say which, so both readings are returned. */
function decodeMeasurement (measurement: number): Pick<RunningTask, 'tailLatencyMs' | 'usedProcessors'> {
  return { tailLatencyMs: measurement, usedProcessors: measurement / measurementPerProcessor }
}

interface Reply {
  readonly status: number
  readonly text: string
}

/** Only the answers listed in `decodeRefusal` are refusals; after any other answer it is unknown whether the order is carried out. */
function refused (reply: Reply): Exclude<OrderOutcome, { readonly type: 'done' }> {
  const reason = decodeRefusal(reply)
  return reason === undefined ? { type: 'unanswered' } : { type: 'refused', reason }
}

function decodeRefusal ({ status, text }: Reply): StartRefusal | undefined {
  if (status === 409) return refusalReasons.get(decode(refusalShape, text)?.reason ?? '')
  if (status === 421) return 'otherBoot'
  if (status === 429 || status === 503) return 'unhealthy'
  return status === 400 ? 'malformed' : undefined
}

/** The rows that can be read: an odd one, which a worker may list until it ends, must not hide the others. */
function decodeRows<Shape extends GenericSchema> (shape: Shape, values: readonly unknown[]): ReadonlyArray<InferOutput<Shape>> {
  return values.flatMap(value => {
    const parsed = safeParse(shape, value)
    return parsed.success ? [parsed.output] : []
  })
}

function decode<Shape extends GenericSchema> (shape: Shape, text: string): InferOutput<Shape> | undefined {
  let value: unknown
  try {
    value = parseBoundedJson(text)
  } catch {
    return undefined
  }
  const parsed = safeParse(shape, value)
  return parsed.success ? parsed.output : undefined
}
