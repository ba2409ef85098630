import type { Queue } from '../book'

/** The region of an availability zone; undefined if it is not known. */
export type RegionOf = (zone: string) => string | undefined

/** Whether tasks of a queue may start in an availability zone; a queue with regions excludes zones whose region is not known. */
export function mayStartIn (zone: string, { allowedRegions = [] }: Queue, regionOf: RegionOf): boolean {
  if (allowedRegions.length === 0) return true
  const region = regionOf(zone)
  return region !== undefined && allowedRegions.includes(region)
}
