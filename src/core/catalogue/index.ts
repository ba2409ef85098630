/** Catalogue entries, their limits, and a node's replica of the catalogue. */
export { validateEntry, type CatalogueEntry, type EntryVersion, type Limits, type Resources, type WorkClass } from './catalogueEntry'
export { CatalogueReplica, type CatalogueReplicaOptions, type CatalogueUpdate } from './catalogueReplica'
