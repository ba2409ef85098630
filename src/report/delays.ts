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

const lossCauses = { failed: 'runFailed', stopped: 'runStopped', lost: 'runLost' } as const

/**
 * Divides the time of a job among causes. Within each step only the task that was done last counts, as the others did not
 * delay the job; a step that has not ended is followed in the task that started last.
 */
export function divideDelays (job: JobRecord, history: History): Delays {
  const delays = new Map<DelayCause, number>()
  const add = (cause: DelayCause, ms: number): void => { if (ms > 0) delays.set(cause, (delays.get(cause) ?? 0) + ms) }
  const until = job.end?.at ?? history.until
  add('admission', job.acceptedAt - job.submittedAt)
  let readyAt = job.acceptedAt
  for (const step of [...job.steps].sort((a, b) => (a.endedAt ?? until) - (b.endedAt ?? until))) {
    const endedAt = Math.min(until, step.endedAt ?? until)
    if (endedAt <= readyAt) continue
    followTask(step, { from: readyAt, until: endedAt }, history, add)
    readyAt = endedAt
  }
  addWaiting({ from: readyAt, until }, history, add)
  return delays
}

type Add = (cause: DelayCause, ms: number) => void

function followTask (step: StepRecord, period: Period, history: History, add: Add): void {
  let at = period.from
  for (const run of lastTaskRuns(step)) {
    if (run.assignedAt > at) addWaiting({ from: at, until: Math.min(run.assignedAt, period.until) }, history, add)
    const from = Math.max(at, run.assignedAt)
    const until = Math.min(period.until, run.loss?.at ?? period.until)
    if (until <= from) continue
    if (run.loss === undefined) addRunning(step, run, { from, until }, history, add)
    else add(lossCauses[run.loss.cause], until - from)
    at = until
  }
  if (at < period.until) addWaiting({ from: at, until: period.until }, history, add)
}

function addRunning ({ image }: StepRecord, { agent }: RunRecord, period: Period, { halts }: History, add: Add): void {
  const halted = overlapMs(period, halts.get(haltKey(agent, image)) ?? [])
  add('halted', halted)
  add('running', period.until - period.from - halted)
}

function addWaiting (period: Period, { leaderless }: History, add: Add): void {
  const away = overlapMs(period, leaderless)
  add('leaderAway', away)
  add('waiting', period.until - period.from - away)
}

/** The runs of the task that was done last, or of the one that started last. */
function lastTaskRuns ({ runs, lastTask }: StepRecord): readonly RunRecord[] {
  if (lastTask !== undefined) return runs.get(lastTask) ?? []
  const startedAt = (found: readonly RunRecord[]): number => found.at(-1)?.assignedAt ?? 0
  return [...runs.values()].reduce<readonly RunRecord[]>((latest, found) => startedAt(found) > startedAt(latest) ? found : latest, [])
}

function overlapMs ({ from, until }: Period, others: readonly Period[]): number {
  return others.reduce((sum, other) => sum + Math.max(0, Math.min(until, other.until) - Math.max(from, other.from)), 0)
}

/** The cause on which a job spent most time, other than its own work; `running` if there is no other. */
export function largestCause (delays: Delays): DelayCause {
  let largest: DelayCause = 'running'
  for (const [cause, ms] of delays) {
    if (cause !== 'running' && (largest === 'running' || ms > (delays.get(largest) ?? 0))) largest = cause
  }
  return largest
}
