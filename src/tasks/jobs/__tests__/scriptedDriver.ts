import type { EndedRun, RunOrder, RunningTask } from '../../../core/jobs'
import { WorkerDriver, type LookOutcome, type LookRequest, type OrderContext, type OrderOutcome } from '../../../workers'

/** An in-memory worker whose answers can be lost and whose starts can be executed late. */
export class ScriptedDriver extends WorkerDriver {
  readonly log: string[] = []
  readonly running = new Map<string, number>()
  readonly starts: string[] = []
  ends: EndedRun[] = []
  workerId = 'w'
  bornMs = 1
  clockMs = 1000
  acknowledged = 0
  leaseEndMs = 0
  /** The number of next starts whose answers are lost; these starts are executed when `executeLateStarts` is called. */
  lostStarts = 0
  private late: RunOrder[] = []
  private readonly stopped = new Map<string, number>()
  private endSequence = 0
  private waiters: Array<() => void> = []

  override async start (order: RunOrder, leaseEndMs: number, context: OrderContext): Promise<OrderOutcome> {
    this.log.push(`start ${order.task} ${order.run} lease=${leaseEndMs} term=${context.term}`)
    if (this.lostStarts > 0) {
      this.lostStarts -= 1
      this.late.push(order)
      return { type: 'unanswered' }
    }
    return this.execute(order)
  }

  override async stop (task: string, run: number): Promise<OrderOutcome> {
    this.log.push(`stop ${task} ${run}`)
    this.stopped.set(task, Math.max(run, this.stopped.get(task) ?? 0))
    if (this.running.get(task) === run) this.end(task, 'stopped')
    return { type: 'done' }
  }

  override async pace (task: string, run: number, percent: number): Promise<OrderOutcome> {
    this.log.push(`pace ${task} ${run} ${percent}`)
    return { type: 'done' }
  }

  override async look (request: LookRequest): Promise<LookOutcome> {
    if (request.workerId !== this.workerId) return { type: 'refused', reason: 'otherBoot' }
    this.acknowledged = Math.max(this.acknowledged, request.acknowledged)
    this.leaseEndMs = Math.max(this.leaseEndMs, request.leaseEndMs ?? 0)
    this.ends = this.ends.filter(ended => ended.sequence > this.acknowledged)
    if (this.ends.length === 0 && request.waitMs > 0) await this.waitForEnd(Math.min(request.waitMs, 50))
    const running: RunningTask[] = [...this.running].map(([task, run]) => ({ task, run, checkpoint: '', percent: 10, tailLatencyMs: 0, usedProcessors: 0 }))
    return { type: 'listed', bornMs: this.bornMs, clockMs: this.clockMs, running, ends: this.ends, hasMoreEnds: false }
  }

  override close (): void {}

  /** Executes the starts whose answers were lost. */
  executeLateStarts (): void {
    for (const order of this.late.splice(0)) this.execute(order)
  }

  /** Ends the current run of a task, if there is one, and wakes pending looks. */
  end (task: string, how: EndedRun['end']): void {
    const run = this.running.get(task)
    if (run === undefined) return
    this.running.delete(task)
    this.stopped.set(task, Math.max(run, this.stopped.get(task) ?? 0))
    this.endSequence += 1
    this.ends.push({ sequence: this.endSequence, task, run, end: how, checkpoint: '' })
    for (const wake of this.waiters.splice(0)) wake()
  }

  private execute (order: RunOrder): OrderOutcome {
    const { task, run } = order
    if (this.running.get(task) === run) return { type: 'done' }
    if (run <= (this.stopped.get(task) ?? 0)) return { type: 'refused', reason: 'superseded' }
    this.running.set(task, run)
    this.starts.push(`${task} ${run}`)
    return { type: 'done' }
  }

  private async waitForEnd (waitMs: number): Promise<void> {
    await new Promise<void>(resolve => {
      const timer = setTimeout(resolve, waitMs)
      this.waiters.push(() => {
        clearTimeout(timer)
        resolve()
      })
    })
  }
}
