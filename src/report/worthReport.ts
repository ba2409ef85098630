import { disturbedShareFactor, lateWorthShare, worthOfJob, worthlessAfterObjectives } from '../core/jobs'
import { delayCauses, largestCause, sumDelays, traceDelays, type DelayCause, type Delays, type DelaySegment } from './delays'
import type { History, JobRecord, ServingSample } from './jobRecord'

/** How a job ended by its objective. */
export type JobOutcome = 'inTime' | 'late' | 'lost'

/** A job with an objective, and what it earned. Worths are in jobs of mean size of its queue. */
export interface JobWorth {
  readonly job: JobRecord
  readonly outcome: JobOutcome
  /** By the time that its tasks worked if it is complete, otherwise by their declared durations, in milliseconds. */
  readonly objectiveMs: number
  readonly owed: number
  readonly earned: number
  /** Time from its first submission to its end, or to the end of the logs, in milliseconds. */
  readonly elapsedMs: number
  readonly segments: readonly DelaySegment[]
  readonly delays: Delays
  readonly cause: DelayCause
}

/** The jobs of one queue. */
export interface QueueWorth {
  readonly queue: string
  readonly jobs: number
  readonly inTime: number
  readonly late: number
  readonly lost: number
  /** The earned share of the owed worth, from 0 to 1. */
  readonly worth: number
}

/** The jobs that were submitted in one second, or the samples of long-running ones within it. */
export interface SecondWorth {
  /** Seconds since the beginning of the logs. */
  readonly second: number
  readonly queue: string
  readonly owed: number
  readonly earned: number
}

/** The worth which jobs whose largest delay was the same lost together, as a share of what their queues are owed. */
export interface CauseWorth {
  readonly queue: string
  readonly cause: DelayCause
  readonly jobs: number
  readonly lostWorth: number
  /** Mean time that these jobs spent on the cause, in milliseconds. */
  readonly meanMs: number
}

/** Where the worth of the jobs in a history was lost. */
export interface WorthReport {
  readonly queues: readonly QueueWorth[]
  readonly seconds: readonly SecondWorth[]
  readonly causes: readonly CauseWorth[]
  readonly jobs: readonly JobWorth[]
}

/** Values the jobs of a history, and attributes what they lost to the largest cause of delay of each. */
export function createWorthReport (history: History): WorthReport {
  const finite = history.jobs.filter(job => job.objectiveMs !== undefined && job.end?.state !== 'cancelled')
  const jobs = [...groupBy(finite, job => job.queue)].flatMap(([, ofQueue]) => valueJobs(ofQueue, history))
  return {
    queues: [...summariseQueues(jobs), ...summariseServing(history.serving)],
    seconds: [...secondsOfJobs(jobs, history.from), ...secondsOfServing(history)],
    causes: summariseCauses(jobs),
    jobs: [...jobs].sort((a, b) => b.owed - b.earned - (a.owed - a.earned))
  }
}

function valueJobs (jobs: readonly JobRecord[], history: History): readonly JobWorth[] {
  const meanMs = jobs.reduce((sum, job) => sum + job.workMs, 0) / jobs.length
  return jobs.map(job => {
    const owed = worthOfJob(job.workMs, meanMs)
    const elapsedMs = (job.end?.at ?? history.until) - job.submittedAt
    const segments = traceDelays(job, history)
    const delays = sumDelays(segments)
    const objectiveMs = observedObjectiveMs(job, delays)
    const objectives = job.end?.state === 'complete' ? elapsedMs / Math.max(1, objectiveMs) : Number.POSITIVE_INFINITY
    const outcome = objectives <= 1 ? 'inTime' : objectives <= worthlessAfterObjectives ? 'late' : 'lost'
    return { job, outcome, objectiveMs, segments, owed, earned: owed * (outcome === 'inTime' ? 1 : outcome === 'late' ? lateWorthShare : 0), elapsedMs, delays, cause: largestCause(delays) }
  })
}

