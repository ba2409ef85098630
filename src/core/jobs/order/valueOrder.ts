import type { Job, JobBook, StepTasks } from '../book'
import type { TaskDurations } from '../durations'
import { reorderWithinKeys } from './reorderWithinKeys'
import { activeFirstKey, JobOrder, startableSteps } from './jobOrder'
import { remainingWork } from './jobWork'
import { objectiveMs } from './objective'
import { SizeClasses } from './sizeClasses'
import { worthOfJob } from './worth'

/**
 * Objectives after which a job that still waits is boosted to prevent starvation. This is twice the time after which it
 * earns nothing, so that it takes capacity from jobs with worth as late as possible.
 */
const agedAfterObjectives = 6
/** Time for which one aged job of a queue is boosted, in milliseconds; a task of the longest usual kind fits within it. */
const boostMs = 5000

interface SortKeys {
  readonly group: StepTasks
  readonly rank: number
  /** 0 for a step of which some task has started, 1 for others. */
  readonly step: number
  /** 0 for a started job, 1 for others. */
  readonly begun: number
  readonly workPerWorth: number
}

/**
 * Orders the steps of a rank by: steps with started tasks first, then started jobs, then the least remaining work per worth.
 * Intended for overload that lasts for many seconds, in which `DueOrder` starts large and small jobs alike and completes few
 * of them in time. Large jobs keep a minimum completion rate relative to the others, and aged jobs are boosted in rotation.
 */
export class ValueOrder extends JobOrder {
  private readonly sizes = new SizeClasses(this.durations)

  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    this.sizes.observe(book, wallClock)
    const groups = startableSteps(book, wallClock)
    const boosted = selectBoostedJobs(groups, wallClock, this.durations)
    const sorted = groups
      .map(group => this.keysOf(group, wallClock, boosted.has(group.job)))
      .sort((a, b) => a.rank - b.rank || a.step - b.step || a.begun - b.begun || a.workPerWorth - b.workPerWorth)
    return reorderWithinKeys(sorted, queuedJobKey, items => this.sizes.reorder(items)).map(({ group }) => group)
  }

  override clear (): void { this.sizes.clear() }

  private keysOf (group: StepTasks, wallClock: number, isBoosted: boolean): SortKeys {
    const { job } = group
    return {
      group,
      rank: isBoosted ? job.queue.priority : this.rankOf(group, wallClock),
      step: isBoosted || group.tasks.some(task => task.state !== 'waiting') ? 0 : 1,
      begun: activeFirstKey(job),
      workPerWorth: remainingWork(job, this.durations) / this.worthOf(job)
    }
  }

  private worthOf (job: Job): number {
    return worthOfJob(this.sizes.workOf(job), this.sizes.meanWork(job))
  }
}

/** The key under which queued jobs that can be in time are reordered by size class: their rank and queue. */
function queuedJobKey ({ group: { job }, rank, begun, step }: SortKeys): string | undefined {
  return begun === 1 && step === 1 && rank === job.queue.priority ? `${rank} ${job.queue.name}` : undefined
}

/** Selects one aged job of each queue, in rotation, as the oldest one may fit on no worker. */
function selectBoostedJobs (groups: readonly StepTasks[], wallClock: number, durations: TaskDurations): ReadonlySet<Job> {
  const aged = new Map<string, Set<Job>>()
  for (const { job, step } of groups) {
    if (step.isLongRunning || job.schedule !== undefined || wallClock <= job.acceptedAt + agedAfterObjectives * objectiveMs(job, durations)) continue
    aged.set(job.queue.name, (aged.get(job.queue.name) ?? new Set()).add(job))
  }
  return new Set([...aged.values()].flatMap(jobs => [...jobs].slice(Math.floor(wallClock / boostMs) % jobs.size).slice(0, 1)))
}
