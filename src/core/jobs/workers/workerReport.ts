import type { Resources } from '../../catalogue'
import type { RunEnd } from '../book'

/** A boot which has ended. */
export interface FormerBoot {
  readonly worker: string
  /** Ends of runs which were ordered there and carried out by the boot that followed. */
  readonly ends: readonly EndedRun[]
}

/** A worker as the agent beside it describes it. */
export interface WorkerReport {
  /** Names one life of the worker; a restart under the same id is another boot. */
  readonly worker: string
  /** When this boot began, in milliseconds since 1970 of the worker's clock of the day; orders the boots of one VM. */
  readonly bornMs: number
  readonly pool: string
  readonly zone: string
  readonly rack: string
  /** Everything which a step can ask for by a label. */
  readonly labels: readonly string[]
  readonly capacity: Resources
  readonly isDraining: boolean
  /** How long a draining worker stays at least, in milliseconds; undefined while it doesn't drain. */
  readonly remainingMs?: number | undefined
  /** How much longer the worker is slow after its start, in milliseconds; absent means that it is not. */
  readonly coldMs?: number | undefined
  /** The worker's steady clock when it said this, in milliseconds. */
  readonly clockMs: number
  /** Former boots of its VM which have ended, with the ends of their runs which this boot listed; they come before the rest of the report. */
  readonly formerBoots?: readonly FormerBoot[] | undefined
  /** The end of a lease that it may hold from calls which were meant for a former boot, in its own clock; undefined for none. */
  readonly heldUntilMs?: number | undefined
}

/** A run which a worker lists as running. */
export interface RunningTask {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** How far it is, from 0 to 100; of a long-running task, 100 once it is at work. */
  readonly percent: number
  /** Tail latency in milliseconds if the task serves, without meaning otherwise; absent in lists of agents of earlier versions. */
  readonly tailLatencyMs?: number | undefined
  /** Processors in use if the task doesn't serve, without meaning otherwise; absent in lists of agents of earlier versions. */
  readonly usedProcessors?: number | undefined
}

/** An end which a worker lists until it is acknowledged. */
export interface EndedRun {
  /** Numbers the ends of one boot from 1. */
  readonly sequence: number
  readonly task: string
  readonly run: number
  readonly end: RunEnd
  readonly checkpoint: string
}

/** What a worker listed at one moment. */
export interface WorkerLook {
  readonly worker: string
  readonly clockMs: number
  readonly running: readonly RunningTask[]
  readonly ends: readonly EndedRun[]
}

/** An order to have a run at a worker. */
export interface RunOrder {
  readonly task: string
  readonly run: number
  readonly spec: string
  readonly checkpoint: string
  readonly isFilling: boolean
  /** The tail latency which the task must stay below, in milliseconds; 0 for none. */
  readonly targetMs: number
  /** Tasks of the same image behave alike. */
  readonly image: string
  /** Whether the run is to be stopped instead of started. */
  readonly isUnwanted: boolean
}

/** Why a run is certainly not at its worker. */
export type AbsenceReason = 'refused' | 'noRoom' | 'unhealthy' | 'stopped' | 'vanished'
