import type { build, Histogram } from 'hdr-histogram-js'

/** Count and percentiles of one histogram, in milliseconds. */
export interface HistogramSummary {
  readonly organisation: string
  readonly workClass: string
  readonly count: number
  readonly p50Ms: number
  readonly p90Ms: number
  readonly p99Ms: number
  readonly p999Ms: number
  readonly maxMs: number
}

/** Longer durations are recorded as this one, in microseconds. */
const highestMicroseconds = 3_600_000_000
const significantDigits = 2
const microsecondsPerMs = 1000

/** Duration histograms by organisation and class of work. */
export class Histograms {
  private readonly histograms = new Map<string, { readonly organisation: string, readonly workClass: string, readonly histogram: Histogram }>()

  private constructor (private readonly buildHistogram: typeof build, private readonly maximum: number) {}

  /**
   * Loads the library and creates an empty set. The library is imported here because loading it takes 8 MB, which a process
   * without histograms saves. At most `maximum` histograms are kept; further organisations share the one named "other".
   */
  static async create (maximum = 256): Promise<Histograms> {
    const library = await import('hdr-histogram-js')
    return new Histograms(library.build, maximum)
  }

  /** Records one duration in milliseconds, with a resolution of one microsecond and two significant digits. */
  record (organisation: string, workClass: string, durationMs: number): void {
    const microseconds = Math.min(highestMicroseconds, Math.max(1, Math.round(durationMs * microsecondsPerMs)))
    this.getOrCreate(organisation, workClass).recordValue(microseconds)
  }

  /** Returns the percentiles of each histogram. */
  summarize (): readonly HistogramSummary[] {
    return [...this.histograms.values()].map(({ organisation, workClass, histogram }) => ({
      organisation,
      workClass,
      count: histogram.totalCount,
      p50Ms: histogram.getValueAtPercentile(50) / microsecondsPerMs,
      p90Ms: histogram.getValueAtPercentile(90) / microsecondsPerMs,
      p99Ms: histogram.getValueAtPercentile(99) / microsecondsPerMs,
      p999Ms: histogram.getValueAtPercentile(99.9) / microsecondsPerMs,
      maxMs: histogram.maxValue / microsecondsPerMs
    }))
  }

  private getOrCreate (organisation: string, workClass: string): Histogram {
    const key = `${organisation} ${workClass}`
    const known = this.histograms.get(key)
    if (known !== undefined) return known.histogram
    if (this.histograms.size >= this.maximum && organisation !== 'other') return this.getOrCreate('other', workClass)
    const histogram = this.buildHistogram({ highestTrackableValue: highestMicroseconds, numberOfSignificantValueDigits: significantDigits })
    this.histograms.set(key, { organisation, workClass, histogram })
    return histogram
  }
}
