/** A queue of jobs, as configured by operators. */
export interface Queue {
  readonly name: string
  /** The host in the requests of callers. */
  readonly host: string
  /** Paths with this prefix belong to the queue; the longest match wins. */
  readonly pathPrefix: string
  /** The pool of workers that runs its tasks. */
  readonly pool: string
  /** 0 is the highest priority and may preempt others. */
  readonly priority: number
  /** Number of failed runs of a task after which its job has failed. */
  readonly maximumAttempts: number
  /** The objective of a job is its critical path times this factor, plus `targetLatencyMs`. */
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
  /** Whether its workers themselves refuse runs that do not fit. */
  readonly isGuarded: boolean
  /** Whether its VMs are kept switched off. */
  readonly isStandby: boolean
}

/** The configuration by operators, as one versioned document. */
export interface Manifest {
  /** The highest version is in force. */
  readonly version: number
  readonly queues: readonly Queue[]
  readonly pools: readonly WorkerPool[]
  /** The document as sent by the operator; it is returned unchanged. */
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
