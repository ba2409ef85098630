import { countOccurrences, criticalPathMs, type Job, type JobBook, type JobOperation, type Queue, type Step, type Submission } from '../book'
import { objectiveMs, worthlessAfterObjectives } from '../order'
import { DrainRate, type DrainedAmounts } from './drainRate'
import { DurationFactors } from './durationFactors'

/** The way in which the tasks of a step use processors. */
export type WorkKind = 'reserving' | 'filling' | 'longRunning'

/** Amounts of accepted work that is not done. */
export interface BacklogAmounts {
  readonly waitingTasks: number
  readonly liveTasks: number
  /** Processor-milliseconds, corrected by the learned duration factors; 0 for long-running tasks, which do not end. */
  readonly workMs: number
  /** Processors of live tasks. */
  readonly liveProcessors: number
}

/** The backlog of one kind in one pool. */
export interface PoolBacklog extends BacklogAmounts {
  readonly pool: string
  readonly kind: WorkKind
}

/** Work of the jobs of one queue whose due times are close to each other. */
export interface WorkBucket {
  readonly priority: number
  readonly isStarted: boolean
  /** Mean due time of its jobs, a wall-clock time in milliseconds. */
  readonly dueAt: number
  /** Mean wall-clock time (milliseconds) after which its jobs are late if they have not started, and rank behind jobs in time. */
  readonly latestBeginAt: number
  /** Wall-clock time (milliseconds) at which the first of its jobs becomes worthless. */
  readonly worthlessAt: number
  /** Processor-milliseconds, corrected by the learned duration factors; the same for `fillingMs`. */
  readonly reservingMs: number
  readonly fillingMs: number
}

type Mutable<Value> = { -readonly [Key in keyof Value]: Value[Key] }
type MutableAmounts = Mutable<BacklogAmounts>
type MutableBucket = Mutable<Omit<WorkBucket, 'dueAt' | 'latestBeginAt'>> & { jobs: number, dueSum: number, chainSum: number, readonly key: string }

interface QueueBacklog {
  readonly name: string
  readonly pool: string
  readonly priority: number
  /** Declared work; the learned duration factor is applied on read. */
  readonly amounts: Readonly<Record<WorkKind, MutableAmounts>>
  /** Keyed by due time. Buckets of worthless jobs are dropped, as no job is scheduled after them. */
  readonly buckets: Map<string, MutableBucket>
}

interface StepCounts {
  waiting: number
  live: number
}

/** State per open job; 237 bytes for a job of two steps. */
interface OpenJob {
  readonly queue: QueueBacklog
  readonly job: Job
  readonly steps: readonly StepCounts[]
  bucket: MutableBucket
}

/** Share of the work of a live task that remains, on average. */
const liveRemainingShare = 0.5
/**
 * Least share of its declared processors that a filling task uses, as workers list. The lower end of the range is used, as a
 * job must not be refused for work that is never done.
 */
const fillingUseShare = 0.66
/** Buckets are at most an eighth of the objective wide, which bounds them to 48 per queue for each doubling of objectives. */
const bucketsPerObjective = 8

/** The kind of work of the tasks of a step. */
export function kindOf (step: Pick<Step, 'isLongRunning' | 'isFilling'>): WorkKind {
  return step.isLongRunning ? 'longRunning' : step.isFilling ? 'filling' : 'reserving'
}

/** The declared work of one task, in processor-milliseconds; 0 for long-running tasks. */
export function declaredWorkMs (step: Step): number {
  if (step.isLongRunning) return 0
  return step.processors * step.estimateMs * (step.isFilling ? fillingUseShare : 1)
}

/** The number of tasks of a submission, over all its occurrences. */
export function countTasks ({ steps, schedule }: Pick<Submission, 'steps' | 'schedule'>): number {
  return countOccurrences({ schedule }) * steps.reduce((sum, step) => sum + step.count, 0)
}

/**
 * The accepted work that is not done, by pool, kind and queue. It is updated by each operation that is recorded in the
 * leader's own book. The cost of a read grows with the number of queues and of their buckets, not with the number of jobs.
 */
