import type { WorkerCrash } from '../../core/jobs'
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
    const { order: { task, run }, orderedAt } = tracked
    if (tracked.inheritedFrom !== '' || !mayBeAtWorker(tracked)) return []
    // A start that was first sent after the worker had stopped answering did not reach it.
    if (orderedAt !== undefined && orderedAt > crashedAt) return []
    return [{ task, run, ...(orderedAt === undefined ? {} : { ageMs: Math.round(crashedAt - orderedAt) }) }]
  })
  return { sinceMs: Math.round(now - crashedAt), runs }
}

/** The youngest of the runs of a crash as TASK#RUN:AGE, for logs. */
export function formatYoungestRuns ({ runs }: WorkerCrash): string {
  const known = runs.filter(({ ageMs }) => ageMs !== undefined).sort((a, b) => (a.ageMs ?? 0) - (b.ageMs ?? 0))
  return known.slice(0, loggedRuns).map(({ task, run, ageMs }) => `${task}#${run}:${ageMs}`).join(',')
}

/** Maximum number of runs of a crash in one log line. */
const loggedRuns = 5
