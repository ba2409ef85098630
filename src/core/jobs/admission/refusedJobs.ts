type Mutable<Value> = { -readonly [Key in keyof Value]: Value[Key] }

/** Work of refused jobs that return at about the same time. */
export interface ReturningWork {
  /** When they return at the earliest, in milliseconds of the wall clock. */
  readonly returnsAt: number
  readonly tasks: number
  readonly reservingMs: number
  readonly fillingMs: number
}

/** A job that was refused and is expected to return. */
export interface RefusedJob {
  readonly jobId: string
  readonly pool: string
  readonly priority: number
  readonly tasks: number
  readonly reservingMs: number
  readonly fillingMs: number
  /** When it was refused first, in milliseconds of the wall clock. */
  readonly firstRefusedAt: number
  /** When its caller was told to return. */
  readonly returnsAt: number
  /** The latest return at which it can still be in time. */
  readonly gainsUntil: number
}

interface Entry {
  job: RefusedJob
  /** Numbers first refusals. */
  readonly number: number
  refusals: number
}

/** Refused jobs that are remembered, at 346 bytes each; three seconds of a demand of 340 jobs a second. */
const maximumRefused = 1024
/** Callers leave after this many refusals, as their platform states. */
const attempts = 4
/** How long after the time it was told a caller may return, in milliseconds: a connection, and a second try at another address. */
const graceMs = 1000
/** Returns are told apart by this time, in milliseconds; a fraction of the shortest pause. */
const slotMs = 250

/**
 * Refused jobs in the order of their first refusal, so that newer ones do not take what they were told to wait for. Soft
 * state: the next leader begins with none. Addresses bursts, in which jobs that arrive at the right moment would always
 * overtake those that were sent away.
 */
export class RefusedJobs {
  private readonly jobs = new Map<string, Entry>()
  private nextNumber = 0

  get size (): number { return this.jobs.size }

  clear (): void { this.jobs.clear() }

  find (jobId: string): RefusedJob | undefined { return this.jobs.get(jobId)?.job }

  /** Keeps a refusal and returns how many there were of this job; once the table is full, newer ones are not kept, as they come last. */
  note (job: RefusedJob, now: number): number {
    const known = this.jobs.get(job.jobId)
    if (known !== undefined) {
      known.job = job
      known.refusals += 1
      return known.refusals
    }
    if (this.jobs.size >= maximumRefused) this.forgetLeft(now)
    if (this.jobs.size < maximumRefused) this.jobs.set(job.jobId, { job, number: this.nextNumber++, refusals: 1 })
    return 1
  }

  /** Forgets a job that was accepted. True if it was known. */
  forget (jobId: string): boolean { return this.jobs.delete(jobId) }

  /**
   * The jobs that were refused before this one and go before it by priority, are expected to return and gain by it: one that
   * can only be late any more must not displace one that can be in time.
   */
  expectedBefore (jobId: string, pool: string, priority: number, now: number): readonly ReturningWork[] {
    const found: Array<Mutable<ReturningWork> | undefined> = []
    const own = this.jobs.get(jobId)?.number ?? Number.POSITIVE_INFINITY
    for (const entry of this.jobs.values()) {
      const { job, number } = entry
      // Jobs are kept in the order of their numbers.
      if (number >= own) break
      if (job.pool !== pool || job.priority > priority || !isExpected(entry, now)) continue
      const slot = Math.max(0, Math.floor((job.returnsAt - now) / slotMs))
      const work = found[slot] ??= { returnsAt: now + slot * slotMs, tasks: 0, reservingMs: 0, fillingMs: 0 }
      work.tasks += job.tasks
      work.reservingMs += job.reservingMs
      work.fillingMs += job.fillingMs
    }
    return found.filter(work => work !== undefined)
  }

  private forgetLeft (now: number): void {
    for (const entry of this.jobs.values()) if (!isExpected(entry, now)) this.jobs.delete(entry.job.jobId)
  }
}

function isExpected ({ refusals, job: { returnsAt, gainsUntil } }: Entry, now: number): boolean {
  return refusals < attempts && returnsAt <= gainsUntil && now < returnsAt + graceMs
}
