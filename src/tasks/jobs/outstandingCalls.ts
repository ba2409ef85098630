import type { RunOrder } from '../../core/jobs'

/** The longest time after sending at which an unanswered call may still be carried out, in milliseconds: the platform's maximum delay and a margin for transmission. */
const maximumDeliveryDelayMs = 15_000

/** Longer than any call waits for its answer, in milliseconds. A call that took longer was delayed by a pause of this process, and may have been sent only at its end. */
const maximumCallMs = 3500

/** A call to a worker, with what matters if it is delivered late. */
export interface WorkerCall {
  /** The boot for which the call was meant. */
  readonly worker: string
  readonly workerId: string
  /** The order, if the call is a start; undefined for other calls. */
  readonly start?: RunOrder | undefined
  /** The ends that the worker drops, up to this sequence number; undefined or 0 if none. */
  readonly acknowledged?: number | undefined
}

interface OutstandingCall extends WorkerCall {
  /** In milliseconds of the steady clock; infinite while the call is under way, as a paused process may not have sent it yet. */
  deliverableUntil: number
}

/** Unanswered calls that may still be carried out, possibly by a later boot under the same worker id. */
export class OutstandingCalls {
  private calls: readonly OutstandingCall[] = []

  /** Adds a call that is sent now. The returned function must be called when it is answered, which removes it, or abandoned, which starts its delay. */
  add (call: WorkerCall, now: number): (isAnswered: boolean, at: number) => void {
    const kept: OutstandingCall = { ...call, deliverableUntil: Number.POSITIVE_INFINITY }
    this.calls = [...this.calls.filter(({ deliverableUntil }) => deliverableUntil > now), kept]
    return (isAnswered, at) => {
      if (isAnswered) this.calls = this.calls.filter(other => other !== kept)
      else kept.deliverableUntil = (at - now > maximumCallMs ? at : now) + maximumDeliveryDelayMs
    }
  }

  /** The calls meant for former boots that may still reach a boot under the same worker id. */
  findDeliverable (boot: Pick<WorkerCall, 'worker' | 'workerId'>, now: number): readonly WorkerCall[] {
    return this.find(boot, now)
  }

  /**
   * Whether such a call forbids to use the boot: it acknowledges ends, and would drop those of this boot that nobody has seen, or
   * it is still under way, so that the end of its delivery is unknown. Late starts are rejected once their runs are stopped, and
   * late leases only last longer.
   */
  mustBeAwaited (boot: Pick<WorkerCall, 'worker' | 'workerId'>, now: number): boolean {
    return this.find(boot, now).some(({ acknowledged = 0, deliverableUntil }) => acknowledged > 0 || deliverableUntil === Number.POSITIVE_INFINITY)
  }

  /** When the last such call can no longer reach the boot, in milliseconds of the steady clock; `now` if there is none, infinite while one is under way. */
  deliverableUntil (boot: Pick<WorkerCall, 'worker' | 'workerId'>, now: number): number {
    return Math.max(now, ...this.find(boot, now).map(call => call.deliverableUntil))
  }

  private find ({ worker, workerId }: Pick<WorkerCall, 'worker' | 'workerId'>, now: number): readonly OutstandingCall[] {
    return this.calls.filter(call => call.workerId === workerId && call.worker !== worker && call.deliverableUntil > now)
  }
}
