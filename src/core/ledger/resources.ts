import type { Resources } from '../catalogue'

/** Zero of every resource. */
export const noResources: Resources = { processors: 0, memoryMb: 0, accelerators: 0 }

/** Allowance for rounding errors in sums of fractional cores. */
const processorToleranceCores = 1e-6

/** The sum of two amounts. */
export function addResources (a: Resources, b: Resources): Resources {
  return {
    processors: a.processors + b.processors,
    memoryMb: a.memoryMb + b.memoryMb,
    accelerators: a.accelerators + b.accelerators
  }
}

/** The first amount minus the second; components may be negative. */
export function subtractResources (a: Resources, b: Resources): Resources {
  return {
    processors: a.processors - b.processors,
    memoryMb: a.memoryMb - b.memoryMb,
    accelerators: a.accelerators - b.accelerators
  }
}

/** Whether an amount fits into the available room in every resource. */
export function hasRoomFor (room: Resources, amount: Resources): boolean {
  return amount.processors <= room.processors + processorToleranceCores &&
    amount.memoryMb <= room.memoryMb &&
    amount.accelerators <= room.accelerators
}