export class BacklogModel {
  private readonly factors = new DurationFactors()
  private readonly queues = new Map<string, QueueBacklog>()
  private readonly open = new Map<string, OpenJob>()
  /** Assignment times of first runs, by task name. Only first runs are used to learn how long a task takes. */
  private readonly startedAt = new Map<string, number>()
  private readonly drain = new Map<string, DrainRate>()
  private waiting = 0
  private mostUrgentPriority = Number.POSITIVE_INFINITY
  private now = 0

  /** Rebuilds the backlog from the book of a new leadership; learned duration factors are kept. */
  begin (book: JobBook, wallClock: number): void {
    for (const index of [this.queues, this.open, this.startedAt, this.drain]) index.clear()
    this.waiting = 0
    this.mostUrgentPriority = Number.POSITIVE_INFINITY
    this.now = wallClock
    for (const job of book.openJobs()) this.add(job)
  }

  /** Sets the wall-clock time (milliseconds) of the following assignments, which carry no time of their own. */
  advance (wallClock: number): void { this.now = wallClock }

  /** Updates the backlog with an operation that has changed the book. */
  observe (operation: JobOperation, book: JobBook): void {
    switch (operation.type) {
      case 'acceptJob': {
        const job = book.job(operation.submission.jobId)
        if (job !== undefined && job.endedAt === undefined) this.add(job)
        return
      }
      case 'cancelJob': return this.remove(operation.jobId)
      case 'assignRun': return this.assigned(operation.task, operation.run)
      case 'endRun':
      case 'releaseRun': return this.finishRun(operation, book)
      case 'putManifest':
      case 'beginJobs':
      case 'learnPressures':
    }
  }

  /** Number of tasks of all jobs that wait for a worker or for an earlier step. */
  get waitingTasks (): number { return this.waiting }

  /** Records that jobs were submitted to a queue, whether they are accepted or not. */
  recordDemand ({ priority }: Pick<Queue, 'priority'>): void { this.mostUrgentPriority = Math.min(this.mostUrgentPriority, priority) }

  /** Whether jobs were submitted to queues of a more urgent priority during this leadership. */
  hasMoreUrgentQueue (priority: number): boolean { return this.mostUrgentPriority < priority }

  /** The learned duration of the tasks of a queue, as a multiple of the declared duration. */
  factorOf (queue: string): number { return this.factors.of(queue) }

  /** The factor of the work of a queue. It is at most 1 for filling tasks, which take longer when paced but do no more work. */
  workFactorOf (queue: string, kind: WorkKind): number { return kind === 'filling' ? Math.min(1, this.factorOf(queue)) : this.factorOf(queue) }

  /** The recent throughput of a pool, per second. */
  drainOf (pool: string, wallClock: number): DrainedAmounts {
    return this.drain.get(pool)?.read(wallClock) ?? { workMs: 0, tasks: 0 }
  }

  /** The backlog by pool and kind. */
  byPool (): readonly PoolBacklog[] {
    const found = new Map<string, Mutable<PoolBacklog>>()
    for (const { pool, name, amounts } of this.queues.values()) {
      for (const kind of workKinds) {
        const key = `${pool} ${kind}`
        const sum = found.get(key) ?? { pool, kind, waitingTasks: 0, liveTasks: 0, workMs: 0, liveProcessors: 0 }
        found.set(key, sum)
        const { waitingTasks, liveTasks, workMs, liveProcessors } = amounts[kind]
        sum.waitingTasks += waitingTasks
        sum.liveTasks += liveTasks
        sum.workMs += workMs * this.workFactorOf(name, kind)
        sum.liveProcessors += liveProcessors
      }
    }
    return [...found.values()]
  }

  /** The work of one pool or of all pools, in processor-milliseconds, without long-running tasks. */
  workMs (pool?: string): number {
    return this.byPool().reduce((sum, backlog) => sum + (pool === undefined || pool === backlog.pool ? backlog.workMs : 0), 0)
  }

  /** Processors that long-running tasks reserve in a pool. */
  longRunningProcessors (pool: string): number {
    let sum = 0
    for (const queue of this.queues.values()) if (queue.pool === pool) sum += queue.amounts.longRunning.liveProcessors
    return sum
  }

