import type { LogEntry } from './consensusMessage'

/** The log of a replica in memory, from the newest snapshot on. */
export class ReplicatedLog {
  private entries: LogEntry[]

  constructor (private baseIndex: number, private baseTerm: number, entries: readonly LogEntry[]) {
    this.entries = [...entries]
  }

  /** The index of the newest snapshot. */
  get snapshotIndex (): number { return this.baseIndex }

  get lastIndex (): number { return this.baseIndex + this.entries.length }

  get lastTerm (): number { return this.entries.at(-1)?.term ?? this.baseTerm }

  /** The term of an entry; undefined if the log does not hold it. */
  termAt (index: number): number | undefined {
    if (index === this.baseIndex) return this.baseTerm
    return this.entries[index - this.baseIndex - 1]?.term
  }

  /** Entries from an index up to and including another. */
  slice (from: number, to: number): readonly LogEntry[] {
    return this.entries.slice(from - this.baseIndex - 1, to - this.baseIndex)
  }

  append (entry: LogEntry): void {
    this.entries.push(entry)
  }

  /** Drops this index and all after it. */
  truncateFrom (index: number): void {
    this.entries.length = index - this.baseIndex - 1
  }

  /** Drops entries up to an index which a snapshot covers. */
  compact (index: number, term: number): void {
    this.entries = this.termAt(index) === term ? this.entries.slice(index - this.baseIndex) : []
    this.baseIndex = index
    this.baseTerm = term
  }
}
