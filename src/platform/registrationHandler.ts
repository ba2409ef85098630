import type http from 'node:http'
import { array, check, literal, maxValue, minValue, number, object, optional, pipe, safeInteger, safeParse, string, union } from 'valibot'
import type { Logger } from '../observability'
import type { Registration } from '../tasks/jobs'
import type { RequestHandler } from '../transport'
import { sendInternalError, decodeSegment, readBody, sendJson } from './httpBody'

/** Options of {@link createRegistrationHandler}. */
export interface RegistrationHandlerOptions {
  readonly onRegistered: (registration: Registration) => void
  readonly onLeft: (workerId: string) => void
  readonly logger: Logger
}

/** Longest time and latest date in a heartbeat, in milliseconds: some 278 years, so that sums of them stay exact. */
const maximumTimeMs = 2 ** 43
/** Largest capacity of a kind: a million processors in thousandths, or a pebibyte of memory in mebibytes, so that sums over workers stay exact. */
const maximumCapacity = 2 ** 30
const maximumPort = 65_535
const addressPattern = /^\S+:(\d{1,5})$/

const whole = pipe(number(), safeInteger(), minValue(0))
const room = pipe(whole, maxValue(maximumCapacity))
/** JSON.parse reads 1e999 as Infinity, which is above the bound. */
const time = pipe(number(), minValue(0), maxValue(maximumTimeMs))
/** A time that is left; it may have passed. */
const timeLeft = pipe(number(), minValue(-maximumTimeMs), maxValue(maximumTimeMs))
/** HOST:PORT. */
const address = pipe(string(), check(isAddress))

const heartbeatShape = object({
  service: string(),
  address,
  zone: string(),
  state: union([literal('ready'), literal('draining')]),
  capacity: object({ cpu: room, memMb: room, gpu: optional(room, 0) }),
  labels: optional(array(string()), []),
  clockMs: time,
  sequence: whole,
  born: pipe(whole, maxValue(maximumTimeMs)),
  remainingMs: optional(timeLeft),
  coldRemainingMs: optional(timeLeft, 0)
})

const pathPattern = /^\/-\/instances\/([^/]+)$/
/** Each call to a worker carries its id in a header, which can hold only these characters. */
const idPattern = /^[\x21-\x7e]+$/
const maximumHeartbeatBytes = 64 * 1024
const cpuUnitsPerProcessor = 1000
/** Index of the label that names the rack; the first label is the kind of the machine. */
const rackLabelIndex = 1

/** Handles the registrations and heartbeats of the worker on the agent's VM. */
export function createRegistrationHandler (options: RegistrationHandlerOptions): RequestHandler {
  return (request, response) => {
    serve(request, response, options).catch((error: unknown) => sendInternalError(response, options.logger, error))
  }
}

async function serve (request: http.IncomingMessage, response: http.ServerResponse, options: RegistrationHandlerOptions): Promise<void> {
  const id = pathPattern.exec(request.url ?? '')?.[1]
  if (id === undefined) return sendJson(response, 404)
  const workerId = decodeSegment(id)
  if (workerId === undefined || !idPattern.test(workerId)) {
    options.logger.warn('registration_malformed', { path: request.url })
    return sendJson(response, 400)
  }
  if (request.method === 'DELETE') {
    options.onLeft(workerId)
    return sendJson(response, 200, {})
  }
  if (request.method !== 'PUT') return sendJson(response, 405)
  const body = await readBody(request, maximumHeartbeatBytes)
  const registration = body === undefined ? undefined : decodeHeartbeat(workerId, body)
  if (registration === undefined) {
    options.logger.warn('registration_malformed', { worker: workerId })
    return sendJson(response, 400)
  }
  options.onRegistered(registration)
  sendJson(response, 200, {})
}

/** Decodes a heartbeat; undefined if a field is missing or has the wrong type or is out of bounds. */
export function decodeHeartbeat (workerId: string, body: string): Registration | undefined {
  const parsed = safeParse(heartbeatShape, parseJson(body))
  if (!parsed.success) return undefined
  const heartbeat = parsed.output
  return {
    workerId,
    bornMs: heartbeat.born,
    pool: heartbeat.service,
    zone: heartbeat.zone,
    rack: heartbeat.labels[rackLabelIndex] ?? '',
    labels: heartbeat.labels,
    capacity: { processors: heartbeat.capacity.cpu / cpuUnitsPerProcessor, memoryMb: heartbeat.capacity.memMb, accelerators: heartbeat.capacity.gpu },
    isDraining: heartbeat.state === 'draining',
    ...(heartbeat.remainingMs === undefined ? {} : { remainingMs: heartbeat.remainingMs }),
    coldMs: Math.max(0, heartbeat.coldRemainingMs),
    clockMs: heartbeat.clockMs,
    sequence: heartbeat.sequence
  }
}

function isAddress (text: string): boolean {
  const port = Number(addressPattern.exec(text)?.[1])
  return port >= 1 && port <= maximumPort
}

function parseJson (text: string): unknown {
  try {
    return JSON.parse(text)
  } catch {
    return undefined
  }
}
