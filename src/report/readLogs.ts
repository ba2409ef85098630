import { createReadStream, readdirSync, statSync } from 'node:fs'
import { join } from 'node:path'
import { createInterface } from 'node:readline'
import { HistoryBuilder } from './historyBuilder'
import type { History } from './jobRecord'
import { readLogLine } from './logLine'

/** What was read from log files. */
export interface LogReading {
  readonly history: History
  readonly files: number
  readonly lines: number
  readonly events: number
  /** Lines that are cut off or not written by the logger. */
  readonly malformed: number
  /** Where the first malformed lines are, as FILE:LINE. */
  readonly malformedAt: readonly string[]
}

/** Malformed lines whose places are named; the others are only counted. */
const maximumNamedLines = 10

/** Reads log files, and the files in folders, as streams. Rejects with Node's error if one can't be read. */
export async function readLogs (paths: readonly string[]): Promise<LogReading> {
  const builder = new HistoryBuilder()
  const files = paths.flatMap(listFiles)
  const counts = { lines: 0, events: 0, malformed: 0 }
  const malformedAt: string[] = []
  for (const file of files) {
    let number = 0
    for await (const line of createInterface({ input: createReadStream(file), crlfDelay: Number.POSITIVE_INFINITY })) {
      number += 1
      if (line === '') continue
      counts.lines += 1
      const read = readLogLine(line, HistoryBuilder.isWanted)
      if (read.type === 'event') {
        counts.events += 1
        builder.observe(read.event)
      } else if (read.type === 'malformed') {
        counts.malformed += 1
        if (malformedAt.length < maximumNamedLines) malformedAt.push(`${file}:${number}`)
      }
    }
  }
  return { history: builder.build(), files: files.length, ...counts, malformedAt }
}

function listFiles (path: string): readonly string[] {
  if (!statSync(path).isDirectory()) return [path]
  return readdirSync(path, { withFileTypes: true }).filter(entry => entry.isFile()).map(entry => join(path, entry.name)).sort()
}
