/** Processors that a filling task uses, as a share of those that it declares; workers list shares of 0.66 to 1. */
export const usedShare = 0.8
/** Share of the processors reserved by serving tasks that is available to filling tasks; a serving task uses at most half of its own. */
export const idleServingShare = 0.5
