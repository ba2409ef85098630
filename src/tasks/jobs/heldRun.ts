import type { AbsenceReason, RunOrder } from '../../core/jobs'

/** What is being done about a run at its worker; what is certain of it stands in `mayRun`. */
export type HeldPhase =
  /** No order is on its way; `mayRun` tells whether one that was sent before may have brought the run to the worker. */
  | 'pending'
  /** An order is on its way. */
  | 'ordering'
  /** The worker confirmed the run. */
  | 'started'
  /** The worker confirmed that the run is stopped or can't start any more; a later look shows whether it was there. */
  | 'stopped'
  /** The worker listed its end. */
  | 'ended'
  /** It was given back, which the leader has not confirmed yet; it must not be started again. */
  | 'absent'

/** One order with what is known of it at the worker. */
export interface HeldRun {
  order: RunOrder
  phase: HeldPhase
  /** What the worker last confirmed of it, for logs. */
  confirmed: 'nothing' | 'started' | 'stopped'
  /**
   * Whether the worker may have the run or get it: a start was confirmed, has no answer, or may have been sent by an
   * earlier life of this agent. Such a run is over only once its end is listed, or its stop is confirmed and a later look
   * shows neither the run nor an end of it. Orders without an answer change nothing of this.
   */
  mayRun: boolean
  /** The former boot under the same id at which it was ordered, so that this one may have got the start; empty for none. */
  readonly inheritedFrom: string
  /** Why the leader is told that the run is not at its worker. */
  absence: AbsenceReason
  /** The number of the newest look when the phase was reached; only a later look can prove an absence. */
  phaseLook: number
  /** When the next order may be sent, in milliseconds of the steady clock. */
  nextOrderAt: number
  /** The percent which the worker was told to work at. */
  pace: number
}

/** Whether the run may be at the worker now or get there by what was sent so far. */
export function isPossible ({ phase, mayRun }: HeldRun): boolean {
  if (phase === 'ended' || phase === 'absent') return false
  return mayRun || phase === 'ordering'
}

/** Makes the record of an order which was just received. */
export function createHeldRun (order: RunOrder, inheritedFrom = ''): HeldRun {
  return { order, inheritedFrom, phase: 'pending', confirmed: 'nothing', mayRun: false, absence: 'stopped', phaseLook: 0, nextOrderAt: 0, pace: 100 }
}
