import { delayCauses } from './delays'
import type { LogReading } from './readLogs'
import type { JobWorth, WorthReport } from './worthReport'

/** Lost jobs that the text names; all of them are in the JSON. */
const maximumNamedJobs = 20

/** Formats a report as tables for a terminal. */
export function formatReport (report: WorthReport, reading: LogReading): readonly string[] {
  const lost = report.jobs.filter(({ outcome }) => outcome !== 'inTime')
  return [
    `${reading.lines} lines of ${reading.files} files, ${reading.malformed} malformed${reading.malformedAt.length > 0 ? `: ${reading.malformedAt.join(', ')}` : ''}`,
    '',
    ...formatTable(['queue', 'jobs', 'in time', 'late', 'lost', 'worth'], report.queues.map(queue => [queue.queue, queue.jobs, queue.inTime, queue.late, queue.lost, queue.worth.toFixed(3)])),
    '',
    ...formatTable(['queue', 'largest cause of delay', 'jobs', 'worth lost', 'mean s on it'], report.causes.map(({ queue, cause, jobs, lostWorth, meanMs }) => [queue, cause, jobs, lostWorth.toFixed(3), seconds(meanMs)])),
    '',
    ...formatTable(['job', 'queue', 'outcome', 'worth', 'took s', 'objective s', ...delayCauses], lost.slice(0, maximumNamedJobs).map(rowOfJob))
  ]
}

/** Formats one job: what it earned and how long it spent on each cause. */
export function formatJob (worth: JobWorth): readonly string[] {
  return formatTable(['job', 'queue', 'outcome', 'worth', 'took s', 'objective s', ...delayCauses], [rowOfJob(worth)])
}

function rowOfJob ({ job, outcome, objectiveMs, owed, elapsedMs, delays }: JobWorth): ReadonlyArray<string | number> {
  return [job.jobId, job.queue, outcome, owed.toFixed(2), seconds(elapsedMs), seconds(objectiveMs), ...delayCauses.map(cause => seconds(delays.get(cause) ?? 0))]
}

function seconds (ms: number): string { return (ms / 1000).toFixed(1) }

function formatTable (head: readonly string[], rows: ReadonlyArray<ReadonlyArray<string | number>>): readonly string[] {
  const lines = [head, ...rows].map(row => row.map(String))
  const widths = head.map((_, column) => Math.max(...lines.map(line => line[column]?.length ?? 0)))
  return lines.map(line => line.map((cell, column) => column === 0 ? cell.padEnd(widths[column] ?? 0) : cell.padStart(widths[column] ?? 0)).join('  '))
}
