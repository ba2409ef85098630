type Mutable<Value> = { -readonly [Key in keyof Value]: Value[Key] }

/** Work of refused jobs that are expected to return at about the same time. */
export interface ExpectedWork {
  /** Earliest wall-clock time of their return, in milliseconds. */
  readonly returnsAt: number
  readonly tasks: number
  readonly reservingMs: number
  readonly fillingMs: number
}

/** A job that was refused and whose caller was told when to retry. */
export interface RefusedJob {
  readonly jobId: string
  readonly pool: string
  readonly priority: number
  readonly tasks: number
  readonly reservingMs: number
  readonly fillingMs: number
  /** Wall-clock time of its first refusal, in milliseconds. */
  readonly firstRefusedAt: number
  /** Wall-clock time (milliseconds) at which its caller was told to return. */
  readonly returnsAt: number
  /** Wall-clock time (milliseconds) of the latest return with which the job can be in time. */
  readonly gainsUntil: number
}

interface Entry {
  job: RefusedJob
  /** Sequence number of the first refusal. */
  readonly number: number
  refusals: number
}

/** Refused jobs that are remembered, at 346 bytes each; three seconds of a demand of 340 jobs per second. */
const maximumRefusedJobs = 1024
/** Callers give up after this many refusals, as their platform specifies. */
const attempts = 4
/** Time after the announced one at which a caller may still return, in milliseconds: it covers a connection and a second attempt at another address. */
const returnGraceMs = 1000
/** Width of the slots into which returns are grouped, in milliseconds; a fraction of the shortest retry delay. */
const returnSlotMs = 250

/**
 * Remembers refused jobs in the order of their first refusal, so that newer jobs do not take the capacity that they were told
 * to wait for. Without it, in a burst, jobs that happen to arrive when capacity becomes free would always overtake refused
 * ones. The state is kept in memory only; a new leader starts with none.
 */
export class RefusedJobs {
  private readonly jobs = new Map<string, Entry>()
  private nextNumber = 0

  get size (): number { return this.jobs.size }

  clear (): void { this.jobs.clear() }

  find (jobId: string): RefusedJob | undefined { return this.jobs.get(jobId)?.job }

  /** Records a refusal and returns the number of refusals of the job. Once the table is full, new jobs are not added, as they come last. */
  note (job: RefusedJob, now: number): number {
    const known = this.jobs.get(job.jobId)
    if (known !== undefined) {
      known.job = job
      known.refusals += 1
      return known.refusals
    }
    if (this.jobs.size >= maximumRefusedJobs) this.removeUnexpected(now)
    if (this.jobs.size < maximumRefusedJobs) this.jobs.set(job.jobId, { job, number: this.nextNumber++, refusals: 1 })
    return 1
  }

  /** Removes a job that was accepted. Returns true if it was known. */
  forget (jobId: string): boolean { return this.jobs.delete(jobId) }

  /**
   * The work of the jobs of a pool that were first refused before this job, are not less urgent, and are expected to return
   * while they can be in time: a job that would be late anyway must not displace one that can be in time. Ordered by the time
   * of return.
   */
  expectedBefore (jobId: string, pool: string, priority: number, now: number): readonly ExpectedWork[] {
    const found: Array<Mutable<ExpectedWork> | undefined> = []
    const own = this.jobs.get(jobId)?.number ?? Number.POSITIVE_INFINITY
    for (const entry of this.jobs.values()) {
      const { job, number } = entry
      // Entries are iterated in ascending order of their numbers.
      if (number >= own) break
      if (job.pool !== pool || job.priority > priority || !isExpected(entry, now)) continue
      const slot = Math.max(0, Math.floor((job.returnsAt - now) / returnSlotMs))
      const work = found[slot] ??= { returnsAt: now + slot * returnSlotMs, tasks: 0, reservingMs: 0, fillingMs: 0 }
      work.tasks += job.tasks
      work.reservingMs += job.reservingMs
      work.fillingMs += job.fillingMs
    }
    return found.filter(work => work !== undefined)
  }

  private removeUnexpected (now: number): void {
    for (const entry of this.jobs.values()) if (!isExpected(entry, now)) this.jobs.delete(entry.job.jobId)
  }
}

function isExpected ({ refusals, job: { returnsAt, gainsUntil } }: Entry, now: number): boolean {
  return refusals < attempts && returnsAt <= gainsUntil && now < returnsAt + returnGraceMs
}
