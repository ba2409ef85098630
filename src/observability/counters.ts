/** Labels of one series, by name. */
export type CounterLabels = Readonly<Record<string, string>>

/** The largest number of series of all counters and gauges together; updates of further ones are counted under `counters_dropped_total`. */
const maximumSeries = 2000

/** Counters and gauges, which are exposed in the text format of Prometheus. */
export class Counters {
  private readonly series = new Map<string, number>()
  private dropped = 0

  /** Increases a counter; a new series above the limit is dropped. */
  add (name: string, labels: CounterLabels = {}, by = 1): void {
    const key = keyOf(name, labels)
    const known = this.series.get(key)
    if (known === undefined && this.series.size >= maximumSeries) this.dropped += by
    else this.series.set(key, (known ?? 0) + by)
  }

  /** Sets a gauge to its current value; a new series above the limit is dropped. */
  set (name: string, labels: CounterLabels, value: number): void {
    const key = keyOf(name, labels)
    if (!this.series.has(key) && this.series.size >= maximumSeries) this.dropped += 1
    else this.series.set(key, value)
  }

  /** Removes all series of a gauge, so that values of things that no longer exist are not exposed. */
  removeGauge (name: string): void {
    for (const key of this.series.keys()) if (key.split('{')[0] === `heatherdrum_${name}`) this.series.delete(key)
  }

  /** Returns one line for each series, in the text format of Prometheus. */
  render (): string {
    const lines = [...this.series].map(([key, value]) => `${key} ${value}`).sort()
    if (this.dropped > 0) lines.push(`heatherdrum_counters_dropped_total ${this.dropped}`)
    return lines.join('\n') + '\n'
  }
}

function keyOf (name: string, labels: CounterLabels): string { return `heatherdrum_${name}${renderLabels(labels)}` }

/** Formats labels as `{name="value"}`, or as an empty text if there are none. */
export function renderLabels (labels: CounterLabels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}
