import type { Candidate } from './candidate'

/** Share of a pool's processors that serving tasks reserve from which on every worker is expected to get some. */
const scarceShare = 0.25

/**
 * Whether serving tasks of an image go to a worker without any sooner than beside other images. Load pattern: long-running
 * tasks reserve nearly all processors of a pool, so that no worker stays free of them. Mixed images then leave few workers
 * on which a filling image presses on nobody, while workers of one image are harmless to about half of the filling images.
 */
export function separatesImages (candidates: readonly Candidate[], pool: string): boolean {
  let capacity = 0
  let serving = 0
  for (const { known: { report }, servingByImage } of candidates) {
    if (report.pool !== pool) continue
    capacity += report.capacity.processors
    for (const processors of servingByImage.values()) serving += processors
  }
  return serving >= scarceShare * capacity
}
