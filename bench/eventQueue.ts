interface QueuedEvent {
  readonly at: number
  readonly order: number
  readonly run: () => void
}

/** Events in virtual time, in milliseconds. */
export class EventQueue {
  private readonly heap: QueuedEvent[] = []
  private order = 0
  private time = 0

  get now (): number { return this.time }

  after (delayMs: number, run: () => void): void {
    this.at(this.time + delayMs, run)
  }

  at (time: number, run: () => void): void {
    this.order += 1
    this.heap.push({ at: time, order: this.order, run })
    this.rise(this.heap.length - 1)
  }

  /** Runs the next event; false if there is none. */
  step (): boolean {
    const [next] = this.heap
    const last = this.heap.pop()
    if (next === undefined || last === undefined) return false
    if (this.heap.length > 0) {
      this.heap[0] = last
      this.sink(0)
    }
    this.time = next.at
    next.run()
    return true
  }

  private rise (start: number): void {
    let position = start
    while (position > 0) {
      const parent = (position - 1) >> 1
      if (this.isBefore(parent, position)) return
      this.swap(parent, position)
      position = parent
    }
  }

  private sink (start: number): void {
    let position = start
    for (;;) {
      const left = 2 * position + 1
      let first = position
      if (left < this.heap.length && this.isBefore(left, first)) first = left
      if (left + 1 < this.heap.length && this.isBefore(left + 1, first)) first = left + 1
      if (first === position) return
      this.swap(first, position)
      position = first
    }
  }

  private isBefore (a: number, b: number): boolean {
    const first = this.heap[a] as QueuedEvent
    const second = this.heap[b] as QueuedEvent
    return first.at < second.at || (first.at === second.at && first.order < second.order)
  }

  private swap (a: number, b: number): void {
    const first = this.heap[a] as QueuedEvent
    this.heap[a] = this.heap[b] as QueuedEvent
    this.heap[b] = first
  }
}
