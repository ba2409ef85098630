import type { Suspicion } from './suspicion'

/** Consecutive crashes under a task after which the platform limits its further starts. */
export const limitingCrashes = 3
/** The starts that the platform allows after these crashes. */
const maximumFurtherStarts = 2

/** The suspicion after another start of the task. */
export function addStart (suspicion: Suspicion): Suspicion {
  if (suspicion.crashes.length < limitingCrashes) return suspicion
  return { ...suspicion, furtherStarts: (suspicion.furtherStarts ?? 0) + 1 }
}

/** The suspicion after a start that has certainly not reached its worker. */
export function withdrawStart (suspicion: Suspicion): Suspicion {
  const { furtherStarts = 0 } = suspicion
  return furtherStarts === 0 ? suspicion : { ...suspicion, furtherStarts: furtherStarts - 1 }
}

/** Whether the starts of a task are limited. */
export function isLimited ({ crashes }: Suspicion): boolean { return crashes.length >= limitingCrashes }

/** Whether another start of the task would exceed the limit of the platform. */
export function hasNoStartLeft ({ furtherStarts = 0 }: Suspicion): boolean { return furtherStarts >= maximumFurtherStarts }
