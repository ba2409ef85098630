/** What was done lately, for each second. */
export interface DrainedAmounts {
  /** Processor-milliseconds a second. */
  readonly workMs: number
  /** Tasks a second. */
  readonly tasks: number
}

interface Slot {
  readonly number: number
  workMs: number
  tasks: number
}

/** Length of one slot of the window, in milliseconds. */
const slotMs = 500
/** Slots of the window: 5 s, in which at least one step of the longest usual tasks ends. */
const slotCount = 10

/** Measures how much work is done a second, over the last seconds. */
export class DrainRate {
  private slots: Slot[] = []
  private since: number | undefined

  /** Begins anew. */
  begin (now: number): void {
    this.slots = []
    this.since = now
  }

  /** Takes work that was done. */
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

  /** The rate at a time; of a shorter window if it began less than one ago. */
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