  /** The work of a pool, without buckets whose first job is worthless at a wall-clock time (milliseconds). */
  bucketsOf (pool: string, wallClock: number): readonly WorkBucket[] {
    const found: WorkBucket[] = []
    for (const queue of this.queues.values()) {
      if (queue.pool !== pool) continue
      const [reserving, filling] = [this.workFactorOf(queue.name, 'reserving'), this.workFactorOf(queue.name, 'filling')]
      for (const bucket of queue.buckets.values()) {
        if (bucket.worthlessAt <= wallClock) queue.buckets.delete(bucket.key)
        else found.push({ priority: bucket.priority, isStarted: bucket.isStarted, dueAt: bucket.dueSum / bucket.jobs, latestBeginAt: (bucket.dueSum - bucket.chainSum) / bucket.jobs, worthlessAt: bucket.worthlessAt, reservingMs: bucket.reservingMs * reserving, fillingMs: bucket.fillingMs * filling })
      }
    }
    return found
  }

  /** Number of jobs in the model, for a comparison with the book. */
  get openJobs (): number { return this.open.size }

  private add (job: Job): void {
    this.recordDemand(job.queue)
    const queue = this.queueOf(job.queue)
    const isStarted = job.state !== 'queued'
    const entry: OpenJob = { queue, job, steps: job.steps.map(() => ({ waiting: 0, live: 0 })), bucket: this.bucketFor(queue, job, isStarted) }
    enterBucket(entry)
    this.open.set(job.jobId, entry)
    for (const task of job.tasks) {
      if (task.state === 'waiting') this.change(entry, task.step, 1, 0)
      else if (task.state === 'live') this.change(entry, task.step, 0, 1)
    }
  }

  private remove (jobId: string): void {
    const entry = this.open.get(jobId)
    if (entry === undefined) return
    entry.steps.forEach(({ waiting, live }, step) => this.change(entry, step, -waiting, -live))
    this.open.delete(jobId)
    this.leaveBucket(entry)
    const { queue } = entry
    if (queue.buckets.size === 0 && workKinds.every(kind => queue.amounts[kind].waitingTasks + queue.amounts[kind].liveTasks === 0)) this.queues.delete(keyOf(entry.job.queue))
  }

  private assigned (name: string, run: number): void {
    const [jobId = '', , step] = name.split('.')
    const entry = this.open.get(jobId)
    if (entry === undefined) return
    if (run === 1) this.startedAt.set(name, this.now)
    if (!entry.bucket.isStarted) this.moveToStarted(entry)
    this.change(entry, Number(step), -1, 1)
  }

  private finishRun ({ task: name, ...operation }: Extract<JobOperation, { readonly type: 'endRun' | 'releaseRun' }>, book: JobBook): void {
    const startedAt = this.startedAt.get(name)
    this.startedAt.delete(name)
    const [jobId = '', , stepNumber] = name.split('.')
    const entry = this.open.get(jobId)
    // The remaining tasks of a cancelled or failed job were removed with the job.
    if (entry === undefined) return
    const isDone = book.task(name)?.state === 'done'
    this.change(entry, Number(stepNumber), isDone ? 0 : 1, -1)
    const step = entry.job.steps[Number(stepNumber)]
    if (isDone && step !== undefined && operation.type === 'endRun') this.learn(entry, step, startedAt, operation.at)
    if (book.job(jobId)?.endedAt !== undefined) this.remove(jobId)
  }

  private learn ({ queue }: OpenJob, step: Step, startedAt: number | undefined, at: number): void {
    if (startedAt !== undefined) this.factors.observe(queue.name, step.estimateMs, at - startedAt)
    let drain = this.drain.get(queue.pool)
    if (drain === undefined) {
      drain = new DrainRate()
      drain.begin(at)
      this.drain.set(queue.pool, drain)
    }
    drain.add(declaredWorkMs(step) * this.workFactorOf(queue.name, kindOf(step)), 1, at)
  }

