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
    const key = keyOf(name, labels)
    const known = this.series.get(key)
    if (known === undefined && this.series.size >= maximumSeries) this.dropped += by
    else this.series.set(key, (known ?? 0) + by)
  }

  /** Sets a gauge, which stands for what is at present. */
  set (name: string, labels: CounterLabels, value: number): void {
    const key = keyOf(name, labels)
    if (!this.series.has(key) && this.series.size >= maximumSeries) this.dropped += 1
    else this.series.set(key, value)
  }

  /** Forgets all series of a gauge, as what it stood for may be no more. */
  forget (name: string): void {
    for (const key of this.series.keys()) if (key.split('{')[0] === `heatherdrum_${name}`) this.series.delete(key)
  }

  /** One line for each series, in the text format of Prometheus. */
  render (): string {
    const lines = [...this.series].map(([key, value]) => `${key} ${value}`).sort()
    if (this.dropped > 0) lines.push(`heatherdrum_counters_dropped_total ${this.dropped}`)
    return lines.join('\n') + '\n'
  }
}

function keyOf (name: string, labels: CounterLabels): string { return `heatherdrum_${name}${renderLabels(labels)}` }

/** Writes labels as `{name="value"}`. */
export function renderLabels (labels: CounterLabels): string {
  const pairs = Object.entries(labels).map(([name, value]) => `${name}=${JSON.stringify(value)}`)
  return pairs.length === 0 ? '' : `{${pairs.join(',')}}`
}
