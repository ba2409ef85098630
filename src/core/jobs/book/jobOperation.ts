import type { TaskCrash } from '../crashes'
import type { RunEnd, Submission } from './job'
import type { Manifest, Queue } from './manifest'
import type { ImagePressure } from './imagePressure'

/** Puts a manifest in force unless the same or a higher version is in force. */
export interface PutManifest {
  readonly type: 'putManifest'
  readonly manifest: Manifest
}

/** Accepts a job; changes nothing if its id is known. */
export interface AcceptJob {
  readonly type: 'acceptJob'
  readonly submission: Submission
  readonly queue: Queue
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
}

/** Ends a job before its tasks are done; its live runs have to be stopped. The cancel of an unknown job is remembered for a while. */
export interface CancelJob {
  readonly type: 'cancelJob'
  readonly jobId: string
  readonly at: number
  /** The task because of which the job has failed; absent if its caller cancelled it. Earlier versions ignore it and record a cancelled job. */
  readonly failedTask?: string | undefined
}

/** Assigns the next run of a task to a boot of a worker and reserves its resources, before the start is ordered. */
export interface AssignRun {
  readonly type: 'assignRun'
  readonly task: string
  readonly run: number
  readonly worker: string
}

/** Records that workers have listed runs of jobs for the first time. */
export interface BeginJobs {
  readonly type: 'beginJobs'
  readonly jobIds: readonly string[]
}

/** Records the end of a run, as listed by its worker. */
export interface EndRun {
  readonly type: 'endRun'
  readonly task: string
  readonly run: number
  readonly worker: string
  readonly end: RunEnd
  readonly checkpoint: string
  readonly at: number
}

/** Records that a run is certainly not running and never will be, although its end was not listed. */
export interface ReleaseRun {
  readonly type: 'releaseRun'
  readonly task: string
  readonly run: number
  readonly worker: string
  /** The newest known checkpoint; empty for none. */
  readonly checkpoint: string
  /** The crash of the worker, if the task may have caused it. */
  readonly crash?: TaskCrash | undefined
  /** Whether the start has certainly not reached the worker; absent if it may have, and in data of earlier versions. */
  readonly isUnstarted?: true | undefined
}

/** Records that a run has outlived the suspicion that its task crashes workers. */
export interface ClearSuspicion {
  readonly type: 'clearSuspicion'
  readonly task: string
  readonly run: number
}

/** Records learned pressures of image pairs, so that the next leader does not have to learn them again. */
export interface LearnPressures {
  readonly type: 'learnPressures'
  readonly pressures: readonly ImagePressure[]
}

/** Starts the evacuation of an availability zone, in which no more tasks start; changes nothing if it is evacuated already. */
export interface StartEvacuation {
  readonly type: 'startEvacuation'
  readonly zone: string
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
}

/** Ends the evacuation of an availability zone, so that tasks may start there again. */
export interface EndEvacuation {
  readonly type: 'endEvacuation'
  readonly zone: string
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
}

/** An operation that changes the job book; replicated through the log. */
export type JobOperation = PutManifest | AcceptJob | CancelJob | AssignRun | BeginJobs | EndRun | ReleaseRun | ClearSuspicion | LearnPressures | StartEvacuation | EndEvacuation
