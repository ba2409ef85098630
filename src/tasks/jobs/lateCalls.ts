import type { RunOrder } from '../../core/jobs'

/** How long after it was sent a call without an answer may be carried out, in milliseconds; the platform's longest such delay, and some time for its way. */
const longestDelayMs = 15_000

/** Longer than any call waits for its answer, in milliseconds. One that took longer was held by a pause of this process, and may have left only at its end. */
const longestCallMs = 3500

/** A call to a worker. */
export interface LateCall {
  /** The boot for which it was meant. */
  readonly worker: string
  readonly workerId: string
  /** The start that it orders; undefined for other calls. */
  readonly start?: RunOrder | undefined
}

interface KeptCall extends LateCall {
  /** Infinite while the call is under way: in a process that is paused it may not have left yet. */
  possibleUntil: number
}

/** Calls which have no answer and may still be carried out, also by a later boot under the same id. */
export class LateCalls {
  private calls: readonly KeptCall[] = []

  /** Keeps a call that is sent now. Returns what is to be told whether an answer has come, after which it can't be late, or was given up. */
  add (call: LateCall, now: number): (isAnswered: boolean, at: number) => void {
    const kept: KeptCall = { ...call, possibleUntil: Number.POSITIVE_INFINITY }
    this.calls = [...this.calls.filter(({ possibleUntil }) => possibleUntil > now), kept]
    return (isAnswered, at) => {
      if (isAnswered) this.calls = this.calls.filter(other => other !== kept)
      else kept.possibleUntil = (at - now > longestCallMs ? at : now) + longestDelayMs
    }
  }

  /** The calls for former boots which a boot under the same id may still get. */
  possibleAt ({ worker, workerId }: Pick<LateCall, 'worker' | 'workerId'>, now: number): readonly LateCall[] {
    return this.calls.filter(call => call.workerId === workerId && call.worker !== worker && call.possibleUntil > now)
  }
}
