import { Logger as StructuredLogger } from 'tslog'

/** Fields of one event; undefined ones are left out. */
export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>

/** Severity of an event. */
export type LogLevel = 'debug' | 'info' | 'warn' | 'error'

/** Writes one line of key=value pairs for each event. */
export interface Logger {
  debug (event: string, fields?: LogFields): void
  info (event: string, fields?: LogFields): void
  warn (event: string, fields?: LogFields): void
  error (event: string, fields?: LogFields): void
  /** Returns a logger which adds these fields to each event. */
  with (fields: LogFields): Logger
}

/** Options of a logger; events below `level` are not written. */
export interface LoggerOptions {
  readonly level: LogLevel
  /** Receives a formatted line without a trailing newline. */
  readonly write: (line: string) => void
  /** Wall-clock time in milliseconds. */
  readonly now?: () => number
}

const levelNumbers: Readonly<Record<LogLevel, number>> = { debug: 2, info: 3, warn: 4, error: 5 }

/** Creates a logger which formats events as `time=... level=... event=...` lines. */
export function createLogger (options: LoggerOptions): Logger {
  const now = options.now ?? Date.now
  const base = new StructuredLogger<LogFields>({ type: 'hidden', minLevel: levelNumbers[options.level], stack: { capture: 'off' } })
  base.attachTransport(record => options.write(formatLine(now(), record as unknown as LogRecord)))
  return wrap(base, {})
}

interface LogRecord {
  readonly _logMeta?: { readonly logLevelName: string }
  readonly [key: string]: unknown
}

function wrap (base: StructuredLogger<LogFields>, context: LogFields): Logger {
  return {
    debug: (event, fields) => { base.debug({ event, ...context, ...fields }) },
    info: (event, fields) => { base.info({ event, ...context, ...fields }) },
    warn: (event, fields) => { base.warn({ event, ...context, ...fields }) },
    error: (event, fields) => { base.error({ event, ...context, ...fields }) },
    with: fields => wrap(base, { ...context, ...fields })
  }
}

function formatLine (at: number, record: LogRecord): string {
  const level = record._logMeta?.logLevelName.toLowerCase() ?? 'info'
  const pairs = [`time=${new Date(at).toISOString()}`, `level=${level}`]
  for (const [key, value] of Object.entries(record)) {
    if (key === '_logMeta' || value === undefined) continue
    pairs.push(`${key}=${quoteValue(String(value))}`)
  }
  return pairs.join(' ')
}

const plainValue = /^[\w.:/@+-]+$/

/** Quotes a value where needed, so that untrusted text cannot inject another pair or line. */
export function quoteValue (value: string): string {
  return plainValue.test(value) ? value : JSON.stringify(value).replace(/[\u007f-\u009f\u2028\u2029]/g, escapeControl)
}

function escapeControl (character: string): string {
  return `\\u${character.charCodeAt(0).toString(16).padStart(4, '0')}`
}
