/** Work that competes with other work for the same processors. */
export interface CompetingWork {
  /** Remaining work in processor-milliseconds. */
  readonly work: number
  /** The time by which it must be done, in milliseconds. */
  readonly dueAt: number
  /** Worth per processor-millisecond of remaining work. */
  readonly density: number
}

/**
 * Selects the work that can be done by its due times together, after the rule of Moore and Hodgson: in the order of due times,
 * as long as a due time would be missed, the work with the least worth per processor time is left out. `processors` work on it
 * from `startsAt`, in milliseconds.
 */
export function selectFeasible<Work extends CompetingWork> (candidates: readonly Work[], startsAt: number, processors: number): ReadonlySet<Work> {
  const selected: Work[] = []
  let sum = 0
  for (const candidate of [...candidates].sort((a, b) => a.dueAt - b.dueAt)) {
    selected.push(candidate)
    sum += candidate.work
    while (startsAt + sum / processors > candidate.dueAt && selected.length > 0) sum -= removeLeast(selected)
  }
  return new Set(selected)
}

/** Removes the work with the least worth per processor time, and returns how much that was. */
function removeLeast (selected: CompetingWork[]): number {
  const position = selected.reduce((least, { density }, other) => density < (selected[least]?.density ?? 0) ? other : least, 0)
  return selected.splice(position, 1)[0]?.work ?? 0
}
