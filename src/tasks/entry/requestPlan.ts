import { createHash, randomUUID } from 'node:crypto'
import type http from 'node:http'
import type { Priority } from '../../core/admission'
import type { CatalogueEntry, CatalogueReplica } from '../../core/catalogue'
import { Failure } from '../../core/failures'
import { Err, Ok, type Result } from '../../core/results'
import { callerHeaders, selectForwardedHeaders } from '../../transport'

/** A validated request of a caller to a service. */
export interface RequestPlan {
  readonly id: string
  readonly entry: CatalogueEntry
  readonly entryVersion: number
  readonly method: string
  /** The path at the endpoint, with the query string. */
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly isIdempotent: boolean
  /** The caller's idempotency key, prefixed with the name of the catalogue entry. */
  readonly key?: string
  readonly priority: Priority
  readonly arrivedAt: number
  readonly deadlineAt: number
}

/** The path prefix of requests to services. */
export const servicesPath = '/services/'

const idempotentMethods: ReadonlySet<string> = new Set(['GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'])
const maximumKeyLength = 255

/** Splits a URL below the services path into the entry's name and the path at the endpoint. */
export function splitServicePath (url: string): { readonly entry: string, readonly path: string } {
  const rest = url.slice(servicesPath.length)
  const end = rest.search(/[/?]/)
  if (end === -1) return { entry: rest, path: '/' }
  const path = rest.slice(end)
  return { entry: rest.slice(0, end), path: path.startsWith('/') ? path : `/${path}` }
}

/** Validates a request against the catalogue; fails if the catalogue is stale, the entry is not a service or a header is malformed. */
export function planRequest (request: http.IncomingMessage, catalogue: CatalogueReplica, now: number): Result<RequestPlan, Failure> {
  const { entry: name, path } = splitServicePath(request.url ?? '')
  if (!catalogue.isFresh(now)) return Err(new Failure('request/stale-catalogue'))
  const entry = catalogue.find(name)
  if (entry === undefined) return Err(new Failure('request/unknown-entry', { subject: name }))
  if (entry.workClass !== 'service') return Err(new Failure('request/wrong-class', { subject: name, expected: 'a service', got: 'batch work; POST it to /tasks/' }))
  const timeout = readTimeout(request, entry.limits.deadlineMs)
  if (!timeout.ok) return timeout
  const idempotent = readChoice(request, callerHeaders.idempotent, ['true', 'false'])
  if (!idempotent.ok) return idempotent
  const priority = readChoice(request, callerHeaders.priority, ['latency', 'batch'])
  if (!priority.ok) return priority
  const key = readKey(request)
  if (!key.ok) return key
  const method = request.method ?? 'GET'
  return Ok({
    id: randomUUID(),
    entry,
    entryVersion: catalogue.versionOf(name),
    method,
    path,
    headers: selectForwardedHeaders(request.headers),
    isIdempotent: key.val === undefined && (idempotent.val === undefined ? idempotentMethods.has(method) : idempotent.val === 'true'),
    ...(key.val === undefined ? {} : { key: `${name}/${key.val}` }),
    priority: priority.val ?? 'latency',
    arrivedAt: now,
    deadlineAt: now + timeout.val
  })
}

/** Digests method, path and body; requests with the same key must have the same digest. */
export function digestRequest (plan: RequestPlan, body: Buffer): string {
  return createHash('sha256').update(`${plan.method} ${plan.path}\n`).update(body).digest('base64')
}

/** Reads the idempotency key from its header; undefined without one. Fails with `request/malformed` if it is empty or too long. */
export function readKey (request: http.IncomingMessage): Result<string | undefined, Failure> {
  const key = request.headers[callerHeaders.idempotencyKey]
  if (key === undefined) return Ok(undefined)
  if (typeof key === 'string' && key.length > 0 && key.length <= maximumKeyLength) return Ok(key)
  return Err(new Failure('request/malformed', { subject: callerHeaders.idempotencyKey, expected: `1 to ${maximumKeyLength} characters`, got: `${String(key).length}` }))
}

function readTimeout (request: http.IncomingMessage, maximumMs: number): Result<number, Failure> {
  const text = request.headers[callerHeaders.timeout]
  if (text === undefined) return Ok(maximumMs)
  const timeoutMs = Number(text)
  if (Number.isFinite(timeoutMs) && timeoutMs > 0) return Ok(Math.min(timeoutMs, maximumMs))
  return Err(new Failure('request/malformed', { subject: callerHeaders.timeout, expected: 'a number of milliseconds', got: String(text) }))
}

function readChoice<Choice extends string> (request: http.IncomingMessage, header: string, choices: readonly Choice[]): Result<Choice | undefined, Failure> {
  const text = request.headers[header]
  if (text === undefined) return Ok(undefined)
  const choice = choices.find(candidate => candidate === text)
  if (choice !== undefined) return Ok(choice)
  return Err(new Failure('request/malformed', { subject: header, expected: choices.join(' or '), got: String(text) }))
}
