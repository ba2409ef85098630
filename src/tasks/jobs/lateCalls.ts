import type { RunOrder } from '../../core/jobs'

/** The longest time after sending at which an unanswered call may still be carried out, in milliseconds: the platform's maximum delay and a margin for transmission. */
const longestDelayMs = 15_000

/** Longer than any call waits for its answer, in milliseconds. A call that took longer was delayed by a pause of this process, and may have been sent only at its end. */
const longestCallMs = 3500

/** A call to a worker, with what matters if it is delivered late. */
export interface LateCall {
  /** The boot for which the call was meant. */
  readonly worker: string
  readonly workerId: string
  /** The order, if the call is a start; undefined for other calls. */
  readonly start?: RunOrder | undefined
}

interface KeptCall extends LateCall {
  /** In milliseconds of the steady clock; infinite while the call is under way, as a paused process may not have sent it yet. */
  possibleUntil: number
}

/** Unanswered calls that may still be carried out, possibly by a later boot under the same worker id. */
export class LateCalls {
  private calls: readonly KeptCall[] = []

  /** Adds a call that is sent now. The returned function must be called when it is answered, which removes it, or abandoned, which starts its delay. */
  add (call: LateCall, now: number): (isAnswered: boolean, at: number) => void {
    const kept: KeptCall = { ...call, possibleUntil: Number.POSITIVE_INFINITY }
    this.calls = [...this.calls.filter(({ possibleUntil }) => possibleUntil > now), kept]
    return (isAnswered, at) => {
      if (isAnswered) this.calls = this.calls.filter(other => other !== kept)
      else kept.possibleUntil = (at - now > longestCallMs ? at : now) + longestDelayMs
    }
  }

  /** The calls meant for former boots that may still reach a boot under the same worker id. */
  possibleAt ({ worker, workerId }: Pick<LateCall, 'worker' | 'workerId'>, now: number): readonly LateCall[] {
    return this.calls.filter(call => call.workerId === workerId && call.worker !== worker && call.possibleUntil > now)
  }
}
