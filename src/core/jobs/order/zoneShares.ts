import type { Resources } from '../../catalogue'
import { noResources } from '../../ledger/resources'
import type { JobBook, StepTasks } from '../book'

/** What a pool's workers hold together. */
export type PoolCapacity = (pool: string) => Resources

/** How callers of a zone stand in a pool; shares are of the pool's scarcest resource for them. */
export interface ZoneShare {
  readonly pool: string
  /** The zone of the entry processes; empty for jobs of which it is not known. */
  readonly zone: string
  /** What its jobs have at workers now. */
  readonly served: number
  /** What max-min fairness gives them of all that is served now. */
  readonly entitled: number
  /** By how much less than that they had lately; negative if they had more. */
  readonly debt: number
  /** How long they had less since the last report, in milliseconds. */
  readonly belowMs: number
}

interface Standing {
  used: Resources
  served: number
  entitled: number
  debt: number
  belowMs: number
}

/** A step that waits for longer found no worker in two plans (100 ms apart) and a commit, in milliseconds. */
const contentionAfterMs = 250
/** Time constant with which debts decay, in milliseconds: objectives are 2 to 15 s, so what was missed longer ago earns its callers nothing. */
const debtDecayMs = 5000
/** Differences below this share of a pool are rounding and the size of single tasks. */
const noticeableShare = 0.02

/**
 * Shares pools among callers' zones by max-min fairness. Load pattern: callers of one zone submit more than fits, or
 * zones' demands peak at different times, and jobs of callers who submit little wait behind those of the others. Without
 * contention, and if all waiting jobs are of one zone, the order stays as it is.
 */
export class ZoneShares {
  private readonly standings = new Map<string, Map<string, Standing>>()
  /** Since when steps wait, in wall-clock milliseconds. */
  private waitingSince = new Map<string, number>()
  private observedAt = 0

  /** Forgets all debts, for a new leadership. */
  clear (): void {
    this.standings.clear()
    this.waitingSince.clear()
  }

  /** Takes what runs and what waits; `groups` are all steps whose tasks may start. Returns the pools with contention. */
  observe (book: JobBook, groups: readonly StepTasks[], capacityOf: PoolCapacity, wallClock: number): ReadonlySet<string> {
    // The wall clock may be set back or forth.
    const elapsedMs = Math.min(debtDecayMs, Math.max(0, wallClock - this.observedAt))
    this.observedAt = wallClock
    const contended = this.findContention(groups, wallClock)
    const used = usedByZone(book)
    const wanted: AmountsByPool = new Map([...used].map(([pool, amounts]) => [pool, new Map([...amounts].map(([zone, amount]) => [zone, { ...amount }]))]))
    for (const group of groups) if (!group.step.isLongRunning) add(sumOf(wanted, group.job), waitingAmount(group))
    for (const pool of new Set([...this.standings.keys(), ...wanted.keys()])) {
      this.settle({ pool, used: used.get(pool) ?? noAmounts, wanted: wanted.get(pool) ?? noAmounts, capacity: capacityOf(pool), isContended: contended.has(pool) }, elapsedMs)
    }
    return contended
  }

  /** Arranges steps of one rank and pool, the zone first that has the least of what is due to it. */
  arrange (groups: readonly StepTasks[], capacityOf: PoolCapacity): readonly StepTasks[] {
    const queues = new Map<string, StepTasks[]>()
    for (const group of groups) queues.get(originOf(group))?.push(group) ?? queues.set(originOf(group), [group])
    const [first] = groups
    if (first === undefined || queues.size < 2) return groups
    const { pool } = first.job.queue
    const standings = this.standings.get(pool)
    const capacity = capacityOf(pool)
    const lines = [...queues].map(([zone, queue]) => ({ queue, next: 0, used: { ...standings?.get(zone)?.used ?? noResources }, debt: standings?.get(zone)?.debt ?? 0, level: 0 }))
    for (const line of lines) line.level = dominantShare(line.used, capacity) - line.debt
    return groups.map(() => {
      const line = lines.reduce((best, other) => other.next < other.queue.length && (best.next >= best.queue.length || other.level < best.level) ? other : best)
      const group = line.queue[line.next] ?? first
      line.next += 1
      add(line.used, waitingAmount(group))
      line.level = dominantShare(line.used, capacity) - line.debt
      return group
    })
  }

  /** How zones stand, and how long they had less than their shares since the last call. */
  report (): readonly ZoneShare[] {
    const shares: ZoneShare[] = []
    for (const [pool, standings] of this.standings) {
      for (const [zone, standing] of standings) {
        const { served, entitled, debt, belowMs } = standing
        shares.push({ pool, zone, served, entitled, debt, belowMs })
        standing.belowMs = 0
      }
    }
    return shares
  }

