import type { Resources } from '../../catalogue'
import type { Suspicion } from '../crashes'
import type { Queue } from './manifest'

/** Number of characters of a job's id. */
export const jobIdLength = 16
const jobIdPattern = new RegExp(`^[0-9a-f]{${jobIdLength}}$`)

/** Whether a text can be the id of a job. */
export function isJobId (text: string): boolean { return jobIdPattern.test(text) }

/** A step of a job: tasks of the same kind. */
export interface Step extends Resources {
  /** Number of its tasks. */
  readonly count: number
  /** The declared duration of a task in milliseconds; imprecise. */
  readonly estimateMs: number
  /** Numbers of the earlier steps whose tasks must all be done before this step starts. */
  readonly dependsOn: readonly number[]
  readonly isCheckpointed: boolean
  /** Whether its tasks only work if all of them run at the same time. */
  readonly isGang: boolean
  /** Whether its tasks are slower if they run on more than one rack. */
  readonly isTightlyCoupled: boolean
  /** The label that a worker must have; empty for none. */
  readonly requiredLabel: string
  /** The rack that holds its data; empty for none. */
  readonly dataRack: string
  /** Maximum number of its tasks on one worker; 0 for no limit. */
  readonly maximumPerWorker: number
  /** Whether copies of a task may run at the same time. */
  readonly isSpeculative: boolean
  /** Whether its tasks run until the job is cancelled. */
  readonly isLongRunning: boolean
  /** The image of its tasks; tasks of the same image behave alike. */
  readonly image: string
  /** The tail latency that its tasks must stay below, in milliseconds; 0 for none. */
  readonly targetMs: number
  /** Whether its tasks run on processors that other tasks leave unused; none are reserved for them. */
  readonly isFilling: boolean
  /** Maximum number of its tasks that the scheduler may stop at the same time; undefined for no limit. */
  readonly maximumUnavailable?: number | undefined
}

/** A step of one task without requirements or resources; the basis for other steps. */
export const plainStep: Step = {
  count: 1,
  processors: 0,
  memoryMb: 0,
  accelerators: 0,
  estimateMs: 0,
  dependsOn: [],
  isCheckpointed: false,
  isGang: false,
  isTightlyCoupled: false,
  requiredLabel: '',
  dataRack: '',
  maximumPerWorker: 0,
  isSpeculative: false,
  isLongRunning: false,
  image: '',
  targetMs: 0,
  isFilling: false
}

/** Schedule of a job that runs more than once. */
export interface Schedule {
  readonly count: number
  /** When the first occurrence is due, in milliseconds since 1970. */
  readonly startAtMs: number
  readonly intervalMs: number
}

/** A job as submitted by a caller. */
export interface Submission {
  readonly jobId: string
  readonly spec: string
  readonly steps: readonly Step[]
  readonly schedule?: Schedule | undefined
  /** The zone of the entry process that took it; absent in data of earlier versions. */
  readonly originZone?: string | undefined
}

/** Lifecycle state of a job. */
export type JobState = 'queued' | 'active' | 'complete' | 'failed' | 'cancelled'

/** How a run ended, as reported by its worker. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** One task of a job with the state of its runs. */
export interface JobTask {
  readonly jobId: string
  /** Number of the occurrence of the job, from 0. */
  readonly occurrence: number
  readonly step: number
  readonly index: number
  readonly state: 'waiting' | 'live' | 'done'
  /** Number of the newest run; 0 before the first. */
  readonly run: number
  /** Number of runs that ended as failed. */
  readonly failures: number
  /** The boot of the worker that has the newest run while the task is live; empty otherwise. */
  readonly worker: string
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string
  /** What crashes of its workers tell about it; absent if it had no share in any or a run has outlived them, and in data of earlier versions. */
  readonly suspicion?: Suspicion | undefined
}

/** An accepted job. */
export interface Job {
  readonly jobId: string
  /** The queue as it was when the job was accepted. */
  readonly queue: Queue
  readonly spec: string
  readonly steps: readonly Step[]
  readonly schedule?: Schedule | undefined
  /** The zone of the entry process that took it; absent in data of earlier versions. */
  readonly originZone?: string | undefined
  /** Wall-clock time of the leader that accepted it, in milliseconds. */
  readonly acceptedAt: number
  /** `active` once a run is assigned; see `shownStateOf` for what callers are told. */
  readonly state: JobState
  /** Whether a worker has listed a run of it; absent if not, and in data of earlier versions. */
  readonly hasBegun?: true | undefined
  /** Wall-clock time of its end, in milliseconds; undefined before. */
  readonly endedAt?: number | undefined
  /** All tasks, ordered by occurrence, step and index. */
  readonly tasks: readonly JobTask[]
}

/** The name of a task in orders and logs. */
export function nameTask (task: Pick<JobTask, 'jobId' | 'occurrence' | 'step' | 'index'>): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`
}

/** The state of a job as callers see it: it is queued until a worker has confirmed one of its runs. */
export function shownStateOf ({ state, hasBegun }: Pick<Job, 'state' | 'hasBegun'>): JobState {
  return state === 'active' && hasBegun !== true ? 'queued' : state
}

/** The number of occurrences of a job; 1 without a schedule. */
export function countOccurrences (job: Pick<Submission, 'schedule'>): number {
  return job.schedule?.count ?? 1
}

/** Limit of a job's tasks over all its occurrences. The leader creates a record of each task on acceptance, and plans with 2,000 waiting tasks in its usual time. */
export const maximumTasks = 10_000
/** Limit of a job's steps; each plan compares the steps pairwise. */
export const maximumSteps = 200

/** The number of tasks of a job over all its occurrences. */
export function countTasks (job: Pick<Submission, 'steps' | 'schedule'>): number {
  return job.steps.reduce((sum, step) => sum + step.count, 0) * countOccurrences(job)
}

/** Resources reserved on a worker for a task of a step; filling tasks reserve no processors. */
export function reservationOf (step: Step): Resources {
  return { processors: step.isFilling ? 0 : step.processors, memoryMb: step.memoryMb, accelerators: step.accelerators }
}

/** Length of the critical path of the steps in milliseconds, by declared durations or those that `durationOf` gives. */
export function criticalPathMs (steps: readonly Step[], durationOf: (step: Step) => number = step => step.estimateMs): number {
  const ends: number[] = []
  for (const step of steps) {
    const startMs = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0))
    ends.push(startMs + durationOf(step))
  }
  return Math.max(0, ...ends)
}
