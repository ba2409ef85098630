import type { Candidate } from './candidate'

/** Share of a pool's processors reserved by serving tasks from which on every worker is expected to hold serving tasks. */
const separationShare = 0.25

/**
 * Whether serving tasks prefer a worker without serving tasks to one that runs other images. Load pattern: long-running
 * tasks reserve nearly all processors of a pool, so that none of its workers stays without them. With mixed images, few
 * workers remain on which a filling image puts pressure on no serving task; on a worker with a single serving image, about
 * half of the filling images are harmless.
 */
export function separatesImages (candidates: readonly Candidate[], pool: string): boolean {
  let capacity = 0
  let serving = 0
  for (const { known: { report }, servingByImage } of candidates) {
    if (report.pool !== pool) continue
    capacity += report.capacity.processors
    for (const processors of servingByImage.values()) serving += processors
  }
  return serving >= separationShare * capacity
}
