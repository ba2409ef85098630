import { PlacementPolicy, type Candidate, type PlacementContext, type JobBook, type StepTasks } from '../core/jobs'
import { hasRoomFor } from '../core/ledger/resources'
import { reservationOf } from '../core/jobs'
import type { EmulationOptions } from './emulation'

/** A baseline: places tasks in the order of their jobs' arrival on the first worker with room. Filling tasks are placed as if they reserved their processors. */
export class FirstComePolicy extends PlacementPolicy {
  override order (book: JobBook): readonly StepTasks[] {
    return [...book.openJobs()].sort((a, b) => a.acceptedAt - b.acceptedAt).flatMap(job => book.startableSteps(job))
  }

  override suitability (candidate: Candidate, { step }: StepTasks, { liveOfStep }: PlacementContext): number | undefined {
    const already = liveOfStep.get(candidate.known.report.worker) ?? 0
    const isFree = !step.isFilling || step.processors <= candidate.freeResources.processors - candidate.filledProcessors
    const mayRun = isFree && hasRoomFor(candidate.freeResources, reservationOf(step)) && (step.maximumPerWorker === 0 || already < step.maximumPerWorker)
    return mayRun ? 0 : undefined
  }
}

/** A baseline: first come, first served within each queue priority. */
export class PriorityPolicy extends FirstComePolicy {
  override order (book: JobBook): readonly StepTasks[] {
    return [...super.order(book)].sort((a, b) => a.job.queue.priority - b.job.queue.priority)
  }
}

/** What decides in an emulation. */
export type Decider = Pick<EmulationOptions, 'policy' | 'scheduling'>

/** The compared deciders, by name; `ours` is the scheduler with default settings. */
export const deciders: Readonly<Record<string, Decider>> = {
  'first-come': { policy: () => new FirstComePolicy() },
  priority: { policy: () => new PriorityPolicy() },
  ours: {}
}

/** The scheduler with settings other than the default, by name. */
export const selectableDeciders: Readonly<Record<string, Decider>> = {
  'ours-feasible': { scheduling: { order: 'feasible' } },
  'ours-fair': { scheduling: { sharesFairly: true } },
  'ours-feasible-fair': { scheduling: { order: 'feasible', sharesFairly: true } }
}
