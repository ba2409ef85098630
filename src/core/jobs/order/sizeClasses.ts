import type { Job, JobBook } from '../book'
import type { TaskDurations } from '../durations'
import { declaredWork } from './jobWork'
import { isWorthless } from './objective'

/** The largest tenth of the jobs of a queue, the fifth below it, and all others. */
type SizeClass = 'largest' | 'large' | 'usual'

/** Latest jobs of a queue from which its mean and its class bounds are computed: a few seconds of arrivals of a busy queue. */
const sampledJobCount = 100
/** Quantile of the declared work above which a job belongs to a class, the largest class first. */
const classQuantiles: ReadonlyArray<readonly [SizeClass, number]> = [['largest', 0.9], ['large', 0.7]]
/** Ended jobs of a class after which its tally is halved, so that older ends weigh less. */
const tallyHalvingEnds = 100

/**
 * The least completion rate of a class of large jobs, as a share of the rate of usual jobs. At least half is guaranteed; the
 * target is higher, as a job that starts may still fail.
 */
const minimumCompletionRatio = 0.6

interface Tally {
  /** Jobs that were completed or became worthless. */
  ended: number
  done: number
}

interface TrackedJob {
  readonly work: number
  readonly sizeClass: SizeClass
  readonly queue: QueueSizes
  readonly job: Job
}

interface QueueSizes {
  readonly samples: number[]
  meanWork: number
  readonly tallies: Readonly<Record<SizeClass, Tally>>
}

/**
 * Tracks the sizes of the jobs of each queue, and how many jobs of each size class were completed before they became
 * worthless. The state is kept in memory only; a new leader learns it again.
 */
export class SizeClasses {
  private readonly queues = new Map<string, QueueSizes>()
  /** Open jobs that are not worthless, by job id. */
  private readonly open = new Map<string, TrackedJob>()

  constructor (private readonly durations: TaskDurations) {}

  /** Discards all state when a new leadership begins. */
  clear (): void {
    this.queues.clear()
    this.open.clear()
  }

  /** Records the jobs that were accepted, and those that ended or became worthless, since the last call. */
  observe (book: JobBook, wallClock: number): void {
    for (const job of book.openJobs()) {
      if (!this.open.has(job.jobId) && !isWorthless(job, wallClock, this.durations) && !job.steps.some(step => step.isLongRunning)) this.classify(job)
    }
    for (const [jobId, { sizeClass, queue, job }] of this.open) {
      const { state } = book.job(jobId) ?? job
      const isDone = state === 'complete'
      if (!isDone && !isWorthless(job, wallClock, this.durations)) continue
      this.open.delete(jobId)
      // A cancelled job says nothing about whether its class is served.
      if (state !== 'cancelled') count(queue.tallies[sizeClass], isDone)
    }
  }

  /** The declared work of a job in processor-milliseconds. */
  workOf (job: Job): number { return this.open.get(job.jobId)?.work ?? declaredWork(job) }

  /** The mean declared work of the jobs of a job's queue, in processor-milliseconds. */
  meanWork (job: Job): number { return this.queue(job).meanWork }

  private classOf (job: Job): SizeClass { return this.open.get(job.jobId)?.sizeClass ?? 'usual' }

  /**
   * Reorders queued jobs of one queue: they keep their order, except that jobs of a class of large jobs come first while the
   * completion rate of that class is too low compared with that of the usual jobs.
   */
  reorder<Item extends { readonly group: { readonly job: Job } }> (items: readonly Item[]): readonly Item[] {
    const [first] = items
    if (first === undefined) return items
    const { tallies } = this.queue(first.group.job)
    const itemsByClass: Record<SizeClass, Item[]> = { largest: [], large: [], usual: [] }
    for (const item of items) itemsByClass[this.classOf(item.group.job)].push(item)
    const taken: Record<SizeClass, number> = { largest: 0, large: 0, usual: 0 }
    const takenItems = new Set<Item>()
    let next = 0
    return items.map(() => {
      while (takenItems.has(items[next] ?? first)) next += 1
      const underserved = classQuantiles.find(([name]) => taken[name] < itemsByClass[name].length &&
        completionRate(tallies[name], taken[name]) < minimumCompletionRatio * completionRate(tallies.usual, taken.usual))
      const item = (underserved === undefined ? items[next] : itemsByClass[underserved[0]][taken[underserved[0]]]) ?? first
      taken[this.classOf(item.group.job)] += 1
      takenItems.add(item)
      return item
    })
  }

  private classify (job: Job): void {
    const queue = this.queue(job)
    const work = declaredWork(job)
    queue.samples.push(work)
    if (queue.samples.length > sampledJobCount) queue.samples.shift()
    queue.meanWork = queue.samples.reduce((sum, sample) => sum + sample, 0) / queue.samples.length
    const sorted = [...queue.samples].sort((a, b) => a - b)
    const sizeClass = classQuantiles.find(([, share]) => work > (sorted[Math.floor(sorted.length * share)] ?? 0))?.[0] ?? 'usual'
    this.open.set(job.jobId, { work, sizeClass, queue, job })
  }

  private queue ({ queue }: Job): QueueSizes {
    const found = this.queues.get(queue.name) ?? {
      samples: [],
      meanWork: 0,
      tallies: { largest: { ended: 0, done: 0 }, large: { ended: 0, done: 0 }, usual: { ended: 0, done: 0 } }
    }
    this.queues.set(queue.name, found)
    return found
  }
}

function count (tally: Tally, isDone: boolean): void {
  if (tally.ended >= tallyHalvingEnds) Object.assign(tally, { ended: tally.ended / 2, done: tally.done / 2 })
  tally.ended += 1
  if (isDone) tally.done += 1
}

/** The completed share of the ended jobs of a class, with `more` further completions; 1 if none has ended. */
function completionRate ({ ended, done }: Tally, more: number): number {
  return ended === 0 ? 1 : (done + more) / ended
}
