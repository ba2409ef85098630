/** Labels of one counter. */
export type CounterLabels = Readonly<Record<string, string>>

/** Different label sets of all counters together; more are counted under `counters_dropped_total`. */
const maximumSeries = 2000

/** Counts events, for the text at a metrics address. */
export class Counters {
  private readonly series = new Map<string, number>()
  private dropped = 0

  /** Adds to a counter. */
  add (name: string, labels: CounterLabels = {}, by = 1): void {
    const key = `heatherdrum_${name}${renderLabels(labels)}`
    const known = this.series.get(key)
    if (known === undefined && this.series.size >= maximumSeries) this.dropped += by
    else this.series.set(key, (known ?? 0) + by)
  }

  /** One line for each series, in the text format of Prometheus. */
  render (): string {
    const lines = [...this.series].map(([key, value]) => `${key} ${value}`).sort()
    if (this.dropped > 0) lines.push(`heatherdrum_counters_dropped_total ${this.dropped}`)
    return lines.join('\n') + '\n'
  }
}

/** Writes labels as `{name="value"}`. */
export function renderLabels (labels: CounterLabels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}