  private findContention (groups: readonly StepTasks[], wallClock: number): ReadonlySet<string> {
    const contended = new Set<string>()
    const waiting = new Map<string, number>()
    for (const { job, step, stepNumber, occurrence } of groups) {
      if (step.isLongRunning) continue
      const key = `${job.jobId}.${occurrence}.${stepNumber}`
      const since = Math.min(wallClock, this.waitingSince.get(key) ?? wallClock)
      waiting.set(key, since)
      if (wallClock - since >= contentionAfterMs) contended.add(job.queue.pool)
    }
    this.waitingSince = waiting
    return contended
  }

  private settle ({ pool, used, wanted, capacity, isContended }: PoolLoad, elapsedMs: number): void {
    const sharesOf = (amounts: Amounts): Shares => new Map([...amounts].map(([zone, amount]) => [zone, dominantShare(amount, capacity)]))
    const served = sharesOf(used)
    const entitled = fillLevels(sharesOf(wanted), [...served.values()].reduce((sum, share) => sum + share, 0))
    const standings = this.standings.get(pool) ?? new Map<string, Standing>()
    this.standings.set(pool, standings)
    const kept = Math.exp(-elapsedMs / debtDecayMs)
    for (const zone of new Set([...standings.keys(), ...entitled.keys()])) {
      const standing = standings.get(zone) ?? { used: noResources, served: 0, entitled: 0, debt: 0, belowMs: 0 }
      standing.used = used.get(zone) ?? noResources
      standing.served = served.get(zone) ?? 0
      standing.entitled = entitled.get(zone) ?? 0
      const missing = isContended ? standing.entitled - standing.served : 0
      standing.debt = standing.debt * kept + missing * (1 - kept)
      if (missing > noticeableShare) standing.belowMs += elapsedMs
      standings.set(zone, standing)
      if (!entitled.has(zone) && Math.abs(standing.debt) < noticeableShare && standing.belowMs === 0) standings.delete(zone)
    }
    if (standings.size === 0) this.standings.delete(pool)
  }
}

type Shares = ReadonlyMap<string, number>
type Amounts = ReadonlyMap<string, Resources>
const noAmounts: Amounts = new Map()

interface PoolLoad {
  readonly pool: string
  readonly used: Amounts
  /** What is used and what waits. */
  readonly wanted: Amounts
  readonly capacity: Resources
  readonly isContended: boolean
}

/** The zone whose callers submitted a step's job; empty if it is not known. */
export function originOf ({ job }: Pick<StepTasks, 'job'>): string {
  return job.originZone ?? ''
}

/** Max-min fair parts of a total: each zone gets what it demands, or as much as any zone that gets less than it demands. */
export function fillLevels (demands: Shares, total: number): Shares {
  const parts = new Map<string, number>()
  let left = total
  const ascending = [...demands].sort((a, b) => a[1] - b[1])
  ascending.forEach(([zone, demand], position) => {
    const part = Math.min(demand, left / (ascending.length - position))
    parts.set(zone, part)
    left -= part
  })
  return parts
}

/** What the waiting tasks of a step ask for; filling ones use processors, too, though they reserve none. */
function waitingAmount ({ step, tasks }: StepTasks): Resources {
  const { processors, memoryMb, accelerators } = step
  const count = tasks.reduce((sum, task) => task.state === 'waiting' ? sum + 1 : sum, 0)
  return { processors: processors * count, memoryMb: memoryMb * count, accelerators: accelerators * count }
}

function dominantShare (amount: Resources, capacity: Resources): number {
  return Math.max(partOf(amount.processors, capacity.processors), partOf(amount.memoryMb, capacity.memoryMb), partOf(amount.accelerators, capacity.accelerators))
}

function partOf (part: number, whole: number): number { return whole > 0 ? part / whole : 0 }

type MutableResources = { -readonly [Name in keyof Resources]: Resources[Name] }
type AmountsByPool = Map<string, Map<string, MutableResources>>

/** What the finite tasks of each zone have at workers, by pool. */
function usedByZone (book: JobBook): AmountsByPool {
  const used: AmountsByPool = new Map()
  for (const job of book.openJobs()) {
    const sum = sumOf(used, job)
    for (const task of job.tasks) {
      if (task.state !== 'live') continue
      const step = job.steps[task.step]
      if (step !== undefined && !step.isLongRunning) add(sum, step)
    }
  }
  return used
}

function sumOf (amounts: AmountsByPool, job: StepTasks['job']): MutableResources {
  const { pool } = job.queue
  const zone = originOf({ job })
  const ofPool = amounts.get(pool) ?? new Map<string, MutableResources>()
  if (!amounts.has(pool)) amounts.set(pool, ofPool)
  const sum = ofPool.get(zone) ?? { ...noResources }
  if (!ofPool.has(zone)) ofPool.set(zone, sum)
  return sum
}

function add (sum: MutableResources, { processors, memoryMb, accelerators }: Resources): void {
  sum.processors += processors
  sum.memoryMb += memoryMb
  sum.accelerators += accelerators
}
