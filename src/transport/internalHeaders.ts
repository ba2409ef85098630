/** Headers between our processes. All of them are stripped from what callers send. */
export const internalHeaders = {
  requestId: 'heatherdrum-request-id',
  incarnation: 'heatherdrum-incarnation',
  source: 'heatherdrum-source',
  entry: 'heatherdrum-entry',
  entryVersion: 'heatherdrum-entry-version',
  revision: 'heatherdrum-revision',
  revisionAge: 'heatherdrum-revision-age-ms',
  load: 'heatherdrum-load',
  offset: 'heatherdrum-offset'
} as const

/** Headers which callers may send and see. */
export const callerHeaders = {
  /** How a request ended: answered, not-run or unknown. */
  outcome: 'heatherdrum-outcome',
  /** The code of the failure, if there was one. */
  failure: 'heatherdrum-failure',
  /** The time in which the caller wants the answer, in milliseconds. */
  timeout: 'heatherdrum-timeout-ms',
  /** Whether the request may run twice: "true" or "false". */
  idempotent: 'heatherdrum-idempotent',
  /** "latency" or "batch". */
  priority: 'heatherdrum-priority',
  /** Marks an answer which was recorded when the request ran first. */
  replayed: 'heatherdrum-replayed',
  idempotencyKey: 'idempotency-key'
} as const

/** How a request ended, as callers see it. */
export type Outcome = 'answered' | 'not-run' | 'unknown'

const ownPrefix = 'heatherdrum-'

/** Headers which concern one connection only. */
const hopByHop: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Headers of a message; Node joins or lists repeated ones. */
export type MessageHeaders = Readonly<Record<string, string | readonly string[] | undefined>>

/** The headers which go on to the next process: no hop-by-hop ones and none of ours. */
export function forwardedHeaders (headers: MessageHeaders): Record<string, string | string[]> {
  const named = connectionOptions(headers['connection'])
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHop.has(name) || named.has(name) || name.startsWith(ownPrefix)) continue
    forwarded[name] = typeof value === 'string' ? value : [...value]
  }
  return forwarded
}

function connectionOptions (value: string | readonly string[] | undefined): ReadonlySet<string> {
  if (typeof value !== 'string') return new Set()
  return new Set(value.split(',').map(option => option.trim().toLowerCase()))
}
