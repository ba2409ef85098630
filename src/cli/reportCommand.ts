import { writeFileSync } from 'node:fs'
import { createReportPage, createWorthReport, formatJob, formatReport, readLogs, type JobWorth, type LogReading, type WorthReport } from '../report'
import { exitCodes } from './exitCodes'

/** Flags of the `report` command. */
export interface ReportFlags {
  readonly format: string
  /** Shows only this job. */
  readonly job?: string | undefined
  /** Writes a page with charts to this file, too. */
  readonly out?: string | undefined
}

/** Reports from log files where the worth of jobs was lost. Returns the exit code. */
export async function runReport (paths: readonly string[], { format, job, out }: ReportFlags, write: (line: string) => void, writeError: (line: string) => void): Promise<number> {
  const refuse = (message: string): number => {
    writeError(`heatherdrum: ${message}`)
    return exitCodes.usage
  }
  if (format !== 'text' && format !== 'json') return refuse(`report: expected --format text or json, got ${format}`)
  if (paths.length === 0) return refuse('report: expected log files or folders')
  let reading: LogReading
  try {
    reading = await readLogs(paths)
  } catch (error) {
    return refuse(`report: ${error instanceof Error ? error.message : String(error)}`)
  }
  if (reading.events === 0) return refuse(`report: expected log lines of heatherdrum, found none in ${reading.files} files`)
  const report = createWorthReport(reading.history)
  if (job !== undefined) return reportJob(job, report, format, write, refuse)
  if (out !== undefined) {
    try {
      writeFileSync(out, await createReportPage(report, reading))
    } catch (error) {
      return refuse(`report: ${out}: ${error instanceof Error ? error.message : String(error)}`)
    }
  }
  if (format === 'json') write(JSON.stringify(toPlain(report)))
  else for (const line of formatReport(report, reading)) write(line)
  return exitCodes.ok
}

function reportJob (jobId: string, report: WorthReport, format: string, write: (line: string) => void, refuse: (message: string) => number): number {
  const found = report.jobs.find(({ job }) => job.jobId === jobId)
  if (found === undefined) return refuse(`report: no job ${jobId} with an objective in these logs`)
  if (format === 'json') write(JSON.stringify(toPlainJob(found)))
  else for (const line of formatJob(found)) write(line)
  return exitCodes.ok
}

function toPlain (report: WorthReport): object {
  return { ...report, jobs: report.jobs.map(toPlainJob) }
}

function toPlainJob ({ job, delays, segments: _segments, ...worth }: JobWorth): object {
  const { jobId, queue, submittedAt, acceptedAt, end, workMs } = job
  return { jobId, queue, submittedAt, acceptedAt, end, workMs, ...worth, delays: Object.fromEntries(delays) }
}
