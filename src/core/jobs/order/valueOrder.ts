import type { Job, JobBook, StepTasks } from '../book'
import { arrangePlaces } from './arrangePlaces'
import { begunFirst, JobOrder, startableSteps } from './jobOrder'
import { remainingWork } from './jobWork'
import { objectiveMs } from './objective'
import { SizeClasses } from './sizeClasses'

/** The worth of a job, as the users value it: a fixed part, and one that grows with its work over the mean of its queue. */
const fixedWorth = 0.3
const worthByWork = 0.7
/** A large job is worth at most this many times the mean one. */
const mostWorth = 4
/** Objectives after which a job that still waits gets its turn: twice the time after which it earns nothing, so that it takes nothing from those that do for as long as it can. */
const agedAfterObjectives = 6
/** How long one aged job of a queue has its turn, in milliseconds; a task of the longest usual kind fits in. */
const turnMs = 5000

interface Keys {
  readonly group: StepTasks
  readonly rank: number
  /** 0 for a step of which some task has begun, 1 for others. */
  readonly step: number
  /** 0 for a job that has begun, 1 for others. */
  readonly begun: number
  readonly workForWorth: number
}

/**
 * Within a rank, the last tasks of a step first, then begun jobs, then those with the least work left for what they are
 * worth. Load pattern: more jobs than fit for many seconds, of which the order of due times begins large and small ones
 * alike and ends few of them in time. Large jobs keep a part of the chance of the others, and jobs which have waited for
 * very long take turns.
 */
export class ValueOrder extends JobOrder {
  private readonly sizes = new SizeClasses()

  override order (book: JobBook, wallClock: number): readonly StepTasks[] {
    this.sizes.observe(book, wallClock)
    const groups = startableSteps(book, wallClock)
    const onTurn = jobsOnTurn(groups, wallClock)
    const sorted = groups
      .map(group => this.keysOf(group, wallClock, onTurn.has(group.job)))
      .sort((a, b) => a.rank - b.rank || a.step - b.step || a.begun - b.begun || a.workForWorth - b.workForWorth)
    return arrangePlaces(sorted, newJobKey, items => this.sizes.arrange(items)).map(({ group }) => group)
  }

  override clear (): void { this.sizes.clear() }

  private keysOf (group: StepTasks, wallClock: number, isOnTurn: boolean): Keys {
    const { job } = group
    return {
      group,
      rank: isOnTurn ? job.queue.priority : this.rankOf(group, wallClock),
      step: isOnTurn || group.tasks.some(task => task.state !== 'waiting') ? 0 : 1,
      begun: begunFirst(job),
      workForWorth: remainingWork(job) / this.worthOf(job)
    }
  }

  private worthOf (job: Job): number {
    const mean = this.sizes.meanWork(job)
    return Math.min(mostWorth, fixedWorth + worthByWork * (mean > 0 ? this.sizes.workOf(job) / mean : 1))
  }
}

/** Jobs that have not begun and can be in time compete within their queue. */
function newJobKey ({ group: { job }, rank, begun, step }: Keys): string | undefined {
  return begun === 1 && step === 1 && rank === job.queue.priority ? `${rank} ${job.queue.name}` : undefined
}

/** One aged job of each queue. They take turns, as the oldest may be one that no worker can hold. */
function jobsOnTurn (groups: readonly StepTasks[], wallClock: number): ReadonlySet<Job> {
  const aged = new Map<string, Set<Job>>()
  for (const { job, step } of groups) {
    if (step.isLongRunning || job.schedule !== undefined || wallClock <= job.acceptedAt + agedAfterObjectives * objectiveMs(job)) continue
    aged.set(job.queue.name, (aged.get(job.queue.name) ?? new Set()).add(job))
  }
  return new Set([...aged.values()].flatMap(jobs => [...jobs].slice(Math.floor(wallClock / turnMs) % jobs.size).slice(0, 1)))
}
