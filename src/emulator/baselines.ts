import { PlacementPolicy, type Candidate, type PlacementContext, type JobBook, type StepTasks } from '../core/jobs'
import { hasRoomFor } from '../core/ledger/resources'
import { createOrder, LearningPolicy, reservationOf } from '../core/jobs'

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

/** The compared policies, by name; `ours` is the scheduler's default. */
export const policies: Readonly<Record<string, () => PlacementPolicy>> = {
  'first-come': () => new FirstComePolicy(),
  priority: () => new PriorityPolicy(),
  ours: () => new LearningPolicy()
}

/** The policies that settings can select instead of the default, by name. */
export const orderPolicies: Readonly<Record<string, () => PlacementPolicy>> = {
  'ours-value': () => new LearningPolicy(createOrder('value')),
  'ours-fair': () => new LearningPolicy(createOrder('due', true)),
  'ours-value-fair': () => new LearningPolicy(createOrder('value', true))
}