  /** Changes the task counts of a step, and all sums that are derived from them. */
  private change (entry: OpenJob, stepNumber: number, waiting: number, live: number): void {
    const step = entry.job.steps[stepNumber]
    const counts = entry.steps[stepNumber]
    if (step === undefined || counts === undefined) return
    counts.waiting += waiting
    counts.live += live
    this.waiting += waiting
    const kind = kindOf(step)
    const workMs = (waiting + liveRemainingShare * live) * declaredWorkMs(step)
    const amounts = entry.queue.amounts[kind]
    amounts.waitingTasks += waiting
    amounts.liveTasks += live
    amounts.liveProcessors += live * step.processors
    amounts.workMs += workMs
    addWork(entry.bucket, kind, workMs)
  }

  private moveToStarted (entry: OpenJob): void {
    const { bucket: former, queue, job } = entry
    const next = this.bucketFor(queue, job, true)
    entry.steps.forEach(({ waiting, live }, number) => {
      const step = job.steps[number]
      if (step === undefined) return
      const workMs = (waiting + liveRemainingShare * live) * declaredWorkMs(step)
      addWork(former, kindOf(step), -workMs)
      addWork(next, kindOf(step), workMs)
    })
    this.leaveBucket(entry)
    entry.bucket = next
    enterBucket(entry)
  }

  private leaveBucket ({ bucket, queue, job }: OpenJob): void {
    bucket.jobs -= 1
    bucket.dueSum -= dueAt(job)
    bucket.chainSum -= criticalPathMs(job.steps)
    if (bucket.jobs === 0 && queue.buckets.get(bucket.key) === bucket) queue.buckets.delete(bucket.key)
  }

  private bucketFor (queue: QueueBacklog, job: Job, isStarted: boolean): MutableBucket {
    const objective = Math.max(1, objectiveMs(job))
    const width = 2 ** Math.floor(Math.log2(objective / bucketsPerObjective))
    const number = Math.floor(dueAt(job) / width)
    const key = `${isStarted} ${width} ${number}`
    const worthlessAt = job.acceptedAt + worthlessAfterObjectives * objective
    const known = queue.buckets.get(key)
    const bucket = known ?? { key, priority: queue.priority, isStarted, dueSum: 0, chainSum: 0, worthlessAt, reservingMs: 0, fillingMs: 0, jobs: 0 }
    bucket.worthlessAt = Math.min(bucket.worthlessAt, worthlessAt)
    queue.buckets.set(key, bucket)
    return bucket
  }

  private queueOf (queue: Queue): QueueBacklog {
    const key = keyOf(queue)
    const known = this.queues.get(key)
    if (known !== undefined) return known
    const created: QueueBacklog = { name: queue.name, pool: queue.pool, priority: queue.priority, amounts: { reserving: nothing(), filling: nothing(), longRunning: nothing() }, buckets: new Map() }
    this.queues.set(key, created)
    return created
  }
}

function dueAt (job: Job): number { return job.acceptedAt + objectiveMs(job) }

function enterBucket ({ bucket, job }: OpenJob): void {
  bucket.jobs += 1
  bucket.dueSum += dueAt(job)
  bucket.chainSum += criticalPathMs(job.steps)
}

const workKinds = ['reserving', 'filling', 'longRunning'] as const

function nothing (): MutableAmounts { return { waitingTasks: 0, liveTasks: 0, workMs: 0, liveProcessors: 0 } }

/** The key of a queue. A job keeps its queue as it was at acceptance, so several versions of a queue may exist at once. */
function keyOf ({ name, pool, priority }: Queue): string { return JSON.stringify([name, pool, priority]) }

function addWork (bucket: MutableBucket, kind: WorkKind, workMs: number): void {
  if (kind === 'reserving') bucket.reservingMs += workMs
  if (kind === 'filling') bucket.fillingMs += workMs
}

/** The length of the longest dependency chain of a submission, corrected by the duration factor of its queue, in milliseconds. */
export function chainMsOf (submission: Pick<Submission, 'steps'>, queue: Queue, model: Pick<BacklogModel, 'factorOf'>): number {
  return criticalPathMs(submission.steps) * model.factorOf(queue.name)
}
