import type { AbsenceReason, RunOrder } from '../../core/jobs'

/** The state of an agent's orders for a run; whether the run may be at the worker is told by `mayRun`. */
export type RunPhase =
  /** No order is in flight; `mayRun` tells whether an earlier one may have started the run at the worker. */
  | 'pending'
  /** An order is in flight. */
  | 'ordering'
  /** The worker confirmed the run. */
  | 'started'
  /** The worker confirmed that the run is stopped or can no longer start; a later look shows whether it was there. */
  | 'stopped'
  /** The worker listed the end of the run. */
  | 'ended'
  /** The run was given back and the leader has not confirmed this yet; it must not be started again. */
  | 'absent'

/** An order together with what the agent knows of its run at the worker. */
export interface TrackedRun {
  order: RunOrder
  phase: RunPhase
  /** What the worker last confirmed of the run; only for logs. */
  confirmed: 'nothing' | 'started' | 'stopped'
  /**
   * Whether the run is or may yet arrive at the worker: a start was confirmed, was not answered, or may have been sent by
   * a previous process of this agent. Such a run is over only once its end is listed, or its stop is confirmed and a later
   * look shows neither the run nor its end. Unanswered orders don't change this.
   */
  mayRun: boolean
  /** The former boot under the same worker id at which the run was ordered, whose start may have reached this boot; empty if ordered at this one. */
  readonly inheritedFrom: string
  /** The reason given to the leader when the run is given back. */
  absence: AbsenceReason
  /** The number of the newest look when the phase was entered; only a later look can prove that the run is absent. */
  phaseLook: number
  /** Estimate of when the run began, in milliseconds of the steady clock: when its start was confirmed, or else first sent; undefined if this process has not sent it. */
  beganAt: number | undefined
  /** Earliest time of the next order, in milliseconds of the steady clock. */
  nextOrderAt: number
  /** The pace last ordered, in percent of full speed; negative if it is unknown. */
  pace: number
}

/** Whether the run may be at the worker now, or may still be started there by an order that was already sent. */
export function mayBeAtWorker ({ phase, mayRun }: TrackedRun): boolean {
  if (phase === 'ended' || phase === 'absent') return false
  return mayRun || phase === 'ordering'
}

/** Creates the record of a newly received order; nothing was sent for it yet. */
export function createTrackedRun (order: RunOrder, inheritedFrom = ''): TrackedRun {
  return { order, inheritedFrom, phase: 'pending', confirmed: 'nothing', mayRun: false, absence: 'stopped', phaseLook: 0, beganAt: undefined, nextOrderAt: 0, pace: 100 }
}
