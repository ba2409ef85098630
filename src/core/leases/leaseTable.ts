/** Options of a lease table. */
export interface LeaseTableOptions {
  /** The length of a lease, in milliseconds of the worker's clock. */
  readonly durationMs: number
  /** How much slower than ours a worker's clock may run, as a share of time. */
  readonly maximumDrift: number
  /** How long a former leader may go on granting leases after this one was elected, in milliseconds. */
  readonly formerLeaderMs: number
  /** Silence after which a worker gets no more tasks, in milliseconds; half of a lease if absent. */
  readonly heardWithinMs?: number | undefined
}

interface HeldLease {
  /** The worker's clock in its newest report. */
  clockMs: number
  /** When that report arrived here. */
  reportedAt: number
  /** Our time after which the granted lease has certainly ended. */
  endedBy: number
}

/**
 * The leader's view of the leases of workers. A lease ends at a time in the worker's own clock,
 * counted from a clock value which the worker reported, so a late renewal cannot lengthen it.
 */
export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>()
  private ledSince = Number.POSITIVE_INFINITY

  constructor (private readonly options: LeaseTableOptions) {}

  /** Starts a leadership: leases which former leaders granted are unknown until they have run out. */
  begin (now: number): void {
    this.leases.clear()
    this.ledSince = now
  }

  /** Takes a report of a worker; it may also hold a lease which this table did not grant, up to a time of its own clock. */
  reported (worker: string, clockMs: number, now: number, heldUntilMs = clockMs): void {
    const known = this.leases.get(worker)
    const heldMs = Math.max(0, heldUntilMs - clockMs) / (1 - this.options.maximumDrift)
    const endedBy = Math.max(known?.endedBy ?? this.unknownLeasesEndBy, heldMs > 0 ? now + heldMs : Number.NEGATIVE_INFINITY)
    this.leases.set(worker, { clockMs, reportedAt: now, endedBy })
  }

  /** The end of the next lease in the worker's own clock; undefined before its first report. */
  grant (worker: string): number | undefined {
    const lease = this.leases.get(worker)
    if (lease === undefined) return undefined
    lease.endedBy = Math.max(lease.endedBy, lease.reportedAt + this.longestMs)
    return lease.clockMs + this.options.durationMs
  }

  /** How long ago a worker was heard, in milliseconds; undefined if it never was. */
  ageMs (worker: string, now: number): number | undefined {
    const lease = this.leases.get(worker)
    return lease === undefined ? undefined : now - lease.reportedAt
  }

  /** Whether a worker has answered recently enough to be given tasks. */
  isHeard (worker: string, now: number): boolean {
    const lease = this.leases.get(worker)
    return lease !== undefined && now - lease.reportedAt < (this.options.heardWithinMs ?? this.options.durationMs / 2)
  }

  /** Whether every lease which this worker may hold has ended. */
  isExpired (worker: string, now: number): boolean {
    const endedBy = this.leases.get(worker)?.endedBy ?? this.unknownLeasesEndBy
    return now > endedBy
  }

  /** How long a lease may last by our clock, at a worker whose clock is as slow as it may be. */
  private get longestMs (): number {
    return this.options.durationMs / (1 - this.options.maximumDrift)
  }

  /** A former leader may have renewed on a report which came until it noticed that it was deposed. */
  private get unknownLeasesEndBy (): number {
    return this.ledSince + this.options.formerLeaderMs + this.longestMs
  }
}
