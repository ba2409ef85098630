import { Mailbox, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'
import { JobLeader, type JobLeaderOptions } from './jobLeader'
import type { JobLeaderMessage, LeaderMessage } from './leaderMessage'

/** Options of `LeaderTask`: those of `JobLeader`, except for what the task supplies itself. */
export interface LeaderTaskOptions extends Omit<JobLeaderOptions, 'post' | 'hearsQuorum'> {
  /** Whether a quorum has recently acknowledged this replica as leader of a term; the elapsed time includes suspensions of the process. */
  readonly hearsQuorum: (term: number) => boolean
}

/** Interval of the ticks at which expired leases are detected, in milliseconds; short compared with the shortest lease. */
const tickMs = 100
/** Most messages that are handled before a plan is made. */
const maximumBatchSize = 512

/** The task that owns the `JobLeader` of a replica; all access to it goes through the mailbox. */
export class LeaderTask {
  readonly mailbox = new Mailbox<LeaderMessage>('leader')
  private readonly leader: JobLeader
  private readonly ticker: Timer

  constructor (options: LeaderTaskOptions) {
    this.leader = new JobLeader({
      ...options,
      // The replica may already lead in a later term, with decisions of another leader in between.
      hearsQuorum: () => this.servedTerm !== undefined && options.hearsQuorum(this.servedTerm),
      post: message => this.mailbox.post(message)
    })
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  /** Whether this replica serves calls. */
  get isServing (): boolean { return this.leader.isServing }

  /** The term in which this replica serves calls; undefined while it doesn't. */
  get servedTerm (): number | undefined { return this.leader.servedTerm }

  private * run (): TaskBody {
    for (;;) {
      const first = yield * this.mailbox.take()
      if (first === undefined) return
      if (this.handleBatch(first)) return this.close()
    }
  }

  private close (): void {
    this.ticker.stop()
    this.leader.stepDown()
    this.mailbox.close()
  }

  /** Handles the messages received so far; true if the task is to stop. */
  private handleBatch (first: LeaderMessage): boolean {
    const batch: JobLeaderMessage[] = []
    let message: LeaderMessage | undefined = first
    while (message !== undefined && message.type !== 'stop') {
      batch.push(message)
      // Polling removes a message from the mailbox, so a full batch must not poll another one.
      message = batch.length < maximumBatchSize ? this.mailbox.poll() : undefined
    }
    this.leader.handleBatch(batch)
    return message?.type === 'stop'
  }
}
