/** One run of a task, as the leaders' logs tell it. Times are in milliseconds since 1970. */
export interface RunRecord {
  readonly run: number
  readonly agent: string
  readonly assignedAt: number
  /** Why the run was over without being done; undefined while none is known. */
  readonly loss?: RunLoss | undefined
}

/** Why a run was over without being done, and when. */
export interface RunLoss {
  readonly at: number
  readonly cause: 'failed' | 'stopped' | 'lost'
}

/** One step of one occurrence of a job. */
export interface StepRecord {
  /** Number of the step in its job, from 0. */
  readonly number: number
  readonly image: string
  readonly endedAt?: number | undefined
  /** Index of the task that was done last. */
  readonly lastTask?: string | undefined
  /** The runs of each task by its index, in their order. */
  readonly runs: ReadonlyMap<string, readonly RunRecord[]>
}

/** The life of one job. */
export interface JobRecord {
  readonly jobId: string
  readonly queue: string
  /** When a caller first submitted it, as far as the logs tell. */
  readonly submittedAt: number
  readonly acceptedAt: number
  /** Declared work in processor-milliseconds. */
  readonly workMs: number
  /** Time within which it earns its full worth by declared durations, in milliseconds; undefined for jobs without one. */
  readonly objectiveMs?: number | undefined
  /** The objective is this many times the longest chain of its steps, and `latencyMs` more; undefined in logs of earlier versions. */
  readonly slackFactor?: number | undefined
  readonly latencyMs?: number | undefined
  readonly isLongRunning: boolean
  readonly end?: { readonly at: number, readonly state: string } | undefined
  readonly steps: readonly StepRecord[]
}

/** A period of time, in milliseconds since 1970. */
export interface Period {
  readonly from: number
  readonly until: number
}

/** How many of the tasks of a queue's long-running jobs served at one time. */
export interface ServingSample {
  readonly at: number
  readonly queue: string
  readonly tasks: number
  readonly atWork: number
  readonly aboveTarget: number
}

/** The tasks that waited for a worker at one time. */
export interface BacklogSample {
  readonly at: number
  readonly waitingTasks: number
}

/** Everything that a report is made from. */
export interface History {
  readonly jobs: readonly JobRecord[]
  /** Periods in which the filling tasks of an image were halted, by agent and image. */
  readonly halts: ReadonlyMap<string, readonly Period[]>
  /** Periods in which entry processes searched for a leader before the next one began. */
  readonly leaderless: readonly Period[]
  readonly serving: readonly ServingSample[]
  readonly backlog: readonly BacklogSample[]
  readonly from: number
  readonly until: number
}

/** The key of the halts of an image at an agent. */
export function haltKey (agent: string, image: string): string { return `${agent} ${image}` }
