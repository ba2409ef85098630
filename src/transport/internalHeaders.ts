/** Headers between the processes of a deployment. All of them are removed from callers' requests. */
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

/** Headers which callers may send or receive. */
export const callerHeaders = {
  /** How a request ended: answered, not-run or unknown. */
  outcome: 'heatherdrum-outcome',
  /** The code of the failure, if there was one. */
  failure: 'heatherdrum-failure',
  /** The time within which the caller needs the answer, in milliseconds. */
  timeout: 'heatherdrum-timeout-ms',
  /** Whether the request may run twice: "true" or "false". */
  idempotent: 'heatherdrum-idempotent',
  /** "latency" or "batch". */
  priority: 'heatherdrum-priority',
  /** Marks an answer that was recorded when the request first ran and is sent again. */
  replayed: 'heatherdrum-replayed',
  idempotencyKey: 'idempotency-key'
} as const

/** How a request ended, as reported to callers; `unknown` means that it may have run. */
export type Outcome = 'answered' | 'not-run' | 'unknown'

const internalPrefix = 'heatherdrum-'

/** Headers which apply to a single connection (RFC 9110, section 7.6.1) and are not forwarded. */
const hopByHop: ReadonlySet<string> = new Set([
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'proxy-connection',
  'te', 'trailer', 'transfer-encoding', 'upgrade', 'expect'
])

/** Headers of a message, with lower-case names. Node joins the values of a repeated header or gives them as an array. */
export type MessageHeaders = Readonly<Record<string, string | readonly string[] | undefined>>

/** Returns the headers to forward to the next process: all but hop-by-hop headers, those named in `connection` and those with the internal prefix. */
export function selectForwardedHeaders (headers: MessageHeaders): Record<string, string | string[]> {
  const named = parseConnectionOptions(headers['connection'])
  const forwarded: Record<string, string | string[]> = {}
  for (const [name, value] of Object.entries(headers)) {
    if (value === undefined || hopByHop.has(name) || named.has(name) || name.startsWith(internalPrefix)) continue
    forwarded[name] = typeof value === 'string' ? value : [...value]
  }
  return forwarded
}

function parseConnectionOptions (value: string | readonly string[] | undefined): ReadonlySet<string> {
  if (typeof value !== 'string') return new Set()
  return new Set(value.split(',').map(option => option.trim().toLowerCase()))
}
