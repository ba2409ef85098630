import type { Candidate } from './candidate'

/** Workers that report within this time after the end of their zone's evacuation take part in its ramp, in milliseconds. VMs of a recovered zone register within seconds; later workers return one by one. */
const rampJoinWindowMs = 10_000

/** State of a worker that is slow after its start. */
export interface WarmingWorker {
  /** How much longer it is slow, in milliseconds. */
  readonly coldMs: number
  /** The cold time that was left when its ramp began, in milliseconds; undefined without a ramp. */
  readonly rampMs: number | undefined
  /** The share of its processors that its runs use. */
  readonly usedShare: number
}

/** The most runs that may be assigned to a worker in one plan while it is slow after its start. */
export function runsWhileWarming ({ coldMs, rampMs, usedShare }: WarmingWorker): number {
  if (coldMs <= 0) return Number.POSITIVE_INFINITY
  if (rampMs === undefined) return 1
  return usedShare <= 1 - coldMs / rampMs ? 1 : 0
}

/**
 * Limits the runs of workers while they are slow after their start. Load pattern: the workers of an evacuated zone return
 * cold and empty while all others are full and hundreds of tasks wait. With dozens of plans per second, the zone would be
 * assigned all of them within its cold time, and each would be late. The load of its workers therefore grows with the share
 * of their cold time that has passed, and the remaining tasks wait for warm workers.
 */
export class WarmUp {
  /** When evacuations of zones ended, in milliseconds of the steady clock. */
  private readonly returnedAt = new Map<string, number>()
  /** Cold time of workers that was left when their ramps began, in milliseconds. */
  private readonly ramps = new Map<string, number>()

  /** Drops all ramps at the beginning of a leadership. */
  clear (): void {
    this.returnedAt.clear()
    this.ramps.clear()
  }

  /** Ramps up the cold workers of a zone whose evacuation has ended. */
  rampUpZone (zone: string, now: number): void { this.returnedAt.set(zone, now) }

  /** Drops workers that have left the fleet. */
  retain (isKnown: (worker: string) => boolean): void {
    for (const worker of this.ramps.keys()) if (!isKnown(worker)) this.ramps.delete(worker)
  }

  /** The most runs that may be assigned to a worker in this plan; `reportedAt` is the time of its newest report. */
  mayTake ({ known: { report }, freeResources, filledProcessors }: Candidate, reportedAt: number, now: number): number {
    const coldMs = (report.coldMs ?? 0) - (now - reportedAt)
    const { processors } = report.capacity
    const used = processors - freeResources.processors + filledProcessors
    return runsWhileWarming({ coldMs, rampMs: this.rampOf(report, coldMs, now), usedShare: processors > 0 ? used / processors : 0 })
  }

  private rampOf ({ worker, zone }: Candidate['known']['report'], coldMs: number, now: number): number | undefined {
    if (coldMs <= 0) this.ramps.delete(worker)
    else if (!this.ramps.has(worker) && now - (this.returnedAt.get(zone) ?? Number.NEGATIVE_INFINITY) <= rampJoinWindowMs) this.ramps.set(worker, coldMs)
    return this.ramps.get(worker)
  }
}
