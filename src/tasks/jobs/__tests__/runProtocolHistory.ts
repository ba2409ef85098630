import type { RunEnd } from '../../../core/jobs'
import type { Logger, LogFields } from '../../../observability'
import type { VirtualTime } from './runProtocolTime'

/** One run as its worker saw it. */
export interface SeenRun {
  readonly task: string
  readonly run: number
  /** The boot of the worker, with its place. */
  readonly boot: string
  readonly startedAt: number
  endedAt?: number
  end?: RunEnd | 'crashed'
  /** Whether the end was acknowledged to the worker, without a lapse of its lease in between. */
  isNoted: boolean
}

/** A promise of the system that a history broke. */
export interface Breach {
  readonly rule: 'TWICE' | 'DONE AGAIN' | 'LOST' | 'UNASKED' | 'CLOSED' | 'BUDGET' | 'LIMIT'
  readonly task: string
  readonly what: string
}

interface TraceLine {
  readonly at: number
  readonly who: string
  readonly what: string
  /** The task concerned; undefined for troubles, which may concern all. */
  readonly task: string | undefined
}

/** What happened in one history, from the workers' view, and whether it broke a rule. */
export class RunHistory {
  breach: Breach | undefined
  readonly counts = new Map<string, number>()
  private readonly lines: TraceLine[] = []
  private readonly runs = new Map<string, SeenRun[]>()
  /** Since when zones are evacuated, as operators know it. */
  private readonly closedSince = new Map<string, number>()

  constructor (private readonly time: VirtualTime) {}

  /** Counts an event of which a history should have some. */
  count (event: string): void { this.counts.set(event, (this.counts.get(event) ?? 0) + 1) }

  note (who: string, what: string, task?: string): void {
    this.lines.push({ at: this.time.now, who, what, task })
  }

  /** Runs that were started. */
  get startCount (): number { return [...this.runs.values()].reduce((sum, runs) => sum + runs.length, 0) }

  runsOf (task: string): readonly SeenRun[] { return this.runs.get(task) ?? [] }

  /** Takes the acknowledgement of an order to evacuate a zone. */
  closed (zone: string): void {
    this.closedSince.set(zone, this.time.now)
    this.note('operators', `CLOSED ${zone}`)
  }

  /** Takes that an order to evacuate a zone is about to be withdrawn. */
  opened (zone: string): void {
    this.closedSince.delete(zone)
    this.note('operators', `OPENED ${zone}`)
  }

  /** Takes that an agent sends a start, and checks it against evacuations. */
  startSent (task: string, run: number, { name, zone }: { readonly name: string, readonly zone: string }): void {
    const closedMs = this.time.now - (this.closedSince.get(zone) ?? this.time.now)
    if (closedMs > closedBoundMs) this.broken('CLOSED', task, `run ${run} was sent to ${name} ${Math.round(closedMs)} ms after the evacuation of ${zone} was acknowledged`)
  }

  /** Takes that a task was started which crashes its worker, and checks how often that was. */
  crashing (task: string): void {
    this.count('crashing start')
    const starts = this.runsOf(task).length
    if (starts > countedCrashes + maximumFurtherStarts) this.broken('BUDGET', task, `start ${starts} of a task that crashes its workers`)
  }

  /** Takes the start of a run and checks it against the former ones of its task. */
  started (task: string, run: number, boot: string): SeenRun {
    const seen: SeenRun = { task, run, boot, startedAt: this.time.now, isNoted: false }
    const former = this.runs.get(task) ?? []
    this.runs.set(task, [...former, seen])
    this.note(boot, `RUNS run=${run}`, task)
    const beside = former.find(other => other.endedAt === undefined)
    if (beside !== undefined) this.broken('TWICE', task, `run ${run} at ${boot} began while run ${beside.run} ran at ${beside.boot}`)
    const done = former.find(other => other.isNoted)
    if (done !== undefined) this.broken('DONE AGAIN', task, `run ${run} at ${boot} began after run ${done.run} had ended done and this was acknowledged`)
    return seen
  }

  ended (seen: SeenRun, end: RunEnd | 'crashed'): void {
    seen.endedAt = this.time.now
    seen.end = end
    this.note(seen.boot, `ENDS run=${seen.run} ${end}`, seen.task)
  }

  /** Takes the acknowledgement of an end `done` and checks that no run began after that end. */
  noted (seen: SeenRun): void {
    seen.isNoted = true
    this.note(seen.boot, `end of run=${seen.run} acknowledged`, seen.task)
    const { endedAt } = seen
    const later = this.runsOf(seen.task).find(other => other !== seen && endedAt !== undefined && other.startedAt >= endedAt)
    if (later !== undefined) this.broken('DONE AGAIN', seen.task, `run ${seen.run} ended done, run ${later.run} began at ${later.boot}, and then that end was acknowledged`)
  }

  broken (rule: Breach['rule'], task: string, what: string): void {
    this.breach ??= { rule, task, what }
    this.note('check', `${rule}: ${what}`, task)
  }

  /** All that happened, to compare two histories. */
  get everything (): string { return this.lines.map(({ at, who, what }) => `${at} ${who} ${what}`).join('\n') }

  /** The events of a task, with the troubles at the places where it ran. */
  trace (task: string): string {
    const places = new Set(this.runsOf(task).map(seen => seen.boot.split('/')[0]))
    const first = this.lines.find(line => line.task === task)?.at ?? 0
    const isNear = ({ at, who }: TraceLine): boolean => at >= first - 3000 && (places.has(who.split('/')[0]) || !who.startsWith('vm'))
    // Of a task that never ran, what happened last at all places shows why.
    const troubles = this.lines.filter(line => line.task === undefined)
    const shown = new Set(places.size === 0 ? troubles.slice(-shownTroubles) : troubles.filter(isNear))
    return this.lines
      .filter(line => line.task === task || shown.has(line))
      .map(line => `${(line.at / 1000).toFixed(4).padStart(9)} ${line.who.padEnd(12)} ${line.what}`)
      .join('\n')
  }

  /** A logger of product code whose lines go into the trace. */
  logger (who: string): Logger {
    const take = (event: string, fields: LogFields = {}): void => {
      const { task, ...others } = fields
      if (typeof task === 'string' || tracedEvents.has(event)) {
        this.note(who, `log ${event} ${Object.entries(others).map(([key, value]) => `${key}=${value ?? ''}`).join(' ')}`, typeof task === 'string' ? task : undefined)
      }
    }
    const logger: Logger = { debug: take, info: take, warn: take, error: take, with: () => logger }
    return logger
  }
}

/** How long after its acknowledgement an evacuation may leave starts open, in milliseconds: the silence after which an agent that is cut off ends its stream, and the delay of what was lost meanwhile. */
const closedBoundMs = 2000

/** The crashes under one task after which the platform limits its further starts, and that limit. */
const countedCrashes = 3
const maximumFurtherStarts = 2

/** Troubles shown of a history in which a task never ran. */
const shownTroubles = 40

/** Events without a task that explain what follows. */
const tracedEvents = new Set(['worker_registered', 'registration_confirmed', 'registration_refuted', 'registration_given_up', 'worker_ended', 'worker_leaving', 'worker_report_stale', 'leading', 'following'])
