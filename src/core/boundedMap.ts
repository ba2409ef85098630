/** A map of at most so many entries; a new entry or a new value of a known key displaces the entry that was set longest ago. */
export class BoundedMap<Key, Value> {
  private readonly entries = new Map<Key, Value>()

  constructor (private readonly maximum: number) {}

  get size (): number { return this.entries.size }

  get (key: Key): Value | undefined { return this.entries.get(key) }

  set (key: Key, value: Value): void {
    this.entries.delete(key)
    this.entries.set(key, value)
    if (this.entries.size <= this.maximum) return
    const oldest = this.entries.keys().next()
    if (oldest.done !== true) this.entries.delete(oldest.value)
  }

  /** The values, the one that was set longest ago first. */
  values (): Iterable<Value> { return this.entries.values() }

  clear (): void { this.entries.clear() }
}
