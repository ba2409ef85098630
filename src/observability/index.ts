/** Logging, metrics, latency histograms and the suspension clock. */
export { LineWriter } from './lineWriter'
export { createLogger, quoteValue, type LogFields, type Logger, type LoggerOptions, type LogLevel } from './logger'
export { Histograms, type HistogramSummary } from './histograms'
export { DatagramMetrics, DisabledMetrics, Metrics, type DatagramMetricsOptions, type MetricTags } from './metrics'
export { SuspensionClock } from './suspensionClock'
export { Counters, type CounterLabels } from './counters'
export { renderMetrics } from './metricsText'
