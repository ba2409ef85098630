/** Durations and clock bounds of a lease table. */
export interface LeaseTableOptions {
  /** The length of a lease, in milliseconds of the worker's clock. */
  readonly durationMs: number
  /** How much slower than the leader's clock a worker's clock may run, as a fraction between 0 and 1. */
  readonly maximumDrift: number
  /** How long a former leader may continue to grant leases after this one was elected, in milliseconds. */
  readonly formerLeaderMs: number
  /** Time since the last report after which a worker is given no more tasks, in milliseconds; half of a lease if absent. */
  readonly heardWithinMs?: number | undefined
  /**
   * How long after its last report a silent worker may have been suspended, in milliseconds: its clock stands still then and its lease
   * does not end. It includes the time in which its runs are stopped after it. No suspension if absent.
   */
  readonly suspensionMs?: number | undefined
}

interface HeldLease {
  /** The worker's clock in its newest report, in milliseconds. */
  clockMs: number
  /** When that report arrived, by the leader's clock. */
  reportedAt: number
  /** The time by the leader's clock after which every lease of the worker has certainly ended. */
  latestEndAt: number
  /** Whether it was seen to run since its newest report, so that its clock did not stand still. */
  isAwake: boolean
}

/**
 * The leader's view of the leases of workers. A lease ends at a time in the worker's own clock,
 * counted from a clock value that the worker reported, so a delayed renewal cannot extend it.
 */
export class LeaseTable {
  private readonly leases = new Map<string, HeldLease>()
  private leaderSince = Number.POSITIVE_INFINITY

  constructor (private readonly options: LeaseTableOptions) {}

  /** Starts a leadership. Leases granted by former leaders are unknown, so they are assumed to be held until they must have expired. */
  begin (now: number): void {
    this.leases.clear()
    this.leaderSince = now
  }

  /** Records a report of a worker. The worker may also hold a lease that this table did not grant, until `heldUntilMs` of its own clock. */
  recordReport (worker: string, clockMs: number, now: number, heldUntilMs = clockMs): void {
    const known = this.leases.get(worker)
    const heldMs = Math.max(0, heldUntilMs - clockMs) / (1 - this.options.maximumDrift)
    const latestEndAt = Math.max(known?.latestEndAt ?? this.unknownLeasesEndAt, heldMs > 0 ? now + heldMs : Number.NEGATIVE_INFINITY)
    this.leases.set(worker, { clockMs, reportedAt: now, latestEndAt, isAwake: false })
  }

  /** Records that the VM of a worker runs although its agent is gone: it has closed or reset the agent's connection. */
  markAwake (worker: string): void {
    const lease = this.leases.get(worker)
    if (lease !== undefined) lease.isAwake = true
  }

  /** The end of the next lease in the worker's own clock; undefined before its first report. */
  grant (worker: string): number | undefined {
    const lease = this.leases.get(worker)
    if (lease === undefined) return undefined
    lease.latestEndAt = Math.max(lease.latestEndAt, lease.reportedAt + this.longestLeaseMs)
    return lease.clockMs + this.options.durationMs
  }

  /** Time since the last report of a worker, in milliseconds; undefined if it has not reported to this leader. */
  ageMs (worker: string, now: number): number | undefined {
    const lease = this.leases.get(worker)
    return lease === undefined ? undefined : now - lease.reportedAt
  }

  /** Whether the last report of a worker is recent enough for it to be given tasks. */
  hasRecentReport (worker: string, now: number): boolean {
    const lease = this.leases.get(worker)
    return lease !== undefined && now - lease.reportedAt < (this.options.heardWithinMs ?? this.options.durationMs / 2)
  }

  /** Whether every lease that this worker may hold has ended. */
  isExpired (worker: string, now: number): boolean {
    const lease = this.leases.get(worker)
    if (lease === undefined) return now > Math.max(this.unknownLeasesEndAt, this.leaderSince + this.options.formerLeaderMs + this.suspensionMs)
    return now > (lease.isAwake ? lease.latestEndAt : Math.max(lease.latestEndAt, lease.reportedAt + this.suspensionMs))
  }

  private get suspensionMs (): number { return this.options.suspensionMs ?? 0 }

  /** The longest that a lease may last by the leader's clock: at a worker whose clock is as slow as the drift bound allows. */
  private get longestLeaseMs (): number {
    return this.options.durationMs / (1 - this.options.maximumDrift)
  }

  /** A former leader may have renewed a lease on any report that it received before it noticed that it had been deposed. */
  private get unknownLeasesEndAt (): number {
    return this.leaderSince + this.options.formerLeaderMs + this.longestLeaseMs
  }
}
