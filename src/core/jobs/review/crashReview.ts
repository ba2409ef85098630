import { BoundedMap } from '../../boundedMap'
import type { DecisionLog } from '../book'
import { clearedAfterMs, countOtherVms, CrashHistory, isExplainedByStart, isSameAge, maximumRecordedAgeMs, sameAgeWindowMs, shareBlame, type TaskCrash } from '../crashes'
import type { Moment } from '../placement'
import { parseBoot, type RunningTask, type WorkerCrash } from '../workers'

/** Maximum number of runs of unknown age whose first listing is remembered. */
const maximumListedRuns = 1024

/**
 * Finds tasks that crash their workers. Each crash of a worker gives the tasks on it a share of the blame, a run that
 * outlives the moment of the crash clears its task, and the job of a task whose blame is sufficient is given up.
 */
export class CrashReview {
  private readonly crashes = new CrashHistory()
  /** Tasks whose suspicion has grown, or of which a run has ended, since the last judgement. */
  private readonly unjudged = new Set<string>()
  /** When runs of unknown age were first listed, in milliseconds of the steady clock, by task and run. */
  private readonly listedSince = new BoundedMap<string, number>(maximumListedRuns)

  constructor (private readonly decisions: DecisionLog) {}

  /** Starts a leadership: a former leader may have recorded crashes without giving the task up. */
  begin (suspects: Iterable<string>, now: number): void {
    this.crashes.begin(now)
    this.listedSince.clear()
    this.unjudged.clear()
    for (const task of suspects) this.unjudged.add(task)
  }

  /** How often the VM of a worker has crashed recently. */
  countCrashes (worker: string, now: number): number { return this.crashes.countOf(parseBoot(worker).agent, now) }

  /** Whether so few VMs crash at present that a run of a task on this worker would hardly be lost for another cause than the task. */
  isCalm (task: string, worker: string, vms: number, now: number): boolean { return this.crashes.isCalm(task, parseBoot(worker).agent, vms, now) }

  /** Assesses the crash of a worker; to be called once for each boot of a fleet of this number of VMs. Returns its meaning for each task that may have caused it. */
  assess (worker: string, { sinceMs, runs }: WorkerCrash, vms: number, now: number): ReadonlyMap<string, TaskCrash> {
    const live = this.decisions.book.liveOn(worker)
    const { agent: vm } = parseBoot(worker)
    const present = runs.flatMap(({ task, run, ageMs, isUnconfirmed }) => {
      const known = live.get(task)
      const suspicion = known?.suspicion ?? { crashes: [] }
      return known?.run === run ? [{ task, ageMs, isUnconfirmed, formerAgesMs: suspicion.crashes.flatMap(crash => crash.ageMs ?? []), formerVms: countOtherVms(suspicion, vm) }] : []
    })
    const youngestMs = Math.min(...runs.map(({ ageMs }) => ageMs ?? Number.POSITIVE_INFINITY))
    const crashedAt = now - sinceMs
    const context = this.crashes.record(vm, crashedAt, youngestMs)
    const shares = shareBlame(present, context)
    this.crashes.suspect(vm, shares.keys())
    const found = new Map<string, TaskCrash>()
    for (const { task, ageMs, isUnconfirmed, formerAgesMs } of present) {
      const share = shares.get(task)
      if (share === undefined) {
        // Too small a share to suspect the task, but the crash counts towards the limit of its starts, which a long-running task doesn't have.
        const isLimitable = this.decisions.book.stepOf(task)?.isLongRunning !== true
        if (ageMs !== undefined && (isLimitable || ageMs <= maximumRecordedAgeMs)) found.set(task, { share: 0, ageMs, vm })
        continue
      }
      const isVmUnreliable = !isExplainedByStart(ageMs) && this.crashes.hasCrashedWithout(task, vm, crashedAt)
      const isAlike = formerAgesMs.some(former => isSameAge(ageMs, former))
      const chance = ageMs === undefined ? undefined : this.crashes.chanceOf(task, vm, isAlike && !isVmUnreliable ? sameAgeWindowMs : Math.max(ageMs, sameAgeWindowMs), vms, crashedAt)
      const known = { ...(ageMs === undefined ? {} : { ageMs }), ...(chance === undefined ? {} : { chance }), ...(isUnconfirmed === true ? { isUnconfirmed } : {}) }
      found.set(task, { share, vm, ...known, ...(isVmUnreliable ? { isVmUnreliable } : {}), ...(this.crashes.knowsRate(crashedAt) ? {} : { isRateUnknown: true }) })
      this.unjudged.add(task)
    }
    return found
  }

  /** Clears suspects whose runs a worker lists at an age that they would not have reached if they crashed it. */
  observe (running: readonly RunningTask[], now: number): void {
    for (const { task, run, ageMs } of running) {
      const known = this.decisions.book.task(task)
      if (known?.state !== 'live' || known.run !== run || known.suspicion === undefined) continue
      if ((ageMs ?? this.listedMs(`${task} ${run}`, now)) >= clearedAfterMs(known.suspicion)) this.decisions.record({ type: 'clearSuspicion', task, run })
    }
  }

  /** Takes note that a run of a task has ended, after which the task may have no start left. */
  runEnded (task: string): void { if (this.decisions.book.task(task)?.suspicion !== undefined) this.unjudged.add(task) }

  /** Gives up the jobs of tasks that crash their workers, in a fleet of this number of VMs. */
  judge (vms: number, { now, wallClock }: Moment): void {
    if (this.unjudged.size === 0) return
    const provingCrashes = this.crashes.provingCrashes(vms, now)
    for (const task of this.unjudged) if (this.decisions.giveUpIfDue(task, provingCrashes, wallClock)) this.crashes.explain(task)
    this.unjudged.clear()
  }

  private listedMs (key: string, now: number): number {
    const since = this.listedSince.get(key)
    if (since === undefined) this.listedSince.set(key, now)
    return now - (since ?? now)
  }
}
