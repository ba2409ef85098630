import type { EndedRun, RunEnd, RunOrder } from '../../../core/jobs'
import type { LookOutcome, OrderContext, OrderOutcome } from '../../../workers'
import type { RunHistory, SeenRun } from './runProtocolHistory'
import type { Lot, ModelTime } from './runProtocolTime'

/** What all parts of a history share. */
export interface World {
  readonly time: ModelTime
  readonly lot: Lot
  readonly history: RunHistory
  /** Whether troubles still happen. */
  isTroubled: boolean
  /** The share of runs that stand still. */
  readonly stillShare: number
  /** The share of crashed workers that come back under the id which they had. */
  readonly sameIdShare: number
  /** The longest lease that a leader grants, in milliseconds; one above it comes from an order which was meant for another boot. */
  readonly leaseMs: number
  /** How long leaders take a silent worker for suspended, in milliseconds. */
  readonly suspensionMs: number
}

/** The spec of tasks that last. */
export const lastingSpec = 'lasting'

/** The spec of a job whose first task crashes each worker that starts it. */
export const crashingSpec = 'crashing'
/** The delay between the start of such a task and the crash, in milliseconds. */
const crashAfterMs = 10

/** Whether a task crashes each worker that starts it. */
export function isCrashing (task: string, spec: string): boolean { return spec === crashingSpec && task.endsWith('.0.0.0') }

/** How many tasks a worker holds. */
export const slots = 4
/** The longest lease that a worker takes, in milliseconds. */
export const longestLeaseMs = 10_000
const stopMs = 900
const startupMs = 500

interface BootRun {
  readonly seen: SeenRun
  /** By the clock of its VM, in milliseconds. */
  readonly begunAt: number
  readonly durationMs: number
  readonly isLasting: boolean
  /** The percent at which it stands still; undefined if it gets on. */
  readonly stillAt: number | undefined
  isStopping: boolean
}

interface BootEnd {
  readonly ended: EndedRun
  readonly seen: SeenRun
  /** How often the lease had lapsed when it ended. */
  readonly lapses: number
}

/** One life of a worker, as PROTOCOL.md describes it. */
export class ModelBoot {
  readonly name: string
  isUp = true
  /** Called when it ends, for connections that break then. */
  readonly onEnd: Array<() => void> = []
  /** Called when a task that it has started crashes it. */
  onCrash: () => void = () => {}
  /** When a registration of it first reached an agent. */
  knownSince = Number.POSITIVE_INFINITY
  private readonly startedAt: number
  private readonly rate: number
  private readonly clockBase: number
  private fence = 0
  private leaseEnd = 0
  private lapses = 0
  private readonly runs = new Map<string, BootRun>()
  /** The highest run of each task that was stopped or ended here. */
  private readonly over = new Map<string, number>()
  private ends: BootEnd[] = []
  private endSequence = 0
  private waiters: Array<() => void> = []

  constructor (private readonly world: World, place: string, readonly workerId: string, readonly bornMs: number) {
    const { time, lot } = world
    this.name = `${place}/${workerId}@${bornMs}`
    this.startedAt = time.now
    // The clock of a worker may be 2% slow, and begins anew.
    this.rate = lot.chance(0.3) ? 0.98 : lot.between(0.98, 1)
    this.clockBase = lot.whole(1, 100_000)
  }

  get clockMs (): number { return Math.floor(this.clock) }

  private get clock (): number { return this.clockBase + (this.world.time.now - this.startedAt) * this.rate }

  get runningCount (): number { return this.runs.size }

  start (order: RunOrder, deadlineMs: number, { term }: OrderContext): OrderOutcome {
    const { task, run, spec } = order
    if (this.isFenced(term)) return refused('fenced')
    if (this.runs.has(keyOf(task, run))) {
      this.extend(deadlineMs)
      return { type: 'done' }
    }
    if (run <= (this.over.get(task) ?? 0)) {
      this.extend(deadlineMs)
      return refused('superseded')
    }
    if (deadlineMs <= this.clock) return refused('late')
    this.extend(deadlineMs)
    this.begin(task, run, spec === lastingSpec)
    if (isCrashing(task, spec)) this.crashSoon(task)
    return { type: 'done' }
  }

  /** A start that finds no room still extends the lease. */
  refuseForRoom (deadlineMs: number, { term }: OrderContext): OrderOutcome {
    if (this.isFenced(term)) return refused('fenced')
    this.extend(deadlineMs)
    return refused('noRoom')
  }

  stop (task: string, run: number, { term }: OrderContext): OrderOutcome {
    if (this.isFenced(term)) return refused('fenced')
    this.over.set(task, Math.max(run, this.over.get(task) ?? 0))
    const found = this.runs.get(keyOf(task, run))
    if (found !== undefined && !found.isStopping) {
      found.isStopping = true
      this.world.time.after(this.world.lot.between(10, stopMs), () => this.end(found, 'stopped'))
    }
    return { type: 'done' }
  }

  pace ({ term }: OrderContext): OrderOutcome {
    return this.isFenced(term) ? refused('fenced') : { type: 'done' }
  }

