import type { Resources } from '../../catalogue'
import type { Queue } from './manifest'

/** A step of a job: tasks of the same kind. */
export interface Step extends Resources {
  /** How many tasks it has. */
  readonly count: number
  /** The declared duration of a task in milliseconds; a rough figure. */
  readonly estimateMs: number
  /** Numbers of earlier steps whose tasks must all be done first. */
  readonly dependsOn: readonly number[]
  readonly isCheckpointed: boolean
  /** Whether its tasks work only together. */
  readonly isGang: boolean
  /** Whether its tasks are slower on more than one rack. */
  readonly isTightlyCoupled: boolean
  /** The label which a worker must have; empty for none. */
  readonly requiredLabel: string
  /** The rack where its data is; empty for none. */
  readonly dataRack: string
  /** Tasks of it on one worker; 0 for no bound. */
  readonly maximumPerWorker: number
  /** Whether copies of a task may run at the same time. */
  readonly isSpeculative: boolean
  /** Whether its tasks run until the job is cancelled. */
  readonly isLongRunning: boolean
  /** Tasks of the same image behave alike. */
  readonly image: string
  /** The tail latency which its tasks must stay below, in milliseconds; 0 for none. */
  readonly targetMs: number
  /** Whether it runs on what other tasks leave unused, so that its processors are not reserved. */
  readonly isFilling: boolean
  /** Tasks of it which the scheduler may take down at the same time; undefined for no bound. */
  readonly maximumUnavailable?: number | undefined
}

/** A step of one task which asks for nothing special and needs nothing. */
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

/** When a job runs more than once. */
export interface Schedule {
  readonly count: number
  /** When the first occurrence is due, in milliseconds since 1970. */
  readonly startAtMs: number
  readonly intervalMs: number
}

/** A job as a caller submits it. */
export interface Submission {
  readonly jobId: string
  readonly spec: string
  readonly steps: readonly Step[]
  readonly schedule?: Schedule | undefined
  /** The zone of the entry process that took it; absent in data of earlier versions. */
  readonly originZone?: string | undefined
}

/** Where a job stands. */
export type JobState = 'queued' | 'active' | 'complete' | 'failed' | 'cancelled'

/** How a run ended, as its worker says. */
export type RunEnd = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** The runs of one task. */
export interface JobTask {
  readonly jobId: string
  /** Which occurrence of the job, from 0. */
  readonly occurrence: number
  readonly step: number
  readonly index: number
  readonly state: 'waiting' | 'live' | 'done'
  /** The number of the newest run; 0 before the first. */
  readonly run: number
  /** Runs which ended as failed. */
  readonly failures: number
  /** The boot of the worker which holds the newest run while the task is live. */
  readonly worker: string
  /** The newest checkpoint; empty for none. */
  readonly checkpoint: string
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
  /** Wall-clock time of the leader which accepted it, in milliseconds. */
  readonly acceptedAt: number
  readonly state: JobState
  /** When it ended; undefined before. */
  readonly endedAt?: number | undefined
  /** All tasks, by occurrence, step and index. */
  readonly tasks: readonly JobTask[]
}

/** The name of a task in orders and logs. */
export function nameTask (task: Pick<JobTask, 'jobId' | 'occurrence' | 'step' | 'index'>): string {
  return `${task.jobId}.${task.occurrence}.${task.step}.${task.index}`
}

/** How many times the steps of a job run. */
export function countOccurrences (job: Pick<Submission, 'schedule'>): number {
  return job.schedule?.count ?? 1
}

/** What is reserved on a worker for a task of a step. */
export function reservationOf (step: Step): Resources {
  return { processors: step.isFilling ? 0 : step.processors, memoryMb: step.memoryMb, accelerators: step.accelerators }
}

/** The declared length of the longest chain of steps, in milliseconds. */
export function longestChainMs (steps: readonly Step[]): number {
  const ends: number[] = []
  for (const step of steps) {
    const startMs = Math.max(0, ...step.dependsOn.map(earlier => ends[earlier] ?? 0))
    ends.push(startMs + step.estimateMs)
  }
  return Math.max(0, ...ends)
}
