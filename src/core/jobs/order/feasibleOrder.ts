import type { Job, JobBook, StepTasks } from '../book'
import { type CompetingWork, selectFeasible } from './feasibleSet'
import { JobOrder, startableSteps } from './jobOrder'
import { declaredWork, remainingWork } from './jobWork'
import { MeanWork } from './meanWork'
import { dueAt, worthlessAt } from './objective'
import { ServiceRate } from './serviceRate'
import { worthOfJob } from './worth'

/** What a job can still earn. */
type Prospect =
  /** It can be in time together with the other jobs of this kind. */
  | 'inTime'
  /** It can be done while it still earns something. */
  | 'late'
  /** It will earn nothing, unless others end sooner than expected. */
  | 'unlikely'
  | 'worthless'

interface CompetingJob extends CompetingWork {
  readonly job: Job
}

/** Jobs that compete for the same processors. */
interface Contenders {
  readonly jobs: CompetingJob[]
  /** Processors that their running tasks declare. */
  running: number
  /** Expected work that was completed since the last plan, in processor-milliseconds. */
  completed: number
}

/** Added to the rank of jobs that are not expected to be in time; larger than any priority of a queue. */
const lateRankOffset = 1_000_000
const prospectRanks: Readonly<Record<Prospect, number>> = { inTime: 0, late: 1, unlikely: 2, worthless: 3 }

/**
 * Earliest due date first among the jobs that can be in time together; then jobs that can still earn something late, and
 * others, by worth per remaining work. Load pattern: more work than the processors can do by its due times, where due dates
 * alone make every job late, and few of those that were begun are ever done.
 */
export class FeasibleOrder extends JobOrder {
  private readonly rates = new Map<string, ServiceRate>()
  private readonly meanWork = new MeanWork()
  /** The expected remaining work of each open job at the last plan, in processor-milliseconds. */
  private remaining: ReadonlyMap<string, number> = new Map()
  private prospects = new Map<string, Prospect>()

  override clear (): void {
    this.rates.clear()
    this.meanWork.clear()
    this.remaining = new Map()
    this.prospects.clear()
  }

  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    this.prospects = new Map()
    const densities = new Map<string, number>()
    for (const [key, contenders] of this.findContenders(book)) {
      for (const { job, density } of contenders.jobs) densities.set(job.jobId, density)
      this.predict(key, contenders, wallClock)
    }
    return startableSteps(book, wallClock)
      .map(group => {
        const prospect = this.prospectOf(group)
        return { group, rank: this.rankOf(group), prospect: prospectRanks[prospect], key: prospect === 'inTime' ? dueAt(group.job, this.durations) : -(densities.get(group.job.jobId) ?? 0) }
      })
      .sort((a, b) => a.rank - b.rank || a.prospect - b.prospect || a.key - b.key)
      .map(({ group }) => group)
  }

  override rankOf (group: StepTasks): number {
    if (group.step.isLongRunning) return -1
    const prospect = this.prospectOf(group)
    if (prospect === 'worthless') return Number.MAX_SAFE_INTEGER
    return group.job.queue.priority + (prospect === 'inTime' ? 0 : lateRankOffset)
  }

  private prospectOf ({ job }: StepTasks): Prospect { return this.prospects.get(job.jobId) ?? 'inTime' }

  /** Groups the open jobs by pool, priority, and whether they fill, as filling tasks use other processors than reserving ones. */
  private findContenders (book: JobBook): ReadonlyMap<string, Contenders> {
    const found = new Map<string, Contenders>()
    const contendersOf = (job: Job): Contenders => {
      const key = `${job.queue.pool} ${job.queue.priority} ${job.steps.some(step => step.isFilling)}`
      const contenders = found.get(key) ?? { jobs: [], running: 0, completed: 0 }
      found.set(key, contenders)
      return contenders
    }
    const remaining = new Map<string, number>()
    for (const [jobId, work] of this.remaining) {
      const job = book.job(jobId)
      if (job?.state === 'complete') contendersOf(job).completed += work
    }
    for (const job of book.openJobs()) {
      if (job.schedule !== undefined || job.steps.some(step => step.isLongRunning)) continue
      const contenders = contendersOf(job)
      const work = remainingWork(job, this.durations)
      const before = this.remaining.get(job.jobId)
      if (before === undefined) this.meanWork.observe(job.queue.name, declaredWork(job))
      contenders.completed += (before ?? work) - work
      remaining.set(job.jobId, work)
      const worth = worthOfJob(declaredWork(job), this.meanWork.of(job.queue.name))
      contenders.jobs.push({ job, work, dueAt: dueAt(job, this.durations), density: worth / Math.max(1, work) })
      for (const task of job.tasks) if (task.state === 'live') contenders.running += job.steps[task.step]?.processors ?? 0
    }
    this.remaining = remaining
    return found
  }

  private predict (key: string, { jobs, running, completed }: Contenders, wallClock: number): void {
    const rate = this.rates.get(key) ?? new ServiceRate()
    this.rates.set(key, rate)
    const processors = Math.max(1, rate.observe({ running, completed }, wallClock))
    const earning = jobs.filter(({ job }) => wallClock <= worthlessAt(job, this.durations))
    const inTime = selectFeasible(earning, wallClock, processors)
    const startsAt = wallClock + [...inTime].reduce((sum, { work }) => sum + work, 0) / processors
    const others = earning.filter(job => !inTime.has(job)).map(job => ({ ...job, dueAt: worthlessAt(job.job, this.durations) }))
    for (const { job } of jobs) this.prospects.set(job.jobId, 'worthless')
    for (const { job } of others) this.prospects.set(job.jobId, 'unlikely')
    for (const { job } of selectFeasible(others, startsAt, processors)) this.prospects.set(job.jobId, 'late')
    for (const { job } of inTime) this.prospects.set(job.jobId, 'inTime')
  }
}
