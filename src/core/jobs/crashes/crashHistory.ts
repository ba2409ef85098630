import { BoundedMap } from '../../boundedMap'
import type { CrashContext } from './blame'
import { isExplainedByStart, mostProvingCrashes } from './suspicion'

interface KnownCrash {
  /** In milliseconds of the steady clock. */
  readonly at: number
  /** Whether a start or a task that was found guilty explains it. */
  readonly isExplained: boolean
  /** Whether a task that was found guilty explains it. */
  readonly hasCulprit: boolean
  /** The tasks that may have caused it. */
  readonly suspects: ReadonlySet<string>
}

type RatePeriod = typeof ratePeriods[number]

/** How long a crash counts, in milliseconds. */
const retentionMs = 15_000
/** Crashes within this time of each other have a common cause, such as a loss of power, in milliseconds. */
const simultaneousMs = 50
/** Maximum number of VMs whose crashes are kept; more than a deployment has. */
const maximumVms = 1024
/** Maximum number of crashes that are kept of one VM. */
const maximumCrashes = 16
/** Crashes under a task that prove its guilt while VMs hardly crash by themselves. The platform limits the starts after three. */
const fewestProvingCrashes = 2
/** Periods from which the rate of crashes is estimated, in milliseconds, and the crashes that count of one VM in each: a single one that crashes again and again says little of others. */
const ratePeriods = [{ periodMs: 5000, mostPerVm: 2 }, { periodMs: retentionMs, mostPerVm: 3 }] as const
/** The time in which a run usually outlives the suspicion, in milliseconds, and the most that the chance of a crash in it may be at a calm moment. */
const calmMs = 3000
const maximumCalmChance = 0.2
/** Crashes that are assumed of a fleet in which none was seen. */
const assumedCrashes = 0.5
/** Part of the VMs that may have crashed by themselves before more crashes are required. */
const quietShare = 0.25

/**
 * Recent crashes of VMs, which speak for causes other than tasks. Load pattern: a VM that crashes again and again takes
 * whatever runs there with it, a rack that loses power takes several VMs at the same moment, and if all VMs crash often,
 * some task is hit twice at the same age by chance.
 */
export class CrashHistory {
  private readonly crashes = new BoundedMap<string, readonly KnownCrash[]>(maximumVms)

  /** When the history began, in milliseconds of the steady clock. */
  private since = Number.NEGATIVE_INFINITY

  /** Begins anew, at the start of a leadership. */
  begin (now: number): void {
    this.crashes.clear()
    this.since = now
  }

  /** Records a crash, with the age of the youngest run there in milliseconds. Returns what speaks for another cause than a task. */
  record (agent: string, crashedAt: number, youngestMs: number): CrashContext {
    const former = this.recentOf(agent, crashedAt)
    let simultaneousCrashes = 0
    for (const [other, crashes] of this.crashes.all()) {
      if (other !== agent && crashes.some(({ at }) => Math.abs(at - crashedAt) <= simultaneousMs)) simultaneousCrashes += 1
    }
    this.crashes.set(agent, [...former, { at: crashedAt, isExplained: isExplainedByStart(youngestMs), hasCulprit: false, suspects: new Set<string>() }].slice(-maximumCrashes))
    return { formerCrashes: former.length, simultaneousCrashes }
  }

  /** Takes the tasks that may have caused the newest crash of a VM. */
  suspect (agent: string, tasks: Iterable<string>): void {
    const crashes = this.crashes.get(agent) ?? []
    const newest = crashes.at(-1)
    if (newest !== undefined) this.crashes.set(agent, [...crashes.slice(0, -1), { ...newest, suspects: new Set(tasks) }])
  }

  /** Takes the crashes under a task that was found guilty as explained. */
  explain (task: string): void {
    for (const [agent, crashes] of [...this.crashes.all()]) {
      this.crashes.set(agent, crashes.map(crash => crash.suspects.has(task) ? { ...crash, isExplained: true, hasCulprit: true } : crash))
    }
  }

  /** Whether a VM has crashed recently for no known cause while a task was not there, or was there and above suspicion. */
  hasCrashedWithout (task: string, agent: string, now: number): boolean {
    return this.recentOf(agent, now).some(({ isExplained, suspects }) => !isExplained && !suspects.has(task))
  }

  /** How often a VM has crashed recently. */
  countOf (agent: string, now: number): number { return this.recentOf(agent, now).length }

  /**
   * The probability that a VM of a fleet of this size crashes within a time in milliseconds if the task is not the cause, from the
   * crashes of this VM and of all without the task and without a known culprit, in a short and in a long period, as crashes come in waves;
   * undefined while the history is shorter than that, as a new leader doesn't know how often VMs crash.
   */
  chanceOf (task: string, agent: string, withinMs: number, vms: number, now: number): number | undefined {
    if (!this.knowsRate(now)) return undefined
    const rates = ratePeriods.map(period => this.rateWithout(task, vms, now, period))
    return 1 - Math.exp(-withinMs * Math.max(...rates, this.countWithout(task, agent, now, retentionMs) / retentionMs))
  }

  /** Whether VMs crash so seldom without a task at present that a run of it on this one would hardly be lost before it outlives the suspicion. */
  isCalm (task: string, agent: string, vms: number, now: number): boolean {
    const [period] = ratePeriods
    const rate = Math.max(this.rateWithout(task, vms, now, period), this.countWithout(task, agent, now, period.periodMs) / period.periodMs)
    return 1 - Math.exp(-calmMs * rate) <= maximumCalmChance
  }

  /** Whether the history is long enough to tell how often VMs crash. */
  knowsRate (now: number): boolean { return now - this.since >= ratePeriods[0].periodMs }

  /** The crashes at the same age that prove the guilt of a task in a fleet of this number of VMs. */
  provingCrashes (vms: number, now: number): number {
    let unexplained = 0
    for (const [agent] of this.crashes.all()) unexplained += this.recentOf(agent, now).filter(({ isExplained }) => !isExplained).length
    return unexplained < vms * quietShare ? fewestProvingCrashes : unexplained <= vms ? fewestProvingCrashes + 1 : mostProvingCrashes
  }

  /** Crashes of a VM per millisecond, in a fleet of this size, without the task and without a known culprit. */
  private rateWithout (task: string, vms: number, now: number, { periodMs, mostPerVm }: RatePeriod): number {
    let sum = assumedCrashes
    for (const [other] of this.crashes.all()) sum += Math.min(mostPerVm, this.countWithout(task, other, now, periodMs))
    return sum / (Math.max(1, vms) * periodMs)
  }

  private countWithout (task: string, agent: string, now: number, periodMs: number): number {
    return this.recentOf(agent, now).filter(({ at, hasCulprit, suspects }) => now - at <= periodMs && !hasCulprit && !suspects.has(task)).length
  }

  private recentOf (agent: string, now: number): readonly KnownCrash[] {
    return (this.crashes.get(agent) ?? []).filter(({ at }) => now - at <= retentionMs)
  }
}
