import type { LookOutcome, WorkerDriver } from '../../workers'
import type { SupervisorMessage } from './workerAgentMessage'

/** Dependencies of `VacancyWatch`. */
export interface VacancyWatchOptions {
  readonly driver: WorkerDriver
  /** Posts the outcomes of probes to the task that owns this object. */
  readonly post: (message: SupervisorMessage) => void
  /** Steady time in milliseconds. */
  readonly now: () => number
}

/** Consecutive probes or looks that find nothing listening, after which no worker runs. */
export const refusalsUntilEnded = 3
/** Least time between the starts of a look or probe that found nothing listening and of the next one, in milliseconds. */
export const refusedIntervalMs = 200
/** Interval in milliseconds at which probes go on after an answer or a report; several round trips to the leader. */
const calmIntervalMs = 1000

/**
 * Finds out whether a worker listens beside an agent that knows no boot, for example because the agent was restarted. Only refused
 * connections in a row count, as a call without an answer shows nothing.
 */
export class VacancyWatch {
  private refusals = 0
  private nextProbeAt = 0
  /** Identifies the probe under way; undefined if there is none. */
  private probe: number | undefined
  private lastProbe = 0

  constructor (private readonly options: VacancyWatchOptions) {}

  /** Discards what probes have shown, also one under way: a boot may be there, or there is another stream, on which older findings don't count. */
  reset (): void {
    this.refusals = 0
    this.nextProbeAt = 0
    this.probe = undefined
  }

  /** Sends a probe if one is due and none is under way. */
  sendDue (term: number): void {
    const now = this.options.now()
    if (this.probe !== undefined || now < this.nextProbeAt) return
    const number = ++this.lastProbe
    this.probe = number
    this.nextProbeAt = now + refusedIntervalMs
    this.options.driver.probe(term).then(outcome => this.options.post({ type: 'probed', number, outcome }))
  }

  /** Handles the outcome of a probe. Returns whether it is certain now that no worker runs, which must be reported; true again with each later refusal. */
  handleOutcome ({ number, outcome }: { readonly number: number, readonly outcome: LookOutcome }): boolean {
    if (number !== this.probe) return false
    this.probe = undefined
    const isRefused = outcome.type === 'notListening'
    this.refusals = isRefused ? this.refusals + 1 : 0
    const isVacant = this.refusals >= refusalsUntilEnded
    if (isVacant || !isRefused) this.nextProbeAt = this.options.now() + calmIntervalMs
    return isVacant
  }
}