/** The objective of a job by the time that its tasks worked where that is known, as declared durations may be off by factors. */
function observedObjectiveMs ({ slackFactor, latencyMs = 0, objectiveMs = 0, end }: JobRecord, delays: Delays): number {
  if (slackFactor === undefined || end?.state !== 'complete') return objectiveMs
  return slackFactor * ((delays.get('running') ?? 0) + (delays.get('runFailed') ?? 0)) + latencyMs
}

function summariseQueues (jobs: readonly JobWorth[]): readonly QueueWorth[] {
  return [...groupBy(jobs, ({ job }) => job.queue)].map(([queue, ofQueue]) => ({
    queue,
    jobs: ofQueue.length,
    inTime: ofQueue.filter(({ outcome }) => outcome === 'inTime').length,
    late: ofQueue.filter(({ outcome }) => outcome === 'late').length,
    lost: ofQueue.filter(({ outcome }) => outcome === 'lost').length,
    worth: sumOf(ofQueue, ({ earned }) => earned) / sumOf(ofQueue, ({ owed }) => owed)
  }))
}

/** For long-running jobs the tasks of all samples stand for jobs: serving within their target, above it, and not at work. */
function summariseServing (samples: readonly ServingSample[]): readonly QueueWorth[] {
  return [...groupBy(samples, ({ queue }) => queue)].map(([queue, found]) => ({
    queue,
    jobs: sumOf(found, ({ tasks }) => tasks),
    inTime: sumOf(found, ({ atWork, aboveTarget }) => atWork - aboveTarget),
    late: sumOf(found, ({ aboveTarget }) => aboveTarget),
    lost: sumOf(found, ({ tasks, atWork }) => tasks - atWork),
    worth: sumOf(found, earnedBySample) / Math.max(1, sumOf(found, ({ tasks }) => tasks))
  }))
}

function earnedBySample ({ atWork, aboveTarget }: ServingSample): number {
  return Math.max(0, atWork - disturbedShareFactor * aboveTarget)
}

function secondsOfJobs (jobs: readonly JobWorth[], from: number): readonly SecondWorth[] {
  const seconds = groupBy(jobs, ({ job }) => `${Math.floor((job.submittedAt - from) / 1000)} ${job.queue}`)
  return [...seconds].map(([key, found]) => ({ ...splitKey(key), owed: sumOf(found, ({ owed }) => owed), earned: sumOf(found, ({ earned }) => earned) }))
}

function secondsOfServing ({ serving, from }: History): readonly SecondWorth[] {
  return serving.map(sample => ({ second: Math.floor((sample.at - from) / 1000), queue: sample.queue, owed: sample.tasks, earned: earnedBySample(sample) }))
}

function splitKey (key: string): { readonly second: number, readonly queue: string } {
  const space = key.indexOf(' ')
  return { second: Number(key.slice(0, space)), queue: key.slice(space + 1) }
}

function summariseCauses (jobs: readonly JobWorth[]): readonly CauseWorth[] {
  const causes: CauseWorth[] = []
  for (const [queue, ofQueue] of groupBy(jobs, ({ job }) => job.queue)) {
    const owed = sumOf(ofQueue, worth => worth.owed)
    for (const cause of delayCauses) {
      const found = ofQueue.filter(worth => worth.cause === cause && worth.outcome !== 'inTime')
      if (found.length === 0) continue
      causes.push({ queue, cause, jobs: found.length, lostWorth: sumOf(found, worth => worth.owed - worth.earned) / owed, meanMs: sumOf(found, worth => worth.delays.get(cause) ?? 0) / found.length })
    }
  }
  return causes.sort((a, b) => b.lostWorth - a.lostWorth)
}

function groupBy<Item> (items: readonly Item[], keyOf: (item: Item) => string): ReadonlyMap<string, readonly Item[]> {
  const groups = new Map<string, Item[]>()
  for (const item of items) {
    const group = groups.get(keyOf(item)) ?? []
    groups.set(keyOf(item), group)
    group.push(item)
  }
  return groups
}

function sumOf<Item> (items: readonly Item[], amountOf: (item: Item) => number): number {
  return items.reduce((sum, item) => sum + amountOf(item), 0)
}
