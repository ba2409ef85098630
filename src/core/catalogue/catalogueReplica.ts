import type { CatalogueEntry, EntryVersion } from './catalogueEntry'

/** The versions which one answer of a source of the catalogue brings. */
export interface CatalogueUpdate {
  /** The revision which a replica has after it took these versions. */
  readonly revision: number
  /** How long ago the source knew this revision to be the newest, in milliseconds. */
  readonly ageMs: number
  /** Every version newer than the revision which was asked for. */
  readonly versions: readonly EntryVersion[]
}

/** Options of a catalogue replica. */
export interface CatalogueReplicaOptions {
  /** How long a confirmed revision may be enforced without another confirmation, in milliseconds. */
  readonly leaseMs: number
}

/**
 * A node's copy of the catalogue. It takes only higher versions, so it never goes back,
 * and it knows until when its revision may be enforced.
 */
export class CatalogueReplica {
  private readonly versions = new Map<string, EntryVersion>()
  private currentRevision = 0
  private confirmedAt = Number.NEGATIVE_INFINITY

  constructor (private readonly options: CatalogueReplicaOptions) {}

  /** The revision which this node enforces. */
  get revision (): number {
    return this.currentRevision
  }

  /** Takes an update which was asked for since this replica's revision. */
  apply (update: CatalogueUpdate, now: number): void {
    if (update.revision < this.currentRevision) return
    for (const version of update.versions) this.take(version)
    this.currentRevision = update.revision
    this.confirmedAt = Math.max(this.confirmedAt, now - update.ageMs)
  }

  /** Extends the lease when a peer vouches that this replica's revision was the newest. */
  confirm (revision: number, ageMs: number, now: number): void {
    // A higher one must be fetched first, and a lower one proves nothing about ours.
    if (revision !== this.currentRevision) return
    this.confirmedAt = Math.max(this.confirmedAt, now - ageMs)
  }

  /** How long ago this revision was known to be the newest, in milliseconds. */
  ageMs (now: number): number {
    return now - this.confirmedAt
  }

  /** Whether this node may still act on its copy. */
  isFresh (now: number): boolean {
    return this.ageMs(now) < this.options.leaseMs
  }

  /** The live entry of this name. */
  find (name: string): CatalogueEntry | undefined {
    return this.versions.get(name)?.entry
  }

  /** The newest known version of a name, removed ones included; 0 if unknown. */
  versionOf (name: string): number {
    return this.versions.get(name)?.version ?? 0
  }

  /** Every version newer than a revision, oldest first. */
  since (revision: number, now: number): CatalogueUpdate {
    const versions = [...this.versions.values()]
      .filter(version => version.revision > revision)
      .sort((a, b) => a.revision - b.revision)
    return { revision: this.currentRevision, ageMs: this.ageMs(now), versions }
  }

  /** The live entries. */
  entries (): readonly CatalogueEntry[] {
    return [...this.versions.values()].flatMap(version => version.entry === undefined ? [] : [version.entry])
  }

  private take (version: EntryVersion): void {
    const known = this.versions.get(version.name)
    if (known !== undefined && known.version >= version.version) return
    this.versions.set(version.name, version)
  }
}
