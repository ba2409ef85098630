import { type JobBook, nameTask } from '../book'
import type { WorkerRoster } from '../workers'

/** The tasks of the long-running jobs of a queue, and how many of them serve. */
export interface LongRunningLoad {
  readonly queue: string
  readonly tasks: number
  /** Tasks that their worker lists as completely started. */
  readonly atWork: number
  /** Tasks at work whose tail latency was above its target when it was last listed. */
  readonly aboveTarget: number
}

/** Summarises the long-running jobs of each queue. */
export function describeLongRunning (book: JobBook, roster: WorkerRoster): readonly LongRunningLoad[] {
  const queues = new Map<string, { tasks: number, atWork: number, aboveTarget: number }>()
  for (const job of book.openJobs()) {
    for (const task of job.tasks) {
      const step = job.steps[task.step]
      if (step?.isLongRunning !== true) continue
      const load = queues.get(job.queue.name) ?? { tasks: 0, atWork: 0, aboveTarget: 0 }
      queues.set(job.queue.name, load)
      load.tasks += 1
      const listed = task.state === 'live' ? roster.find(task.worker)?.running.get(nameTask(task)) : undefined
      if (listed?.run !== task.run || listed.percent < 100) continue
      load.atWork += 1
      if (step.targetMs > 0 && (listed.tailLatencyMs ?? 0) > step.targetMs) load.aboveTarget += 1
    }
  }
  return [...queues].map(([queue, load]) => ({ queue, ...load }))
}
