import type { Queue } from '../book'

/** Looks up the region of an availability zone; undefined if it is unknown. */
export type RegionOf = (zone: string) => string | undefined

/** Whether tasks of a queue may start in an availability zone. A queue with regions excludes zones whose region is unknown. */
export function mayStartIn (zone: string, { allowedRegions = [] }: Queue, regionOf: RegionOf): boolean {
  if (allowedRegions.length === 0) return true
  const region = regionOf(zone)
  return region !== undefined && allowedRegions.includes(region)
}
