import type { Resources } from '../../catalogue'
import type { RunEnd } from '../book'

/** A run that was or may have been at a worker when it crashed. */
export interface CrashedRun {
  readonly task: string
  readonly run: number
  /** Time from the confirmation of the start, or from its sending if it was not confirmed, to the crash, in milliseconds; undefined if the start was sent by an earlier process of the agent. */
  readonly ageMs?: number | undefined
  /** Whether the worker had left the start unanswered for a while, so that the run may not have begun and its age is assumed; absent in data of earlier versions. */
  readonly isUnconfirmed?: boolean | undefined
}

/** What an agent knows of the crash of a boot. */
export interface WorkerCrash {
  /** Time since the worker stopped answering, in milliseconds. */
  readonly sinceMs: number
  readonly runs: readonly CrashedRun[]
}

/** A boot that has ended. */
export interface FormerBoot {
  readonly worker: string
  /** The crash that ended it; absent if it was not seen to crash, and in reports of agents of earlier versions. */
  readonly crash?: WorkerCrash | undefined
  /** Ends of runs that were ordered there and carried out by the boot that followed. */
  readonly ends: readonly EndedRun[]
}

/** Description of a worker by its agent. */
export interface WorkerReport {
  /** Name of the worker's boot; a restart under the same id is another boot. */
  readonly worker: string
  /** Start time of this boot by the worker's wall clock, in milliseconds since 1970; tells boots under one id apart. */
  readonly bornMs: number
  readonly pool: string
  readonly zone: string
  readonly rack: string
  /** Labels that steps can require. */
  readonly labels: readonly string[]
  readonly capacity: Resources
  readonly isDraining: boolean
  /** Whether the worker may still contradict that it drains: until then it gets no runs and keeps those that it has. Absent in reports of agents of earlier versions. */
  readonly isDrainUnconfirmed?: boolean | undefined
  /** Minimum time until a draining worker leaves, in milliseconds; undefined while it doesn't drain. */
  readonly remainingMs?: number | undefined
  /** Remaining time for which the worker is slow after its start, in milliseconds; absent if it is not slow. */
  readonly coldMs?: number | undefined
  /** The worker's steady clock at the time of the report, in milliseconds. */
  readonly clockMs: number
  /** Former boots of its VM that have ended, with the ends of their runs that this boot listed; they are processed before the rest of the report. */
  readonly formerBoots?: readonly FormerBoot[] | undefined
  /** End of a lease that it may hold from calls meant for a former boot, by its own clock; undefined for none. */
  readonly heldUntilMs?: number | undefined
}

/** A run that a worker lists as running. */
export interface RunningTask {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** Progress from 0 to 100; for a long-running task, 100 once it is at work. */
  readonly percent: number
  /** Tail latency in milliseconds of a serving task, meaningless for others; absent in lists of agents of earlier versions. */
  readonly tailLatencyMs?: number | undefined
  /** Processors used by a task that doesn't serve, meaningless for serving tasks; absent in lists of agents of earlier versions. */
  readonly usedProcessors?: number | undefined
  /** Time since the start of the run was confirmed, or sent if it was not confirmed, in milliseconds; absent if the agent didn't send it, and in lists of agents of earlier versions. */
  readonly ageMs?: number | undefined
}

/** The end of a run, which its worker lists until it is acknowledged. */
export interface EndedRun {
  /** Sequence number among the ends of one boot, from 1. */
  readonly sequence: number
  readonly task: string
  readonly run: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** The runs and ends that a worker lists at one time. */
export interface WorkerLook {
  readonly worker: string
  readonly clockMs: number
  readonly running: readonly RunningTask[]
  readonly ends: readonly EndedRun[]
}

/** An order to start or to stop a run on a worker. */
export interface RunOrder {
  readonly task: string
  readonly run: number
  readonly spec: string
  readonly checkpoint: string
  readonly isFilling: boolean
  /** Processors that the task declares; absent in orders of leaders of earlier versions. */
  readonly processors?: number | undefined
  /** The tail latency that the task must stay below, in milliseconds; 0 for none. */
  readonly targetMs: number
  /** The image of the task; tasks of the same image behave alike. */
  readonly image: string
  /** Age at which the run clears its task of having crashed workers, in milliseconds; absent if the task is no suspect. */
  readonly clearedAfterMs?: number | undefined
  /** Whether the run is to be stopped instead of started. */
  readonly isUnwanted: boolean
}

/** Why a run is certainly not on its worker. */
export type AbsenceReason = 'refused' | 'noRoom' | 'unhealthy' | 'stopped' | 'vanished'
