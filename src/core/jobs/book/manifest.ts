/** A queue of jobs, as operators set it. */
export interface Queue {
  readonly name: string
  /** The host which callers name. */
  readonly host: string
  /** Paths which begin with this belong to the queue; the longest match wins. */
  readonly pathPrefix: string
  /** The pool of workers which runs its tasks. */
  readonly pool: string
  /** 0 comes first and may preempt others. */
  readonly priority: number
  /** Runs of a task which may end as failed before its job has failed. */
  readonly maximumAttempts: number
  /** The objective of a job is this many times its longest chain, and `targetLatencyMs` more. */
  readonly slackFactor: number
  readonly targetLatencyMs: number
  /** Whether an advisor decides which workers may run a step. */
  readonly needsAdvice: boolean
  /** The regions in which its tasks may start; absent or empty for all. */
  readonly allowedRegions?: readonly string[] | undefined
}

/** A pool of workers. */
export interface WorkerPool {
  readonly name: string
  /** Whether its workers themselves refuse what does not fit. */
  readonly isGuarded: boolean
  /** Whether its VMs are kept off. */
  readonly isStandby: boolean
}

/** Everything which operators set, as one versioned document. */
export interface Manifest {
  /** The highest version is in force. */
  readonly version: number
  readonly queues: readonly Queue[]
  readonly pools: readonly WorkerPool[]
  /** The document as the operator sent it; it is read back unchanged. */
  readonly document: string
}

/** Finds the queue of a request by its host and the longest matching prefix of its path. */
export function findQueue (manifest: Manifest, host: string, path: string): Queue | undefined {
  let best: Queue | undefined
  for (const queue of manifest.queues) {
    if (queue.host !== host || !path.startsWith(queue.pathPrefix)) continue
    if (best === undefined || queue.pathPrefix.length > best.pathPrefix.length) best = queue
  }
  return best
}
