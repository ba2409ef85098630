import { haltKey, type History, type JobRecord, type Period, type RunRecord, type StepRecord } from './jobRecord'

/** What a job spent its time on. */
export type DelayCause =
  /** Its submission was refused or not answered before it was accepted. */
  | 'admission'
  /** No process was known to lead while it waited. */
  | 'leaderAway'
  /** Its tasks waited for a worker. */
  | 'waiting'
  /** A run was lost with its worker or lease. */
  | 'runLost'
  /** The scheduler stopped a run. */
  | 'runStopped'
  | 'runFailed'
  /** Its tasks stood still so that serving tasks beside them kept their targets. */
  | 'halted'
  /** Its tasks worked. */
  | 'running'

/** All causes, in the order in which they are shown. */
export const delayCauses: readonly DelayCause[] = ['admission', 'leaderAway', 'waiting', 'runLost', 'runStopped', 'runFailed', 'halted', 'running']

/** Milliseconds by cause; causes without any are absent. */
export type Delays = ReadonlyMap<DelayCause, number>

/** A part of the time of a job that it spent on one cause, in milliseconds since 1970. */
export interface DelaySegment extends Period {
  readonly cause: DelayCause
}

const lossCauses = { failed: 'runFailed', stopped: 'runStopped', lost: 'runLost' } as const

/**
 * Divides the time of a job into segments by cause, in their order. Within each step only the task that was done last counts, as the others did not
 * delay the job; a step that has not ended is followed in the task that started last.
 */
export function traceDelays (job: JobRecord, history: History): readonly DelaySegment[] {
  const segments: DelaySegment[] = []
  const add: Add = (cause, { from, until }) => { if (until > from) segments.push({ cause, from, until }) }
  const until = job.end?.at ?? history.until
  add('admission', { from: job.submittedAt, until: job.acceptedAt })
  let readyAt = job.acceptedAt
  for (const step of [...job.steps].sort((a, b) => (a.endedAt ?? until) - (b.endedAt ?? until))) {
    const endedAt = Math.min(until, step.endedAt ?? until)
    if (endedAt <= readyAt) continue
    followTask(step, { from: readyAt, until: endedAt }, history, add)
    readyAt = endedAt
  }
  addWaiting({ from: readyAt, until }, history, add)
  return segments
}

/** Sums the segments of a job by cause. */
export function sumDelays (segments: readonly DelaySegment[]): Delays {
  const delays = new Map<DelayCause, number>()
  for (const { cause, from, until } of segments) delays.set(cause, (delays.get(cause) ?? 0) + until - from)
  return delays
}

type Add = (cause: DelayCause, period: Period) => void

function followTask (step: StepRecord, period: Period, history: History, add: Add): void {
  let at = period.from
  for (const run of lastTaskRuns(step)) {
    if (run.assignedAt > at) addWaiting({ from: at, until: Math.min(run.assignedAt, period.until) }, history, add)
    const from = Math.max(at, run.assignedAt)
    const until = Math.min(period.until, run.loss?.at ?? period.until)
    if (until <= from) continue
    if (run.loss === undefined) addRunning(step, run, { from, until }, history, add)
    else add(lossCauses[run.loss.cause], { from, until })
    at = until
  }
  if (at < period.until) addWaiting({ from: at, until: period.until }, history, add)
}

function addRunning ({ image }: StepRecord, { agent }: RunRecord, period: Period, { halts }: History, add: Add): void {
  splitPeriod(period, halts.get(haltKey(agent, image)) ?? [], 'halted', 'running', add)
}

function addWaiting (period: Period, { leaderless }: History, add: Add): void {
  splitPeriod(period, leaderless, 'leaderAway', 'waiting', add)
}

/** The runs of the task that was done last, or of the one that started last. */
function lastTaskRuns ({ runs, lastTask }: StepRecord): readonly RunRecord[] {
  if (lastTask !== undefined) return runs.get(lastTask) ?? []
  const startedAt = (found: readonly RunRecord[]): number => found.at(-1)?.assignedAt ?? 0
  return [...runs.values()].reduce<readonly RunRecord[]>((latest, found) => startedAt(found) > startedAt(latest) ? found : latest, [])
}

/** Adds a period in parts: those that overlap with `others`, which are sorted and apart, under one cause and the rest under another. */
function splitPeriod ({ from, until }: Period, others: readonly Period[], inside: DelayCause, outside: DelayCause, add: Add): void {
  let at = from
  for (const other of others) {
    const overlap = { from: Math.max(at, other.from), until: Math.min(until, other.until) }
    if (overlap.until <= overlap.from) continue
    add(outside, { from: at, until: overlap.from })
    add(inside, overlap)
    at = overlap.until
  }
  add(outside, { from: at, until })
}

/** The cause on which a job spent most time, other than its own work; `running` if there is no other. */
export function largestCause (delays: Delays): DelayCause {
  let largest: DelayCause = 'running'
  for (const [cause, ms] of delays) {
    if (cause !== 'running' && (largest === 'running' || ms > (delays.get(largest) ?? 0))) largest = cause
  }
  return largest
}
