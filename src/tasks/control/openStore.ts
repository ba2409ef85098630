import { isFailure } from '../../core/failures'
import type { Logger } from '../../observability'
import { ReplicaStore, type ReplicaStoreOptions, type StoredReplica } from '../../storage'

/** Retry interval for a disk that refused a write, in milliseconds; well below the election timeout. */
export const storageRetryMs = 250

/** Opens a data folder. Retries while the disk refuses the first writes of this process; rejects with any other Failure. */
export async function openStore (folder: string, options: ReplicaStoreOptions, logger: Logger): Promise<{ readonly store: ReplicaStore, readonly stored: StoredReplica }> {
  for (let attempt = 1; ; attempt += 1) {
    const opened = await ReplicaStore.open(folder, options)
    if (opened.ok) return opened.val
    if (!isFailure(opened.val, 'storage/write-failed')) throw opened.val
    if (attempt === 1) logger.error('storage_unavailable', { failure: opened.val.code, message: opened.val.message })
    await new Promise(resolve => setTimeout(resolve, storageRetryMs))
  }
}
