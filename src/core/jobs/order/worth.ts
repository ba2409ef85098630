/** The worth of a job as the users value it: a fixed part, and a part proportional to its work relative to the mean of its queue. */
const fixedWorth = 0.3
const proportionalWorth = 0.7
/** Upper bound of the worth of a large job, as a multiple of the worth of a job of mean size. */
const maximumWorth = 4

/** The share of its worth that a job earns after its objective and before it is worthless, according to the users' valuation. */
export const lateWorthShare = 0.15

/** The shares of a long-running job that a task above its latency target costs while filling tasks disturb it, according to the users' valuation. */
export const disturbedShareFactor = 4

/** The worth of a job in jobs of mean size of its queue, from its work and the mean work (in the same unit); 1 if the mean isn't known. */
export function worthOfJob (work: number, meanWork: number): number {
  return Math.min(maximumWorth, fixedWorth + proportionalWorth * (meanWork > 0 ? work / meanWork : 1))
}
