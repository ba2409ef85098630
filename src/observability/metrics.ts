import { StatsD } from 'hot-shots'

/** Tags of a metric, by name. */
export type MetricTags = Readonly<Record<string, string>>

/** A sink for metrics. */
export abstract class Metrics {
  /** Increases a counter. */
  abstract count (name: string, by?: number, tags?: MetricTags): void
  /** Sets a gauge to its current value. */
  abstract gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  abstract duration (name: string, ms: number, tags?: MetricTags): void
  /** Sends buffered metrics and closes the socket. */
  abstract close (): Promise<void>
}

/** Discards all metrics. */
export class DisabledMetrics extends Metrics {
  override count (): void {}
  override gauge (): void {}
  override duration (): void {}
  override async close (): Promise<void> {}
}

/** Options of metrics over UDP. `tags` are added to each metric. */
export interface StatsdMetricsOptions {
  readonly host: string
  readonly port: number
  readonly tags: MetricTags
  /** Called when a send fails; callers of the metrics get no error, so that metrics cannot fail a request. */
  readonly onError: (error: Error) => void
}

/** Sends metrics over UDP in the StatsD format, with the prefix `heatherdrum.`. */
export class StatsdMetrics extends Metrics {
  private readonly client: StatsD

  constructor (options: StatsdMetricsOptions) {
    super()
    this.client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: 'heatherdrum.',
      globalTags: { ...options.tags },
      maxBufferSize: 1400,
      errorHandler: options.onError
    })
  }

  override count (name: string, by = 1, tags: MetricTags = {}): void {
    this.client.increment(name, by, { ...tags })
  }

  override gauge (name: string, value: number, tags: MetricTags = {}): void {
    this.client.gauge(name, value, { ...tags })
  }

  override duration (name: string, ms: number, tags: MetricTags = {}): void {
    this.client.timing(name, ms, { ...tags })
  }

  override async close (): Promise<void> {
    await new Promise<void>(resolve => this.client.close(() => resolve()))
  }
}
