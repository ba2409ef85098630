/** The estimate of a weight: its mean and its standard deviation. */
export interface WeightEstimate {
  readonly mean: number
  readonly deviation: number
}

/**
 * A Kalman filter over the weights of a linear model: the expected value is the sum of the weight of each feature times its
 * amount. Features can be added and removed, and weights may drift over time.
 */
export class OnlineRegression {
  private readonly features: string[] = []
  /** The position of each feature in `features`, `means` and `covariance`. */
  private readonly positions = new Map<string, number>()
  private means: number[] = []
  private covariance: number[][] = []

  /** `noiseVariance` is the variance of an observed value around its expected value. */
  constructor (private readonly noiseVariance: number) {}

  /** The estimated weight of a feature; undefined if it was not added. */
  weight (feature: string): WeightEstimate | undefined {
    const position = this.positions.get(feature)
    if (position === undefined) return undefined
    return { mean: this.means[position] ?? 0, deviation: Math.sqrt(this.covariance[position]?.[position] ?? 0) }
  }

  /** Adds a feature with a prior estimate of its weight, unless it is already known. */
  add (feature: string, { mean, deviation }: WeightEstimate): void {
    if (this.positions.has(feature)) return
    const position = this.features.length
    this.features.push(feature)
    this.positions.set(feature, position)
    this.means.push(mean)
    for (const line of this.covariance) line.push(0)
    this.covariance.push([...new Array<number>(position).fill(0), deviation ** 2])
  }

  /** Removes a feature and its estimate, if it is known. */
  remove (feature: string): void {
    const position = this.positions.get(feature)
    if (position === undefined) return
    this.features.splice(position, 1)
    this.positions.delete(feature)
    for (let later = position; later < this.features.length; later += 1) this.positions.set(this.features[later] ?? '', later)
    this.means.splice(position, 1)
    this.covariance.splice(position, 1)
    for (const line of this.covariance) line.splice(position, 1)
  }

  /** Increases the variance of the weight of a feature, as it may have drifted; at most up to `maximumVariance`. */
  drift (feature: string, variance: number, maximumVariance: number): void {
    const position = this.positions.get(feature) ?? this.features.length
    const line = this.covariance[position]
    if (line !== undefined) line[position] = Math.min(maximumVariance, (line[position] ?? 0) + variance)
  }

  /** The expected value for the given amounts of features. */
  expect (amounts: ReadonlyMap<string, number>): number {
    return dot(this.rowOf(amounts), this.means)
  }

  /** Updates the estimates from one observed value; features that were not added are ignored. */
  observe (amounts: ReadonlyMap<string, number>, value: number): void {
    const row = this.rowOf(amounts)
    const projection = this.covariance.map(line => dot(line, row))
    const variance = this.noiseVariance + dot(row, projection)
    const error = value - dot(row, this.means)
    for (let i = 0; i < row.length; i += 1) {
      const gain = (projection[i] ?? 0) / variance
      if (gain === 0) continue
      this.means[i] = (this.means[i] ?? 0) + gain * error
      const line = this.covariance[i] ?? []
      for (let j = 0; j < row.length; j += 1) line[j] = (line[j] ?? 0) - gain * (projection[j] ?? 0)
    }
  }

  private rowOf (amounts: ReadonlyMap<string, number>): readonly number[] {
    const row = new Array<number>(this.features.length).fill(0)
    for (const [feature, amount] of amounts) {
      const position = this.positions.get(feature)
      if (position !== undefined) row[position] = amount
    }
    return row
  }
}

function dot (a: readonly number[], b: readonly number[]): number {
  let sum = 0
  for (let i = 0; i < a.length; i += 1) sum += (a[i] ?? 0) * (b[i] ?? 0)
  return sum
}
