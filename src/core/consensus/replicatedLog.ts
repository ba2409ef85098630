import type { LogEntry } from './consensusMessage'

/** The in-memory log of a replica after the newest snapshot. */
export class ReplicatedLog {
  private entries: LogEntry[]

  constructor (private baseIndex: number, private baseTerm: number, entries: readonly LogEntry[]) {
    this.entries = [...entries]
  }

  /** The index of the newest snapshot; 0 without one. */
  get snapshotIndex (): number { return this.baseIndex }

  get lastIndex (): number { return this.baseIndex + this.entries.length }

  get lastTerm (): number { return this.entries.at(-1)?.term ?? this.baseTerm }

  /** The term of an entry; undefined if the log does not hold it. */
  termAt (index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm
    return this.entries[index - this.baseIndex - 1]?.term
  }

  /** The entries from one index up to and including another. */
  slice (from: number, to: number): readonly LogEntry[] {
    return this.entries.slice(from - this.baseIndex - 1, to - this.baseIndex)
  }

  /** The entries from an index on, up to a number of entries and of characters of their payloads; at least one if there is any. */
  batch (from: number, maximumEntries: number, maximumCharacters: number): readonly LogEntry[] {
    const entries = this.slice(from, from + maximumEntries - 1)
    let characters = 0
    const end = entries.findIndex(({ payload }, position) => {
      characters += payload.length
      return position > 0 && characters > maximumCharacters
    })
    return end === -1 ? entries : entries.slice(0, end)
  }

  append (entry: LogEntry): void {
    this.entries.push(entry)
  }

  /** Discards the entry at an index and all entries after it. */
  truncateFrom (index: number): void {
    this.entries.length = index - this.baseIndex - 1
  }

  /** Discards the entries that a snapshot covers; all entries if the entry at its index has another term or is missing. */
  compact (index: number, term: number): void {
    this.entries = this.termAt(index) === term ? this.entries.slice(index - this.baseIndex) : []
    this.baseIndex = index
    this.baseTerm = term
  }
}
