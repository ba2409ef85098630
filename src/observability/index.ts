/** Logging, metrics, latency histograms and the suspension clock. */
export { LineWriter } from './lineWriter'
export { createLogger, quoteValue, type LogFields, type Logger, type LoggerOptions, type LogLevel } from './logger'
export { Histograms, type HistogramSummary } from './histograms'
export { StatsdMetrics, DisabledMetrics, Metrics, type StatsdMetricsOptions, type MetricTags } from './metrics'
export { StallMeter, stallTickMs } from './stallMeter'
export { SuspensionClock } from './suspensionClock'
export { Counters, type CounterLabels } from './counters'
export { renderMetrics } from './renderMetrics'
