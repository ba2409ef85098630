import { Mailbox, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'
import type { WorkerAgentMessage } from './workerAgentMessage'
import { WorkerSupervisor, type WorkerSupervisorOptions } from './workerSupervisor'

/** Options of `WorkerAgent`. Times are in milliseconds. */
export type WorkerAgentOptions = Omit<WorkerSupervisorOptions, 'post'>

const tickMs = 50

/** The task that owns the `WorkerSupervisor` of an agent, and with it all calls to the worker. */
export class WorkerAgent {
  readonly mailbox = new Mailbox<WorkerAgentMessage>('agent')
  private readonly ticker: Timer
  private readonly supervisor: WorkerSupervisor

  constructor (private readonly options: WorkerAgentOptions) {
    this.supervisor = new WorkerSupervisor({ ...options, post: message => this.mailbox.post(message) })
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  private * run (): TaskBody {
    for (;;) {
      const message = yield * this.mailbox.take()
      if (message === undefined) return
      if (message.type === 'stop') return this.close()
      this.supervisor.handle(message)
    }
  }

  private close (): void {
    this.ticker.stop()
    this.mailbox.close()
    this.options.driver.close()
  }
}
