import type { Resources } from '../../catalogue'
import { noResources } from '../../ledger/resources'
import type { JobBook, StepTasks } from '../book'

/** The total resources of the workers of a pool. */
export type PoolCapacity = (pool: string) => Resources

/** The use of a pool by the callers of a zone. Shares are dominant shares: of the resource of which the zone uses the largest part. */
export interface ZoneShare {
  readonly pool: string
  /** The zone of the entry process that took the submission; empty if it is not known. */
  readonly zone: string
  /** The share that its running tasks use. */
  readonly served: number
  /** The max-min fair share of the zone in everything that is in use. */
  readonly entitled: number
  /** Decaying average of `entitled` minus `served` under contention; negative if the zone had more than its fair share. */
  readonly debt: number
  /** Time below the fair share since the last report, in milliseconds. */
  readonly belowMs: number
}

interface Standing {
  used: Resources
  served: number
  entitled: number
  debt: number
  belowMs: number
}

/**
 * Waiting time of a step from which its pool counts as contended, in milliseconds: the step found no worker in two plans
 * (100 ms apart) and a commit.
 */
const contentionAfterMs = 250
/** Time constant of the decay of debts, in milliseconds. Objectives are 2 to 15 s, so compensation for an older shortfall earns nothing. */
const debtDecayMs = 5000
/** Differences below this share of a pool are due to rounding and to the size of single tasks. */
const significantShare = 0.02

/**
 * Shares pools between callers' zones by max-min fairness over dominant shares. Guards against callers of one zone that
 * submit more than the pool can run, or whose demand peaks at a different time, so that jobs of callers who submit little
 * wait behind theirs. The order is unchanged without contention, and if all waiting jobs come from one zone.
 */
export class ZoneShares {
  private readonly standings = new Map<string, Map<string, Standing>>()
  /** The wall-clock time (milliseconds) at which each step was first seen waiting. */
  private waitingSince = new Map<string, number>()
  private observedAt = 0

  /** Discards all debts when a new leadership begins. */
  clear (): void {
    this.standings.clear()
    this.waitingSince.clear()
  }

  /** Updates the shares from running tasks and from `groups`, all steps whose tasks may start. Returns the contended pools. */
  observe (book: JobBook, groups: readonly StepTasks[], capacityOf: PoolCapacity, wallClock: number): ReadonlySet<string> {
    // The wall clock may be adjusted in either direction.
    const elapsedMs = Math.min(debtDecayMs, Math.max(0, wallClock - this.observedAt))
    this.observedAt = wallClock
    const contended = this.findContention(groups, wallClock)
    const used = usedByZone(book)
    const wanted: AmountsByPool = new Map([...used].map(([pool, amounts]) => [pool, new Map([...amounts].map(([zone, amount]) => [zone, { ...amount }]))]))
    for (const group of groups) if (!group.step.isLongRunning) add(sumOf(wanted, group.job), waitingAmount(group))
    for (const pool of new Set([...this.standings.keys(), ...wanted.keys()])) {
      this.updateStandings({ pool, used: used.get(pool) ?? noAmounts, wanted: wanted.get(pool) ?? noAmounts, capacity: capacityOf(pool), isContended: contended.has(pool) }, elapsedMs)
    }
    return contended
  }

  /** Reorders steps of one rank and pool: the next step is always of the zone with the lowest dominant share less its debt. */
  reorder (groups: readonly StepTasks[], capacityOf: PoolCapacity): readonly StepTasks[] {
    const queues = new Map<string, StepTasks[]>()
    for (const group of groups) queues.get(originOf(group))?.push(group) ?? queues.set(originOf(group), [group])
    const [first] = groups
    if (first === undefined || queues.size < 2) return groups
    const { pool } = first.job.queue
    const standings = this.standings.get(pool)
    const capacity = capacityOf(pool)
    const zoneQueues = [...queues].map(([zone, queue]) => ({ queue, next: 0, used: { ...standings?.get(zone)?.used ?? noResources }, debt: standings?.get(zone)?.debt ?? 0, level: 0 }))
    for (const zoneQueue of zoneQueues) zoneQueue.level = dominantShare(zoneQueue.used, capacity) - zoneQueue.debt
    return groups.map(() => {
      const zoneQueue = zoneQueues.reduce((best, other) => other.next < other.queue.length && (best.next >= best.queue.length || other.level < best.level) ? other : best)
      const group = zoneQueue.queue[zoneQueue.next] ?? first
      zoneQueue.next += 1
      add(zoneQueue.used, waitingAmount(group))
      zoneQueue.level = dominantShare(zoneQueue.used, capacity) - zoneQueue.debt
      return group
    })
  }

  /** The shares of all zones; resets the times below the fair share. */
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

  private updateStandings ({ pool, used, wanted, capacity, isContended }: PoolLoad, elapsedMs: number): void {
    const sharesOf = (amounts: Amounts): Shares => new Map([...amounts].map(([zone, amount]) => [zone, dominantShare(amount, capacity)]))
    const served = sharesOf(used)
    const entitled = divideMaxMin(sharesOf(wanted), [...served.values()].reduce((sum, share) => sum + share, 0))
    const standings = this.standings.get(pool) ?? new Map<string, Standing>()
    this.standings.set(pool, standings)
    const retained = Math.exp(-elapsedMs / debtDecayMs)
    for (const zone of new Set([...standings.keys(), ...entitled.keys()])) {
      const standing = standings.get(zone) ?? { used: noResources, served: 0, entitled: 0, debt: 0, belowMs: 0 }
      standing.used = used.get(zone) ?? noResources
      standing.served = served.get(zone) ?? 0
      standing.entitled = entitled.get(zone) ?? 0
      const shortfall = isContended ? standing.entitled - standing.served : 0
      standing.debt = standing.debt * retained + shortfall * (1 - retained)
      if (shortfall > significantShare) standing.belowMs += elapsedMs
      standings.set(zone, standing)
      if (!entitled.has(zone) && Math.abs(standing.debt) < significantShare && standing.belowMs === 0) standings.delete(zone)
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
  /** Resources of running and waiting tasks. */
  readonly wanted: Amounts
  readonly capacity: Resources
  readonly isContended: boolean
}

/** The zone of the entry process that took the submission of a job; empty if it is not known. */
export function originOf ({ job }: Pick<StepTasks, 'job'>): string {
  return job.originZone ?? ''
}

/** Divides a total by max-min fairness: each zone gets its demand, or as much as every other zone whose demand is not met. */
export function divideMaxMin (demands: Shares, total: number): Shares {
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

/** The resources of the waiting tasks of a step. Filling tasks count too: they use processors, though they reserve none. */
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

/** The resources of the running tasks of each zone, by pool, without long-running tasks. */
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
