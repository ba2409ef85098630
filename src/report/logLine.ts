/** One structured log line of a process. */
export interface LogEvent {
  /** Wall-clock time of the process, in milliseconds since 1970. */
  readonly at: number
  readonly event: string
  readonly fields: ReadonlyMap<string, string>
}

/** The result of reading one line. */
export type LogLine =
  | { readonly type: 'event', readonly event: LogEvent }
  /** A complete line about something that the caller has not asked for. */
  | { readonly type: 'other' }
  /** A line that is cut off, or was not written by the logger. */
  | { readonly type: 'malformed' }

const eventPattern = /(?:^|\s)event=(\w+)/
const pairPattern = /(?:^|\s)(\w+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?=\s|$)/g

/** Reads a line of key=value pairs; text before the first pair, such as a collector's prefix, is skipped. Only the wanted events are decoded completely. */
export function readLogLine (line: string, isWanted: (event: string) => boolean): LogLine {
  const name = eventPattern.exec(line)?.[1]
  if (name === undefined) return { type: 'malformed' }
  if (!isWanted(name)) return { type: 'other' }
  const fields = new Map<string, string>()
  for (const [, key = '', value = ''] of line.matchAll(pairPattern)) {
    const text = unquote(value)
    if (text === undefined) return { type: 'malformed' }
    fields.set(key, text)
  }
  const at = Date.parse(fields.get('time') ?? '')
  // A quote without its end shows that the line was cut off.
  if (Number.isNaN(at) || (line.match(/(?<!\\)"/g)?.length ?? 0) % 2 === 1) return { type: 'malformed' }
  return { type: 'event', event: { at, event: name, fields } }
}

function unquote (value: string): string | undefined {
  if (!value.startsWith('"')) return value
  try {
    return JSON.parse(value) as string
  } catch {
    return undefined
  }
}
