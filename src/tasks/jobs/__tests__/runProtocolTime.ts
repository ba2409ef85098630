/** A seeded source of chance; the same seed gives the same history. */
export class Lot {
  private state: number

  constructor (seed: number) {
    this.state = seed >>> 0
  }

  /** A number from 0 to 1. */
  next (): number {
    this.state = (this.state + 0x6d2b79f5) >>> 0
    let mixed = this.state
    mixed = Math.imul(mixed ^ (mixed >>> 15), mixed | 1)
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61)
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 4294967296
  }

  between (least: number, most: number): number { return least + (most - least) * this.next() }

  /** A whole number, both bounds included. */
  whole (least: number, most: number): number { return Math.floor(this.between(least, most + 1)) }

  chance (share: number): boolean { return this.next() < share }

  pick<Value> (values: readonly Value[]): Value | undefined { return values[Math.floor(this.next() * values.length)] }
}

interface TimedEvent {
  readonly at: number
  readonly order: number
  readonly act: () => void
}

/** Reactions to a promise that may follow one another before the next event. */
const microtaskRounds = 8

/** A clock in milliseconds, and what happens by it. */
export abstract class ModelTime {
  abstract readonly now: number

  abstract at (moment: number, act: () => void): void

  /** To be called when a promise was resolved, so that what waits for it goes on before the next event. */
  abstract settle (): void

  after (delayMs: number, act: () => void): void { this.at(this.now + delayMs, act) }

  /** Acts again and again until it returns false. */
  every (intervalMs: number, act: () => boolean): void {
    this.after(intervalMs, () => { if (act()) this.every(intervalMs, act) })
  }
}

/** The time of one VM, which stands still while the VM is suspended. */
export class VmTime extends ModelTime {
  private suspendedMs = 0
  private suspendedAt: number | undefined
  private resumesAt = 0

  constructor (private readonly world: ModelTime) { super() }

  get now (): number { return (this.suspendedAt ?? this.world.now) - this.suspendedMs }

  get isSuspended (): boolean { return this.suspendedAt !== undefined }

  suspend (spellMs: number): void {
    this.suspendedAt = this.world.now
    this.resumesAt = this.world.now + spellMs
    this.world.at(this.resumesAt, () => {
      this.suspendedAt = undefined
      this.suspendedMs += spellMs
    })
  }

  override at (moment: number, act: () => void): void {
    if (this.isSuspended) return this.world.at(this.resumesAt, () => this.at(moment, act))
    this.world.at(moment + this.suspendedMs, () => {
      if (this.isSuspended || this.now < moment - toleranceMs) this.at(moment, act)
      else act()
    })
  }

  override settle (): void { this.world.settle() }
}

/** Sums of fractions of a millisecond are not exact. */
const toleranceMs = 1e-6

/** A clock in milliseconds that only events move; events of one moment happen in the order in which they were entered. */
export class VirtualTime extends ModelTime {
  override now = 0
  private readonly heap: TimedEvent[] = []
  private entered = 0
  private mustSettle = false

  override at (moment: number, act: () => void): void {
    this.entered += 1
    this.heap.push({ at: Math.max(moment, this.now), order: this.entered, act })
    this.rise(this.heap.length - 1)
  }

  override settle (): void { this.mustSettle = true }

  /** Plays events up to a moment, or until `mayGoOn` says no. */
  async run (until: number, mayGoOn: () => boolean): Promise<void> {
    for (let next = this.heap[0]; next !== undefined && next.at <= until && mayGoOn(); next = this.heap[0]) {
      this.removeFirst()
      this.now = next.at
      next.act()
      if (!this.mustSettle) continue
      this.mustSettle = false
      for (let round = 0; round < microtaskRounds; round += 1) await undefined
    }
    if (mayGoOn()) this.now = Math.max(this.now, until)
  }

  private removeFirst (): void {
    const last = this.heap.pop()
    if (last === undefined || this.heap.length === 0) return
    this.heap[0] = last
    this.sink()
  }

  private rise (from: number): void {
    for (let index = from; index > 0;) {
      const parent = (index - 1) >> 1
      if (!this.swapIfLater(parent, index)) return
      index = parent
    }
  }

  private sink (): void {
    for (let index = 0; ;) {
      const left = 2 * index + 1
      const child = this.isBefore(left + 1, left) ? left + 1 : left
      if (!this.swapIfLater(index, child)) return
      index = child
    }
  }

  private isBefore (first: number, second: number): boolean {
    const [a, b] = [this.heap[first], this.heap[second]]
    if (a === undefined || b === undefined) return false
    return a.at === b.at ? a.order < b.order : a.at < b.at
  }

  private swapIfLater (upper: number, lower: number): boolean {
    const [a, b] = [this.heap[upper], this.heap[lower]]
    if (a === undefined || b === undefined || !this.isBefore(lower, upper)) return false
    this.heap[upper] = b
    this.heap[lower] = a
    return true
  }
}
