/** Why the scheduler stops a run. */
export type StopReason = 'stalled' | 'straggler' | 'draining' | 'preempted'

/** A run that its worker has to stop. */
export interface RunStop {
  readonly worker: string
  readonly task: string
  readonly run: number
  readonly reason: StopReason
}
