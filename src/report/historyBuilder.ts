import { parseBoot } from '../core/jobs'
import { haltKey, type BacklogSample, type History, type JobRecord, type Period, type RunLoss, type RunRecord, type ServingSample, type StepRecord } from './jobRecord'
import type { LogEvent } from './logLine'

type Mutable<T> = { -readonly [Key in keyof T]: T[Key] }

interface MutableStep extends Mutable<Omit<StepRecord, 'runs'>> {
  readonly runs: Map<string, Array<Mutable<RunRecord>>>
}

interface MutableJob extends Mutable<Omit<JobRecord, 'steps'>> {
  readonly steps: Map<string, MutableStep>
}

const lossCauses: Readonly<Record<string, RunLoss['cause']>> = { failed: 'failed', stopped: 'stopped', lapsed: 'lost', broken: 'lost', alone: 'lost' }
/** A submission earlier than this before the acceptance belongs to a former job of the same path, in milliseconds. */
const maximumAdmissionMs = 120_000

/** Collects the lives of jobs from log events, which may arrive in any order between files. */
export class HistoryBuilder {
  private readonly jobs = new Map<string, MutableJob>()
  private readonly firstSubmissions = new Map<string, number>()
  private readonly halts = new Map<string, Period[]>()
  private readonly haltedSince = new Map<string, number>()
  /** When each entry process lost its leader; removed once it has found one. */
  private readonly leaderLostAt = new Map<string, number>()
  /** Periods in which an entry process knew no leader. */
  private readonly searches: Period[] = []
  private readonly leaderStarts: number[] = []
  private readonly serving: ServingSample[] = []
  private readonly backlog: BacklogSample[] = []
  private from = Number.POSITIVE_INFINITY
  private until = Number.NEGATIVE_INFINITY

  /** The events that `observe` uses. */
  static isWanted (event: string): boolean { return wanted.has(event) }

  /** Records one event; ignored if fields are missing, which happens with lines of earlier versions. */
  observe ({ at, event, fields }: LogEvent): void {
    this.from = Math.min(this.from, at)
    this.until = Math.max(this.until, at)
    const text = (key: string): string => fields.get(key) ?? ''
    switch (event) {
      case 'caller_answered': return this.submitted(at - Number(text('ms')), text('call'), text('path'))
      case 'job_accepted': return this.accepted(at, fields)
      case 'job_ended': return this.ended(at, text('job'), text('state'))
      case 'runs_assigned': return this.assigned(at, fields)
      case 'step_ended': return this.stepEnded(at, text('step'), text('last'))
      case 'run_ended': return this.runLost(text('task'), Number(text('run')), { at, cause: lossCauses[text('end')] ?? 'lost' })
      case 'run_released': return this.runLost(text('task'), Number(text('run')), { at, cause: 'lost' })
      case 'filling_paced': return this.paced(at, haltKey(parseBoot(text('worker')).agent, text('image')), Number(text('percent')))
      case 'leader_lost': if (text('role') === 'entry') this.leaderLostAt.set(text('node'), at)
        return
      case 'leader_found': return this.foundLeader(at, text('node'))
      case 'leading': this.leaderStarts.push(at)
        return
      case 'load':
        this.backlog.push({ at, waitingTasks: Number(text('waiting')) })
        // A leader that has just begun knows of no worker yet, and so of no task at work.
        if (text('workers') !== '0') this.sampled(at, text('long_running'))
    }
  }

  /** Everything that was observed, with open periods closed at the last event. */
  build (): History {
    const jobs = [...this.jobs.values()].filter(job => job.acceptedAt > 0).map(job => this.freeze(job))
    for (const [key, since] of this.haltedSince) this.halts.set(key, [...this.halts.get(key) ?? [], { from: since, until: this.until }])
    // A process that loses its stream searches for the leader, too; only if another one begins meanwhile, there was none.
    const leaderless = this.leaderStarts.flatMap(until => this.searches.filter(search => search.from <= until && until <= search.until).map(({ from }) => ({ from, until })))
    return { jobs, halts: this.halts, leaderless: mergePeriods(leaderless), serving: this.serving, backlog: this.backlog.sort((a, b) => a.at - b.at), from: this.from, until: this.until }
  }

  private foundLeader (at: number, node: string): void {
    const from = this.leaderLostAt.get(node)
    if (from !== undefined) this.searches.push({ from, until: at })
    this.leaderLostAt.delete(node)
  }

