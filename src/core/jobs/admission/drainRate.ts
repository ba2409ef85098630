/** Work completed per second. */
export interface DrainedAmounts {
  /** Processor-milliseconds per second. */
  readonly workMs: number
  /** Tasks per second. */
  readonly tasks: number
}

interface Slot {
  readonly number: number
  workMs: number
  tasks: number
}

/** Length of a slot of the sliding window, in milliseconds. */
const slotMs = 500
/** Slots of the window, which spans 5 s: at least one step of the longest usual tasks ends in that time. */
const slotCount = 10

/** Measures the work completed per second over a sliding window of 5 s. */
export class DrainRate {
  private slots: Slot[] = []
  private since: number | undefined

  /** Starts an empty window at a time in milliseconds. */
  begin (now: number): void {
    this.slots = []
    this.since = now
  }

  /** Adds completed work, in processor-milliseconds, and completed tasks. */
  add (workMs: number, tasks: number, now: number): void {
    const number = Math.floor(now / slotMs)
    const newest = this.slots.at(-1)
    if (newest === undefined || newest.number < number) this.slots.push({ number, workMs, tasks })
    else {
      newest.workMs += workMs
      newest.tasks += tasks
    }
    while (this.slots.length > slotCount) this.slots.shift()
  }

  /** The rate at a time in milliseconds; over a shorter window if the measurement started less than one window before. */
  read (now: number): DrainedAmounts {
    const oldest = Math.floor(now / slotMs) - slotCount
    const windowMs = Math.min(slotCount * slotMs, Math.max(slotMs, now - (this.since ?? now)))
    let [workMs, tasks] = [0, 0]
    for (const slot of this.slots) {
      if (slot.number <= oldest) continue
      workMs += slot.workMs
      tasks += slot.tasks
    }
    return { workMs: workMs * 1000 / windowMs, tasks: tasks * 1000 / windowMs }
  }
}
