import type { Resources } from '../catalogue'

/** No resources at all. */
export const noResources: Resources = { processors: 0, memoryMb: 0, accelerators: 0 }

/** Absorbs the rounding of sums of fractional cores. */
const processorTolerance = 1e-6

/** The sum of two amounts. */
export function addResources (a: Resources, b: Resources): Resources {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators
  }
}

/** The first amount less the second. */
export function subtractResources (a: Resources, b: Resources): Resources {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators
  }
}

/** Whether an amount fits into a room in every resource. */
export function hasRoomFor (room: Resources, amount: Resources): boolean {
  return amount.processors <= room.processors + processorTolerance &&
    amount.memoryMb <= room.memoryMb &&
    amount.accelerators <= room.accelerators
}
