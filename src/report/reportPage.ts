import type { TopLevelSpec } from 'vega-lite'
import { delayCauses } from './delays'
import type { History, Period } from './jobRecord'
import type { LogReading } from './readLogs'
import { formatReport } from './reportText'
import type { JobWorth, WorthReport } from './worthReport'

type Row = Readonly<Record<string, string | number>>

/** Jobs that the chart of jobs shows, those that lost most first. */
const maximumChartedJobs = 60
const chartWidth = 900
const rowHeight = 12

/** Creates an HTML page with charts of a report and its tables. The plotting library is only loaded here, as daemons don't need it. */
export async function createReportPage (report: WorthReport, reading: LogReading): Promise<string> {
  const { history } = reading
  const charts = [
    ['Worth lost by cause of delay', causesChart(report)],
    ['Worth owed and earned', secondsChart(report)],
    ['Waiting tasks', backlogChart(history)],
    ['Jobs that lost worth, by cause of delay', jobsChart(report.jobs, history)],
    ['Halted filling tasks by agent and image', haltsChart(history)]
  ] as const
  const sections: string[] = []
  for (const [title, spec] of charts) sections.push(`<h2>${title}</h2>`, await renderChart(spec))
  const tables = escapeText(formatReport(report, reading).join('\n'))
  return `<!doctype html>\n<html><head><meta charset="utf-8"><title>heatherdrum report</title></head><body>\n<h1>Where worth was lost</h1>\n${sections.join('\n')}\n<pre>${tables}</pre>\n</body></html>\n`
}

async function renderChart (spec: TopLevelSpec): Promise<string> {
  const { compile } = await import('vega-lite')
  const { parse, View } = await import('vega')
  return await new View(parse(compile(spec).spec), { renderer: 'none' }).toSVG()
}

function causesChart ({ causes }: WorthReport): TopLevelSpec {
  return {
    data: { values: causes.map(({ queue, cause, lostWorth }): Row => ({ queue, cause, lostWorth })) },
    width: chartWidth,
    mark: 'bar',
    encoding: {
      x: { field: 'lostWorth', type: 'quantitative', title: 'share of the worth owed' },
      y: { field: 'queue', type: 'nominal', title: null },
      color: { field: 'cause', type: 'nominal', sort: [...delayCauses] }
    }
  }
}

function secondsChart ({ seconds }: WorthReport): TopLevelSpec {
  const values = seconds.flatMap(({ second, queue, owed, earned }): readonly Row[] => [{ second, queue, worth: owed, kind: 'owed' }, { second, queue, worth: earned, kind: 'earned' }])
  return {
    data: { values: [...values] },
    width: chartWidth,
    height: 80,
    mark: 'line',
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 's' },
      y: { field: 'worth', type: 'quantitative', title: null },
      color: { field: 'kind', type: 'nominal' },
      row: { field: 'queue', type: 'nominal', title: null }
    },
    resolve: { scale: { y: 'independent' } }
  }
}

function backlogChart ({ backlog, from }: History): TopLevelSpec {
  return {
    data: { values: backlog.map(({ at, waitingTasks }): Row => ({ second: secondsBetween(from, at), waitingTasks })) },
    width: chartWidth,
    height: 120,
    mark: 'area',
    encoding: {
      x: { field: 'second', type: 'quantitative', title: 's' },
      y: { field: 'waitingTasks', type: 'quantitative', title: 'tasks' }
    }
  }
}

function jobsChart (jobs: readonly JobWorth[], { from }: History): TopLevelSpec {
  const lost = jobs.filter(({ outcome }) => outcome !== 'inTime').slice(0, maximumChartedJobs)
  const values = lost.flatMap(({ job, segments }) => segments.map(({ cause, ...period }): Row => ({ row: `${job.queue} ${job.jobId}`, cause, ...toSeconds(period, from) })))
  return periodsChart(values, { field: 'cause', type: 'nominal', sort: [...delayCauses] })
}

function haltsChart ({ halts, from }: History): TopLevelSpec {
  const values = [...halts].flatMap(([row, periods]) => periods.map((period): Row => ({ row, ...toSeconds(period, from) })))
  return periodsChart(values, { value: 'firebrick' })
}

/** A Gantt chart: one line for each value of `row`, with a bar for each period. */
function periodsChart (values: readonly Row[], color: { readonly field: string, readonly type: 'nominal', readonly sort: string[] } | { readonly value: string }): TopLevelSpec {
  return {
    data: { values: [...values] },
    width: chartWidth,
    height: { step: rowHeight },
    mark: 'bar',
    encoding: {
      x: { field: 'from', type: 'quantitative', title: 's' },
      x2: { field: 'until' },
      y: { field: 'row', type: 'nominal', title: null, sort: null },
      color
    }
  }
}

function toSeconds ({ from, until }: Period, origin: number): { readonly from: number, readonly until: number } {
  return { from: secondsBetween(origin, from), until: secondsBetween(origin, until) }
}

function secondsBetween (from: number, until: number): number { return (until - from) / 1000 }

/** Escapes text from logs, which callers may have written. */
function escapeText (text: string): string {
  return text.replace(/&/g, '&amp;').replace(/</g, '&lt;').replace(/>/g, '&gt;')
}
