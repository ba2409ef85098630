/** What is believed of one weight. */
export interface Weight {
  readonly mean: number
  readonly deviation: number
}

/**
 * A Kalman filter over the weights of a sum: the expected value is the sum of each feature's weight times its amount.
 * Features are added and forgotten as they come and go, and a weight may drift.
 */
export class OnlineRegression {
  private readonly features: string[] = []
  /** Where each feature stands. */
  private readonly positions = new Map<string, number>()
  private means: number[] = []
  private covariance: number[][] = []

  /** `noiseVariance` is the variance of an observation around its expected value. */
  constructor (private readonly noiseVariance: number) {}

  /** What is believed of the weight of a feature; undefined before it was added. */
  weight (feature: string): Weight | undefined {
    const position = this.positions.get(feature)
    if (position === undefined) return undefined
    return { mean: this.means[position] ?? 0, deviation: Math.sqrt(this.covariance[position]?.[position] ?? 0) }
  }

  /** Adds a feature with what is believed of its weight, unless it is known. */
  add (feature: string, { mean, deviation }: Weight): void {
    if (this.positions.has(feature)) return
    const position = this.features.length
    this.features.push(feature)
    this.positions.set(feature, position)
    this.means.push(mean)
    for (const line of this.covariance) line.push(0)
    this.covariance.push([...new Array<number>(position).fill(0), deviation ** 2])
  }

  /** Forgets a feature. */
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

  /** Lets the weight of a feature have drifted; its variance stays below a bound. */
  drift (feature: string, variance: number, maximumVariance: number): void {
    const position = this.positions.get(feature) ?? this.features.length
    const line = this.covariance[position]
    if (line !== undefined) line[position] = Math.min(maximumVariance, (line[position] ?? 0) + variance)
  }

  /** The value which is expected with these amounts of features. */
  expect (amounts: ReadonlyMap<string, number>): number {
    return dot(this.rowOf(amounts), this.means)
  }

  /** Takes one observation; amounts of features which were not added count as 0. */
  observe (amounts: ReadonlyMap<string, number>, value: number): void {
    const row = this.rowOf(amounts)
    const spread = this.covariance.map(line => dot(line, row))
    const variance = this.noiseVariance + dot(row, spread)
    const error = value - dot(row, this.means)
    for (let i = 0; i < row.length; i += 1) {
      const gain = (spread[i] ?? 0) / variance
      if (gain === 0) continue
      this.means[i] = (this.means[i] ?? 0) + gain * error
      const line = this.covariance[i] ?? []
      for (let j = 0; j < row.length; j += 1) line[j] = (line[j] ?? 0) - gain * (spread[j] ?? 0)
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