  private freeze (job: MutableJob): JobRecord {
    const submittedAt = Math.min(job.acceptedAt, this.firstSubmissions.get(job.jobId) ?? job.acceptedAt)
    return { ...job, submittedAt: job.acceptedAt - submittedAt > maximumAdmissionMs ? job.acceptedAt : submittedAt, steps: [...job.steps.values()] }
  }

  private submitted (at: number, call: string, path: string): void {
    const jobId = path.slice(path.lastIndexOf('/') + 1)
    if (call === 'submit' && jobId !== '') this.firstSubmissions.set(jobId, Math.min(at, this.firstSubmissions.get(jobId) ?? at))
  }

  private accepted (at: number, fields: ReadonlyMap<string, string>): void {
    const job = this.job(fields.get('job') ?? '')
    // A leader that was deposed before the commit has logged the same acceptance before.
    Object.assign(job, {
      queue: fields.get('queue') ?? '',
      acceptedAt: at,
      workMs: Number(fields.get('work_ms') ?? 0),
      objectiveMs: readNumber(fields, 'objective_ms'),
      slackFactor: readNumber(fields, 'slack'),
      latencyMs: readNumber(fields, 'latency_ms'),
      isLongRunning: fields.get('long_running') === 'true'
    })
  }

  private ended (at: number, jobId: string, state: string): void {
    this.job(jobId).end ??= { at, state }
  }

  private assigned (at: number, fields: ReadonlyMap<string, string>): void {
    const step = this.step(fields.get('step') ?? '')
    step.image = fields.get('image') ?? ''
    for (const [, index = '', run, agent = ''] of (fields.get('runs') ?? '').matchAll(/(\d+):(\d+)@([^,]+)/g)) {
      const runs = step.runs.get(index) ?? []
      step.runs.set(index, runs)
      if (!runs.some(known => known.run === Number(run))) runs.push({ run: Number(run), agent, assignedAt: at })
    }
  }

  private stepEnded (at: number, name: string, last: string): void {
    const step = this.step(name)
    step.endedAt ??= at
    step.lastTask ??= last.split(':')[0]
  }

  private runLost (task: string, run: number, loss: RunLoss): void {
    const position = task.lastIndexOf('.')
    const found = this.step(task.slice(0, position)).runs.get(task.slice(position + 1))?.find(known => known.run === run)
    if (found !== undefined) found.loss ??= loss
  }

  private paced (at: number, key: string, percent: number): void {
    const since = this.haltedSince.get(key)
    if (percent === 0 && since === undefined) this.haltedSince.set(key, at)
    if (percent === 0 || since === undefined) return
    this.haltedSince.delete(key)
    this.halts.set(key, [...this.halts.get(key) ?? [], { from: since, until: at }])
  }

  private sampled (at: number, queues: string): void {
    for (const [, queue = '', tasks, atWork, aboveTarget] of queues.matchAll(/([^:,]+):(\d+)\/(\d+)\/(\d+)/g)) {
      this.serving.push({ at, queue, tasks: Number(tasks), atWork: Number(atWork), aboveTarget: Number(aboveTarget) })
    }
  }

  private job (jobId: string): MutableJob {
    const known = this.jobs.get(jobId)
    if (known !== undefined) return known
    const job: MutableJob = { jobId, queue: '', submittedAt: 0, acceptedAt: 0, workMs: 0, isLongRunning: false, steps: new Map() }
    this.jobs.set(jobId, job)
    return job
  }

  private step (name: string): MutableStep {
    const [jobId = '', , number] = name.split('.')
    const { steps } = this.job(jobId)
    const known = steps.get(name)
    if (known !== undefined) return known
    const step: MutableStep = { number: Number(number), image: '', runs: new Map() }
    steps.set(name, step)
    return step
  }
}

const wanted = new Set(['caller_answered', 'job_accepted', 'job_ended', 'runs_assigned', 'step_ended', 'run_ended', 'run_released', 'filling_paced', 'leader_lost', 'leader_found', 'leading', 'load'])

function readNumber (fields: ReadonlyMap<string, string>, key: string): number | undefined {
  const text = fields.get(key)
  return text === undefined ? undefined : Number(text)
}

/** Joins periods that overlap. */
function mergePeriods (periods: readonly Period[]): readonly Period[] {
  const merged: Period[] = []
  for (const period of [...periods].sort((a, b) => a.from - b.from)) {
    const last = merged.at(-1)
    if (last === undefined || period.from > last.until) merged.push(period)
    else merged[merged.length - 1] = { from: last.from, until: Math.max(last.until, period.until) }
  }
  return merged
}
