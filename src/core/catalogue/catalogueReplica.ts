import type { CatalogueEntry, EntryVersion } from './catalogueEntry'

/** An update of the catalogue, as its source answers it. */
export interface CatalogueUpdate {
  /** The revision of a replica that has applied these versions. */
  readonly revision: number
  /** The time since the source knew this revision to be the newest, in milliseconds. */
  readonly ageMs: number
  /** Every version newer than the requested revision. */
  readonly versions: readonly EntryVersion[]
}

/** Options of a CatalogueReplica. */
export interface CatalogueReplicaOptions {
  /** How long a revision may be enforced after its last confirmation, in milliseconds. */
  readonly leaseMs: number
}

/**
 * A node's replica of the catalogue. It applies only higher versions, so that it never reverts to older ones,
 * and it holds a lease on its revision, after which it must not be enforced.
 */
export class CatalogueReplica {
  private readonly versions = new Map<string, EntryVersion>()
  private currentRevision = 0
  private confirmedAt = Number.NEGATIVE_INFINITY

  constructor (private readonly options: CatalogueReplicaOptions) {}

  /** The revision that this node enforces. */
  get revision (): number {
    return this.currentRevision
  }

  /** Applies an update that was requested since this replica's revision. */
  apply (update: CatalogueUpdate, now: number): void {
    if (update.revision < this.currentRevision) return
    for (const version of update.versions) this.applyVersion(version)
    this.currentRevision = update.revision
    this.confirmedAt = Math.max(this.confirmedAt, now - update.ageMs)
  }

  /** Extends the lease when a peer confirms that this replica's revision was the newest. */
  confirm (revision: number, ageMs: number, now: number): void {
    // A higher revision must be fetched first, and a lower one proves nothing about this replica's.
    if (revision !== this.currentRevision) return
    this.confirmedAt = Math.max(this.confirmedAt, now - ageMs)
  }

  /** The time since this revision was known to be the newest, in milliseconds. */
  ageMs (now: number): number {
    return now - this.confirmedAt
  }

  /** Whether the lease is valid, so that this node may enforce its revision. */
  isFresh (now: number): boolean {
    return this.ageMs(now) < this.options.leaseMs
  }

  /** The entry of this name; undefined if it is unknown or removed. */
  find (name: string): CatalogueEntry | undefined {
    return this.versions.get(name)?.entry
  }

  /** The newest known version of an entry, removals included; 0 if unknown. */
  versionOf (name: string): number {
    return this.versions.get(name)?.version ?? 0
  }

  /** Every version newer than a revision, oldest first, for a replica at that revision. */
  since (revision: number, now: number): CatalogueUpdate {
    const versions = [...this.versions.values()]
      .filter(version => version.revision > revision)
      .sort((a, b) => a.revision - b.revision)
    return { revision: this.currentRevision, ageMs: this.ageMs(now), versions }
  }

  /** The entries that are not removed. */
  entries (): readonly CatalogueEntry[] {
    return [...this.versions.values()].flatMap(version => version.entry === undefined ? [] : [version.entry])
  }

  private applyVersion (version: EntryVersion): void {
    const known = this.versions.get(version.name)
    if (known !== undefined && known.version >= version.version) return
    this.versions.set(version.name, version)
  }
}
