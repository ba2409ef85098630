import { BoundedMap } from '../../boundedMap'

/** Least weight of the newest job in the mean of its queue. */
const minimumWeight = 0.02
/** Queues whose means are kept. */
const maximumQueues = 1000

interface Mean {
  readonly jobs: number
  readonly work: number
}

/** The mean work of the jobs of each queue, in processor-milliseconds; newer jobs weigh more. */
export class MeanWork {
  private readonly means = new BoundedMap<string, Mean>(maximumQueues)

  clear (): void { this.means.clear() }

  observe (queue: string, work: number): void {
    const known = this.means.get(queue) ?? { jobs: 0, work: 0 }
    const jobs = known.jobs + 1
    this.means.set(queue, { jobs, work: known.work + Math.max(minimumWeight, 1 / jobs) * (work - known.work) })
  }

  /** The mean of a queue; 0 if no job of it was observed. */
  of (queue: string): number { return this.means.get(queue)?.work ?? 0 }
}
