import type { RunEnd, Submission } from './job'
import type { Manifest, Queue } from './manifest'
import type { ImagePressure } from '../filling'

/** Puts a manifest in force unless a higher version is. */
export interface PutManifest {
  readonly type: 'putManifest'
  readonly manifest: Manifest
}

/** Takes a job; one whose id is known changes nothing. */
export interface AcceptJob {
  readonly type: 'acceptJob'
  readonly submission: Submission
  readonly queue: Queue
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
}

/** Cancels a job; what runs is to be stopped. */
export interface CancelJob {
  readonly type: 'cancelJob'
  readonly jobId: string
  readonly at: number
}

/** Reserves the next run of a task on a boot of a worker, before its start is ordered. */
export interface AssignRun {
  readonly type: 'assignRun'
  readonly task: string
  readonly run: number
  readonly worker: string
}

/** Records an end which a worker listed. */
export interface EndRun {
  readonly type: 'endRun'
  readonly task: string
  readonly run: number
  readonly worker: string
  readonly end: RunEnd
  readonly checkpoint: string
  readonly at: number
}

/** Records that a run is certainly not running and never will be, though its end was not listed. */
export interface ReleaseRun {
  readonly type: 'releaseRun'
  readonly task: string
  readonly run: number
  readonly worker: string
  /** The newest checkpoint which is known; empty for none. */
  readonly checkpoint: string
}

/** Records what was learned of pairs of images, so that the next leader need not learn it again. */
export interface LearnPressures {
  readonly type: 'learnPressures'
  readonly pressures: readonly ImagePressure[]
}

/** Has nothing more started in an availability zone; one that is evacuated already stays as it is. */
export interface StartEvacuation {
  readonly type: 'startEvacuation'
  readonly zone: string
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
}

/** Lets tasks start in an availability zone again. */
export interface EndEvacuation {
  readonly type: 'endEvacuation'
  readonly zone: string
  /** Wall-clock time of the leader, in milliseconds. */
  readonly at: number
}

/** A change of the job book. */
export type JobOperation = PutManifest | AcceptJob | CancelJob | AssignRun | EndRun | ReleaseRun | LearnPressures | StartEvacuation | EndEvacuation
