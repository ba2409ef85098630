import type { Job, Step } from '../book'

/** How long the tasks of a step are expected to take at full speed, in milliseconds. */
export abstract class TaskDurations {
  abstract ofStep (job: Pick<Job, 'queue'>, step: Step): number
}

/** Expects what is declared. */
export class DeclaredDurations extends TaskDurations {
  override ofStep (_job: Pick<Job, 'queue'>, { estimateMs }: Step): number { return estimateMs }
}

/** The durations to expect where nothing is learned. */
export const declaredDurations: TaskDurations = new DeclaredDurations()
