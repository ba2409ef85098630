import { isExplainedByStart, type WorkerCrash } from '../../core/jobs'
import type { AgentBoot } from './agentBoot'
import { mayBeAtWorker } from './trackedRun'

/**
 * Describes the crash of a boot that has ended: the runs that may have been at the worker, with their ages when it stopped
 * answering. Undefined if the worker had announced that it leaves, as its runs have nothing to do with its end then.
 */
export function describeCrash ({ registration, silentSince, trackedRuns }: AgentBoot, now: number): WorkerCrash | undefined {
  if (registration.isDraining) return undefined
  const crashedAt = silentSince ?? now
  const runs = [...trackedRuns.all()].flatMap(tracked => {
    const { order: { task, run }, beganAt, confirmed } = tracked
    if (tracked.inheritedFrom !== '' || !mayBeAtWorker(tracked)) return []
    if (beganAt === undefined) return [{ task, run }]
    // A start that was first sent after the worker had stopped answering did not reach it, unless it was confirmed: then only a connection had failed before.
    if (beganAt > crashedAt && confirmed !== 'started') return []
    const ageMs = Math.max(0, Math.round(crashedAt - beganAt))
    if (confirmed !== 'nothing') return [{ task, run, ageMs }]
    // The worker may have stopped answering before the start was sent: that shows only once a call has timed out.
    return [{ task, run, ageMs: ageMs > maximumStartMs ? ageMs : 0, ...(isExplainedByStart(ageMs) ? {} : { isUnconfirmed: true }) }]
  })
  return { sinceMs: Math.round(now - crashedAt), runs }
}

/** The youngest of the runs of a crash as TASK#RUN:AGE, for logs. */
export function formatYoungestRuns ({ runs }: WorkerCrash): string {
  const known = runs.filter(({ ageMs }) => ageMs !== undefined).sort((a, b) => (a.ageMs ?? 0) - (b.ageMs ?? 0))
  return known.slice(0, loggedRuns).map(({ task, run, ageMs }) => `${task}#${run}:${ageMs}`).join(',')
}

/** The longest that a start usually takes, in milliseconds. If a worker crashes within this time of a start that it has not confirmed, the run began just then. */
const maximumStartMs = 500

/** Maximum number of runs of a crash in one log line. */
const loggedRuns = 5
