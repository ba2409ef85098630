/** What happened to competing work since the last observation. */
export interface ServiceSample {
  /** Processors that its running tasks declare. */
  readonly running: number
  /** Expected work that was completed, in processor-milliseconds; less than 0 if more was lost. */
  readonly completed: number
}

/** Time constant with which former observations are forgotten, in milliseconds; a few tasks long. */
const decayMs = 10_000
/** The work that a declared processor of a running task is assumed to do, until more is known. */
const priorShare = 0.8
/** How long running tasks are observed until observations weigh as much as that assumption, in milliseconds. */
const priorMs = 2000
/** Share of the rate that is planned for; the rest is a margin for durations that are longer than expected. */
const plannedShare = 0.7
const minimumShare = 0.2
const maximumShare = 1.2

/**
 * Estimates how many processors serve competing work: the most that its running tasks have held lately, times the work that
 * was completed for each of them. How much a pool can give to filling tasks is known only from what they get, and tasks use
 * less than they declare, wait for others, or fail.
 */
export class ServiceRate {
  private peak = 0
  private runningMs = 0
  private completed = 0
  private observedAt: number | undefined

  /** Records a sample at a wall-clock time (milliseconds), and returns the rate in processors. */
  observe ({ running, completed }: ServiceSample, wallClock: number): number {
    const elapsedMs = Math.max(0, wallClock - (this.observedAt ?? wallClock))
    const retained = Math.exp(-elapsedMs / decayMs)
    this.observedAt = wallClock
    this.peak = Math.max(running, this.peak * retained)
    this.runningMs = this.runningMs * retained + running * Math.min(elapsedMs, decayMs)
    this.completed = this.completed * retained + completed
    const assumed = this.peak * priorMs
    const share = (this.completed + priorShare * assumed) / Math.max(1, this.runningMs + assumed)
    return this.peak * plannedShare * Math.min(maximumShare, Math.max(minimumShare, share))
  }
}
