/** Files of a control replica. */
export { ReplicaStore, readFolder, type ReplicaStoreOptions, type StoredReplica } from './replicaStore'
export { lockFolder, type FolderLock } from './folderLock'
export { DiskFiles, StoreFiles, type StoreFile } from './storeFiles'
