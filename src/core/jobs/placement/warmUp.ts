import type { Candidate } from './candidate'

/** Workers which report later than this after the end of their zone's evacuation come back one by one, in milliseconds; VMs of a zone that is up again register within seconds. */
const returnMs = 10_000

/** How a worker stands that is slow after its start. */
export interface WarmingWorker {
  /** How much longer it is slow, in milliseconds. */
  readonly coldMs: number
  /** How much longer it was slow when its ramp began, in milliseconds; undefined if it takes part in none. */
  readonly rampMs: number | undefined
  /** The share of its processors which its runs have. */
  readonly usedShare: number
}

/** The most runs that a worker may be given in one plan while it is slow after its start. */
export function runsWhileWarming ({ coldMs, rampMs, usedShare }: WarmingWorker): number {
  if (coldMs <= 0) return Number.POSITIVE_INFINITY
  if (rampMs === undefined) return 1
  return usedShare <= 1 - coldMs / rampMs ? 1 : 0
}

/**
 * Bounds what workers take while they are slow after their start. Load pattern: the workers of an evacuated zone come back
 * cold and empty while all others are full and hundreds of tasks wait. With dozens of plans in a second the zone would take
 * all of them within its cold time, and each would be late. So what its workers run grows with the share of their cold time
 * that has passed, and the rest waits for workers that are warm.
 */
export class WarmUp {
  /** When evacuations of zones ended, in milliseconds of the steady clock. */
  private readonly returnedAt = new Map<string, number>()
  /** How much longer workers were slow when their ramps began, in milliseconds. */
  private readonly ramps = new Map<string, number>()

  /** Forgets all ramps, for a new leadership. */
  clear (): void {
    this.returnedAt.clear()
    this.ramps.clear()
  }

  /** Has the workers of a zone take runs in a ramp, as its evacuation has ended. */
  zoneReturned (zone: string, now: number): void { this.returnedAt.set(zone, now) }

  /** Forgets workers which are not in the fleet any more. */
  retain (isKnown: (worker: string) => boolean): void {
    for (const worker of this.ramps.keys()) if (!isKnown(worker)) this.ramps.delete(worker)
  }

  /** The most runs that a worker may be given in this plan, if it described itself at this time. */
  mayTake ({ known: { report }, room, filledProcessors }: Candidate, reportedAt: number, now: number): number {
    const coldMs = (report.coldMs ?? 0) - (now - reportedAt)
    const { processors } = report.capacity
    const used = processors - room.processors + filledProcessors
    return runsWhileWarming({ coldMs, rampMs: this.rampOf(report, coldMs, now), usedShare: processors > 0 ? used / processors : 0 })
  }

  private rampOf ({ worker, zone }: Candidate['known']['report'], coldMs: number, now: number): number | undefined {
    if (coldMs <= 0) this.ramps.delete(worker)
    else if (!this.ramps.has(worker) && now - (this.returnedAt.get(zone) ?? Number.NEGATIVE_INFINITY) <= returnMs) this.ramps.set(worker, coldMs)
    return this.ramps.get(worker)
  }
}
