import type { Envelope, HardState, LogEntry, StateSnapshot } from './consensusMessage'

/** What must be synced to disk before the messages of the same effects are sent, as they acknowledge it. */
export interface DurableChange {
  readonly hardState?: HardState
  readonly truncateFrom?: number
  readonly entries: readonly LogEntry[]
  readonly snapshot?: StateSnapshot
}

/** The effects that a replica requests, in the order of execution: sync to disk, restore, apply, answer reads, send. */
export interface ReplicaEffects {
  readonly durable?: DurableChange
  /** A snapshot from the leader that replaces the state machine. */
  readonly restore?: StateSnapshot
  readonly committed: readonly LogEntry[]
  /** Ids of reads that may be answered once the committed entries are applied. */
  readonly confirmedReads: readonly number[]
  /** Ids of reads that this replica cannot serve and that go to another one. */
  readonly refusedReads: readonly number[]
  readonly messages: readonly Envelope[]
}

/** Collects the effects of a replica until the caller takes them. */
export class EffectQueue {
  private messages: Envelope[] = []
  private entries: LogEntry[] = []
  private truncatedFrom: number | undefined
  private hardState: HardState | undefined
  private restored: StateSnapshot | undefined
  private committed: LogEntry[] = []
  private confirmedReads: number[] = []
  private refusedReads: number[] = []

  send (envelope: Envelope): void { this.messages.push(envelope) }

  persistHardState (hardState: HardState): void { this.hardState = hardState }

  append (entry: LogEntry): void { this.entries.push(entry) }

  commit (entries: readonly LogEntry[]): void { this.committed.push(...entries) }

  confirmReads (ids: readonly number[]): void { this.confirmedReads.push(...ids) }

  refuseReads (ids: readonly number[]): void { this.refusedReads.push(...ids) }

  /** Discards the entry at an index and all entries after it. */
  truncateFrom (index: number): void {
    this.entries = this.entries.filter(entry => entry.index < index)
    this.truncatedFrom = Math.min(this.truncatedFrom ?? index, index)
  }

  /** Replaces the state machine. Pending committed entries are part of the snapshot and are dropped; pending entries that the log keeps after the snapshot are still written. */
  restore (snapshot: StateSnapshot, dropsLog: boolean): void {
    this.restored = snapshot
    this.committed = []
    this.entries = dropsLog ? [] : this.entries.filter(entry => entry.index > snapshot.index)
    if (dropsLog) this.truncatedFrom = snapshot.index + 1
  }

  /** Returns the effects since the last call and clears the queue. */
  take (): ReplicaEffects {
    const effects: ReplicaEffects = {
      ...this.durable(),
      ...(this.restored === undefined ? {} : { restore: this.restored }),
      committed: this.committed,
      confirmedReads: this.confirmedReads,
      refusedReads: this.refusedReads,
      messages: this.messages
    }
    this.messages = []
    this.entries = []
    this.truncatedFrom = undefined
    this.hardState = undefined
    this.restored = undefined
    this.committed = []
    this.confirmedReads = []
    this.refusedReads = []
    return effects
  }

  private durable (): { readonly durable?: DurableChange } {
    const { hardState, truncatedFrom, restored, entries } = this
    if (hardState === undefined && truncatedFrom === undefined && restored === undefined && entries.length === 0) return {}
    return {
      durable: {
        ...(hardState === undefined ? {} : { hardState }),
        ...(truncatedFrom === undefined ? {} : { truncateFrom: truncatedFrom }),
        ...(restored === undefined ? {} : { snapshot: restored }),
        entries
      }
    }
  }
}
