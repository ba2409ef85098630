import type { EndedRun, RunningTask, RunOrder } from '../../../core/jobs'
import { WorkerDriver, type LookOutcome, type LookRequest, type OrderContext, type OrderOutcome } from '../../../workers'

/** An order that waits for its answer. */
export interface PendingOrder {
  readonly kind: 'start' | 'stop'
  readonly task: string
  readonly run: number
  answer (outcome: OrderOutcome): Promise<void>
}

/** A look that waits for its answer. */
export interface PendingLook {
  readonly request: LookRequest
  answer (outcome: LookOutcome): Promise<void>
}

/** A worker driver whose calls a spec answers one by one. */
export class ManualDriver extends WorkerDriver {
  readonly orders: PendingOrder[] = []
  readonly looks: PendingLook[] = []
  /** The ids under which the worker was asked which boot it is; the fixture answers for it. */
  readonly questions: string[] = []
  /** Probes that wait for their answers. */
  readonly probes: Array<(outcome: LookOutcome) => void> = []
  workerId = 'w'
  bornMs = 1
  clockMs = 1000

  override async start (order: RunOrder): Promise<OrderOutcome> { return await this.wait('start', order.task, order.run) }

  override async stop (task: string, run: number): Promise<OrderOutcome> { return await this.wait('stop', task, run) }

  override async pace (): Promise<OrderOutcome> { return { type: 'done' } }

  override async identify ({ workerId }: OrderContext): Promise<LookOutcome> {
    this.questions.push(workerId)
    return await new Promise(() => {})
  }

  override async probe (): Promise<LookOutcome> { return await new Promise(resolve => this.probes.push(resolve)) }

  /** Answers the oldest pending probe; throws if there is none. */
  async answerProbe (outcome: LookOutcome): Promise<void> {
    const resolve = this.probes.shift()
    if (resolve === undefined) throw new Error('no probe waits for an answer')
    resolve(outcome)
    await settle()
  }

  override async look (request: LookRequest): Promise<LookOutcome> {
    return await new Promise(resolve => this.looks.push({
      request,
      answer: async outcome => {
        resolve(outcome)
        await settle()
      }
    }))
  }

  override close (): void {}

  /** Removes and returns the oldest unanswered order; throws if there is none. */
  takeOrder (): PendingOrder {
    const order = this.orders.shift()
    if (order === undefined) throw new Error('no order waits for an answer')
    return order
  }

  /** Answers the oldest pending look with a list; throws if there is none. */
  async list (running: readonly RunningTask[], ends: readonly EndedRun[] = [], hasMoreEnds = false): Promise<void> {
    const look = this.looks.shift()
    if (look === undefined) throw new Error('no look waits for an answer')
    await look.answer(this.listed(running, ends, hasMoreEnds))
  }

  /** The lists of the worker. */
  listed (running: readonly RunningTask[] = [], ends: readonly EndedRun[] = [], hasMoreEnds = false): LookOutcome {
    return { type: 'listed', bornMs: this.bornMs, clockMs: this.clockMs, running, ends, hasMoreEnds }
  }

  private async wait (kind: PendingOrder['kind'], task: string, run: number): Promise<OrderOutcome> {
    return await new Promise(resolve => this.orders.push({
      kind,
      task,
      run,
      answer: async outcome => {
        resolve(outcome)
        await settle()
      }
    }))
  }
}

/** Lets the continuations of resolved answers run. */
export async function settle (): Promise<void> {
  await new Promise(resolve => setImmediate(resolve))
}
