import { StatsD } from 'hot-shots'

/** Labels of a metric. */
export type MetricTags = Readonly<Record<string, string>>

/** Where metrics go. */
export abstract class Metrics {
  /** Adds to a counter. */
  abstract count (name: string, by?: number, tags?: MetricTags): void
  /** Sets a gauge. */
  abstract gauge (name: string, value: number, tags?: MetricTags): void
  /** Records a duration in milliseconds. */
  abstract duration (name: string, ms: number, tags?: MetricTags): void
  /** Sends what is buffered and closes the socket. */
  abstract close (): Promise<void>
}

/** Metrics which go nowhere. */
export class DisabledMetrics extends Metrics {
  override count (): void {}
  override gauge (): void {}
  override duration (): void {}
  override async close (): Promise<void> {}
}

/** Options of metrics over UDP. */
export interface DatagramMetricsOptions {
  readonly host: string
  readonly port: number
  readonly tags: MetricTags
  /** Told of a failed send; metrics never fail a request. */
  readonly onError: (error: Error) => void
}

/** Metrics over UDP in the StatsD format. */
export class DatagramMetrics extends Metrics {
  private readonly client: StatsD

  constructor (options: DatagramMetricsOptions) {
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