  /** Acknowledges ends, extends the lease and answers with both lists, once there is an end or the wait is over. */
  hold (request: OrderContext & { readonly acknowledged: number, readonly leaseEndMs?: number | undefined, readonly waitMs: number }, answer: (outcome: LookOutcome) => void): void {
    if (this.isFenced(request.term)) return answer(refused('fenced'))
    this.acknowledge(request.acknowledged)
    if (request.leaseEndMs !== undefined) this.extend(Math.floor(request.leaseEndMs))
    if (this.ends.length > 0 || request.waitMs <= 0) return answer(this.list())
    let isWaiting = true
    const wake = (): void => {
      if (!isWaiting || !this.isUp) return
      isWaiting = false
      answer(this.list())
    }
    this.waiters.push(wake)
    this.world.time.after(request.waitMs, wake)
  }

  /** Ends the boot; nothing of it remains. */
  crash (): void {
    if (!this.isUp) return
    this.isUp = false
    for (const run of this.runs.values()) this.world.history.ended(run.seen, 'crashed')
    this.runs.clear()
    for (const listener of this.onEnd.splice(0)) listener()
  }

  private crashSoon (task: string): void {
    this.world.history.crashing(task)
    this.world.time.after(crashAfterMs, () => { if (this.isUp) this.onCrash() })
  }

  private isFenced (term: number): boolean {
    if (term < this.fence) return true
    this.fence = term
    return false
  }

  private extend (deadlineMs: number): void {
    const leaseEnd = Math.min(deadlineMs, this.clock + longestLeaseMs)
    if (leaseEnd <= this.leaseEnd) return
    // A lease that has ended in the meantime lapses first, whatever comes now.
    this.lapseIfDue()
    this.leaseEnd = leaseEnd
    if (leaseEnd - this.clock > this.world.leaseMs) this.world.history.note(this.name, `lease of ${Math.round(leaseEnd - this.clock)} ms`)
    this.world.time.at(this.startedAt + (leaseEnd - this.clockBase) / this.rate, () => { if (this.leaseEnd === leaseEnd) this.lapseIfDue() })
  }

  private lapseIfDue (): void {
    if (!this.isUp || this.leaseEnd === 0 || this.clock < this.leaseEnd - 1e-6) return
    this.lapses += 1
    if (this.runs.size > 0) this.world.history.count('lease lapsed')
    for (const run of [...this.runs.values()]) this.end(run, 'lapsed')
  }

  private begin (task: string, run: number, isLasting: boolean): void {
    const { time, lot, history, isTroubled } = this.world
    const seen = history.started(task, run, this.name)
    const isStill = isTroubled && lot.chance(this.world.stillShare)
    const durationMs = lot.between(200, 3000)
    const begun: BootRun = { seen, begunAt: time.now, durationMs, isLasting, stillAt: isStill ? lot.whole(0, 90) : undefined, isStopping: false }
    this.runs.set(keyOf(task, run), begun)
    if (this.runs.size > slots) history.broken('LIMIT', task, `run ${run} is number ${this.runs.size} at ${this.name}`)
    if (isStill) return
    const fails = isTroubled && lot.chance(0.1)
    if (fails) time.after(durationMs * lot.next(), () => { if (!begun.isStopping) this.end(begun, 'failed') })
    else if (!isLasting) time.after(durationMs, () => { if (!begun.isStopping) this.end(begun, 'done') })
  }

  private end (run: BootRun, end: RunEnd): void {
    const { task, run: number } = run.seen
    if (!this.isUp || !this.runs.delete(keyOf(task, number))) return
    this.world.history.ended(run.seen, end)
    this.over.set(task, Math.max(number, this.over.get(task) ?? 0))
    this.endSequence += 1
    this.ends.push({ ended: { sequence: this.endSequence, task, run: number, end, checkpoint: '' }, seen: run.seen, lapses: this.lapses })
    for (const wake of this.waiters.splice(0)) wake()
  }

  private acknowledge (sequence: number): void {
    this.lapseIfDue()
    const noted = this.ends.filter(({ ended }) => ended.sequence <= sequence)
    this.ends = this.ends.filter(({ ended }) => ended.sequence > sequence)
    for (const { ended, seen, lapses } of noted) if (ended.end === 'done' && lapses === this.lapses) this.world.history.noted(seen)
  }

  private list (): LookOutcome {
    const { now } = this.world.time
    const running = [...this.runs.values()].map(({ seen, begunAt, durationMs, isLasting, stillAt }) => {
      const share = (now - begunAt) / (isLasting ? startupMs : durationMs)
      const percent = Math.min(stillAt ?? (isLasting ? 100 : 99), Math.floor(100 * share))
      return { task: seen.task, run: seen.run, checkpoint: '', percent, tailLatencyMs: 0, usedProcessors: 0 }
    })
    return { type: 'listed', bornMs: this.bornMs, clockMs: this.clockMs, running, ends: this.ends.map(({ ended }) => ended), hasMoreEnds: false }
  }
}

function keyOf (task: string, run: number): string { return `${task}#${run}` }

function refused (reason: Extract<OrderOutcome, { readonly type: 'refused' }>['reason']): Extract<OrderOutcome, { readonly type: 'refused' }> {
  return { type: 'refused', reason }
}
