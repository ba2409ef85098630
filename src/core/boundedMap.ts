/** A map with a maximum number of entries. When it is full, a new key evicts the least recently set entry; setting a known key renews its entry. */
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

  delete (key: Key): void { this.entries.delete(key) }

  /** The values, least recently set first. */
  values (): Iterable<Value> { return this.entries.values() }

  /** The keys with their values, least recently set first. */
  all (): Iterable<readonly [Key, Value]> { return this.entries }

  clear (): void { this.entries.clear() }
}
