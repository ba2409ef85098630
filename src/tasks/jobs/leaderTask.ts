import { Mailbox, startTask, startTicker, type TaskBody, type Timer } from '../mailbox'
import { JobLeader, type JobLeaderOptions } from './jobLeader'
import type { JobLeaderMessage, LeaderMessage } from './leaderMessage'

/** Options of the leader's task. */
export interface LeaderTaskOptions extends Omit<JobLeaderOptions, 'post' | 'hearsQuorum'> {
  /** Whether a quorum has answered this replica as the leader of a term lately, suspensions of the process counted. */
  readonly hearsQuorum: (term: number) => boolean
}

/** How often expired leases are looked for, in milliseconds; small against the shortest lease. */
const tickMs = 100
/** Messages which are handled before a plan is made. */
const maximumBatch = 512

/** The task which owns the leader of jobs of a replica. */
export class LeaderTask {
  readonly mailbox = new Mailbox<LeaderMessage>('leader')
  private readonly leader: JobLeader
  private readonly ticker: Timer

  constructor (options: LeaderTaskOptions) {
    this.leader = new JobLeader({
      ...options,
      // Its replica may lead in a later term already, in which another leader's decisions lie between.
      hearsQuorum: () => this.servedTerm !== undefined && options.hearsQuorum(this.servedTerm),
      post: message => this.mailbox.post(message)
    })
    this.ticker = startTicker(this.mailbox, tickMs, () => ({ type: 'tick' }))
    startTask(() => this.run())
  }

  /** Whether calls are served here. */
  get isServing (): boolean { return this.leader.isServing }

  /** The term in which calls are served here, if they are. */
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
    this.leader.follow()
    this.mailbox.close()
  }

  /** Handles what has come so far; true if the task is to stop. */
  private handleBatch (first: LeaderMessage): boolean {
    const batch: JobLeaderMessage[] = []
    let message: LeaderMessage | undefined = first
    while (message !== undefined && message.type !== 'stop') {
      batch.push(message)
      // What is polled has left the mailbox, so none may be polled that this batch doesn't take.
      message = batch.length < maximumBatch ? this.mailbox.poll() : undefined
    }
    this.leader.handleBatch(batch)
    return message?.type === 'stop'
  }
}
