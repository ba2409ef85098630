import type { Job, JobBook } from '../book'
import { declaredWork } from './jobWork'
import { isWorthless } from './objective'

/** The largest tenth of a queue's jobs, the fifth below, and all others. */
type SizeClass = 'largest' | 'large' | 'usual'

/** Jobs of a queue by which its mean and its classes are judged: some seconds of a busy queue's arrivals. */
const sampledJobs = 100
/** Shares of a queue's jobs that are below the classes of the large ones. */
const classBounds: ReadonlyArray<readonly [SizeClass, number]> = [['largest', 0.9], ['large', 0.7]]
/** Ends of a class that are counted before older ones count half. */
const countedEnds = 100

/** A class keeps at least half of the others' chance; what begins may still fail, so more than half of it is aimed at. */
const leastChance = 0.6

interface Tally {
  /** Jobs that were done, or became worthless. */
  ended: number
  done: number
}

interface KnownJob {
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

/** How large the jobs of each queue are, and how many of each size class were done while they were worth something; soft state of an order. */
export class SizeClasses {
  private readonly queues = new Map<string, QueueSizes>()
  /** Jobs that are open and still worth something. */
  private readonly open = new Map<string, KnownJob>()

  /** Forgets everything, for a new leadership. */
  clear (): void {
    this.queues.clear()
    this.open.clear()
  }

  /** Takes the jobs that have come and ended since the last call. */
  observe (book: JobBook, wallClock: number): void {
    for (const job of book.openJobs()) {
      if (!this.open.has(job.jobId) && !isWorthless(job, wallClock) && !job.steps.some(step => step.isLongRunning)) this.learn(job)
    }
    for (const [jobId, { sizeClass, queue, job }] of this.open) {
      const { state } = book.job(jobId) ?? job
      const isDone = state === 'complete'
      if (!isDone && !isWorthless(job, wallClock)) continue
      this.open.delete(jobId)
      // A cancelled job had no chance that it could lose.
      if (state !== 'cancelled') count(queue.tallies[sizeClass], isDone)
    }
  }

  /** The declared work of a job in processor-milliseconds. */
  workOf (job: Job): number { return this.open.get(job.jobId)?.work ?? declaredWork(job) }

  /** The mean declared work of the jobs of a job's queue, in processor-milliseconds. */
  meanWork (job: Job): number { return this.queue(job).meanWork }

  private classOf (job: Job): SizeClass { return this.open.get(job.jobId)?.sizeClass ?? 'usual' }

  /**
   * Arranges jobs of one queue that have not begun: in their order, but a class of large jobs whose chance to be done is too
   * small against that of the usual ones comes first.
   */
  arrange<Item extends { readonly group: { readonly job: Job } }> (items: readonly Item[]): readonly Item[] {
    const [first] = items
    if (first === undefined) return items
    const { tallies } = this.queue(first.group.job)
    const lines: Record<SizeClass, Item[]> = { largest: [], large: [], usual: [] }
    for (const item of items) lines[this.classOf(item.group.job)].push(item)
    const taken: Record<SizeClass, number> = { largest: 0, large: 0, usual: 0 }
    const isTaken = new Set<Item>()
    let next = 0
    return items.map(() => {
      while (isTaken.has(items[next] ?? first)) next += 1
      const underserved = classBounds.find(([name]) => taken[name] < lines[name].length &&
        chanceOf(tallies[name], taken[name]) < leastChance * chanceOf(tallies.usual, taken.usual))
      const item = (underserved === undefined ? items[next] : lines[underserved[0]][taken[underserved[0]]]) ?? first
      taken[this.classOf(item.group.job)] += 1
      isTaken.add(item)
      return item
    })
  }

  private learn (job: Job): void {
    const queue = this.queue(job)
    const work = declaredWork(job)
    queue.samples.push(work)
    if (queue.samples.length > sampledJobs) queue.samples.shift()
    queue.meanWork = queue.samples.reduce((sum, sample) => sum + sample, 0) / queue.samples.length
    const sorted = [...queue.samples].sort((a, b) => a - b)
    const sizeClass = classBounds.find(([, share]) => work > (sorted[Math.floor(sorted.length * share)] ?? 0))?.[0] ?? 'usual'
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
  if (tally.ended >= countedEnds) Object.assign(tally, { ended: tally.ended / 2, done: tally.done / 2 })
  tally.ended += 1
  if (isDone) tally.done += 1
}

/** The share of the jobs of a class that were done, if so many more of them are; 1 if none has ended. */
function chanceOf ({ ended, done }: Tally, more: number): number {
  return ended === 0 ? 1 : (done + more) / ended
}
