import { renderLabels, type Counters } from './counters'
import type { HistogramSummary } from './histograms'

/** Formats counters, gauges and the quantiles of latency histograms by organisation and class in the text format of Prometheus. */
export function renderMetrics (counters: Counters, summaries: readonly HistogramSummary[] = []): string {
  return counters.render() + summaries.map(renderSummary).join('')
}

function renderSummary ({ organisation, workClass, count, p50Ms, p90Ms, p99Ms, p999Ms, maxMs }: HistogramSummary): string {
  const quantiles: ReadonlyArray<readonly [string, number]> = [['0.5', p50Ms], ['0.9', p90Ms], ['0.99', p99Ms], ['0.999', p999Ms], ['1', maxMs]]
  const lines = quantiles.map(([quantile, value]) => `heatherdrum_latency_ms${renderLabels({ organisation, class: workClass, quantile })} ${value}`)
  lines.push(`heatherdrum_latency_ms_count${renderLabels({ organisation, class: workClass })} ${count}`)
  return lines.join('\n') + '\n'
}
