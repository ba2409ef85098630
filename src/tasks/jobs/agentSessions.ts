import { nameTask, type ImagePressure, type JobBook, type JobOperation, type RunOrder } from '../../core/jobs'
import type { AgentSession } from './leaderMessage'

/** Dependencies of `AgentSessions`. */
export interface AgentSessionsOptions {
  /** The committed job book. */
  readonly committed: JobBook
  /** The orders in force for a boot of a worker. */
  readonly ordersFor: (worker: string) => readonly RunOrder[]
  /** Whether runs may be started at a boot of a worker, according to the committed state. */
  readonly mayStart: (worker: string) => boolean
}

interface OpenSession {
  readonly session: AgentSession
  /** Serving images whose learned pairs were sent to the agent. */
  readonly imagesWithSentPairs: Set<string>
  /** The start permission last sent on this stream; undefined if none was sent yet. */
  areStartsAllowed: boolean | undefined
}

/**
 * The streams of agents by the boots of workers that they reported. Sends orders on them, and the learned pairs of only
 * those serving images that the worker has: sending all pairs to all agents would grow with the square of the fleet.
 */
export class AgentSessions {
  private readonly sessions = new Map<string, OpenSession>()
  /** The number of the newest stream of each agent that has reported a worker. */
  private readonly newestSessionNumbers = new Map<string, number>()

  constructor (private readonly options: AgentSessionsOptions) {}

  clear (): void {
    this.sessions.clear()
    this.newestSessionNumbers.clear()
  }

  /** Whether the agent has reported a worker on a later stream than this one. */
  isSupersededSession ({ agent, number }: AgentSession): boolean { return number < (this.newestSessionNumbers.get(agent) ?? 0) }

  /** Records the stream on which an agent reports, which supersedes its older ones. */
  recordNewest ({ agent, number }: AgentSession): void { this.newestSessionNumbers.set(agent, number) }

  has (worker: string): boolean { return this.sessions.has(worker) }

  /** Whether this is the stream on which a worker was last reported. */
  isCurrent (session: AgentSession, worker: string): boolean { return this.sessions.get(worker)?.session === session }

  /** Records that a worker was reported on a stream; false if that was known. */
  open (session: AgentSession, worker: string): boolean {
    if (this.isCurrent(session, worker)) return false
    this.sessions.set(worker, { session, imagesWithSentPairs: new Set(), areStartsAllowed: undefined })
    return true
  }

  close (worker: string): void { this.sessions.delete(worker) }

  /** The workers that were last reported on a stream. */
  workersOf (session: AgentSession): readonly string[] {
    return [...this.sessions].flatMap(([worker, open]) => open.session === session ? [worker] : [])
  }

  /** Tells an agent whether it may start runs at its worker, if that differs from what was last sent on its stream. */
  sendStartPermission (worker: string): void {
    const open = this.sessions.get(worker)
    const areAllowed = this.options.mayStart(worker)
    if (open === undefined || open.areStartsAllowed === areAllowed) return
    open.areStartsAllowed = areAllowed
    open.session.send({ type: 'starts', worker, areAllowed })
  }

  /** Tells all agents whose start permission has changed. */
  sendAllStartPermissions (): void {
    for (const worker of this.sessions.keys()) this.sendStartPermission(worker)
  }

  /** Sends an agent the complete list of orders for its worker, which replaces the orders that it has. */
  sendCompleteList (worker: string): void { this.send(worker, this.options.ordersFor(worker), true) }

  /** Sends an agent the selected orders for its worker, in addition to the orders that it has. */
  sendTasks (worker: string, isSelected: (order: RunOrder) => boolean): void {
    if (!this.has(worker)) return
    const orders = this.options.ordersFor(worker).filter(isSelected)
    if (orders.length > 0) this.send(worker, orders, false)
  }

  /** Sends the current orders for runs affected by committed operations. They include stops and releases decided after the proposal. */
  sendOrders (operations: readonly JobOperation[]): void {
    const tasks = new Map<string, Set<string>>()
    for (const operation of operations) {
      if (operation.type === 'assignRun') this.addLiveTask(tasks, operation.task)
      else if (operation.type === 'cancelJob') this.addLiveTasksOfEndedJob(tasks, operation.jobId)
      else if (operation.type === 'endRun') this.addLiveTasksOfEndedJob(tasks, operation.task.split('.')[0] ?? '')
    }
    for (const [worker, names] of tasks) this.sendTasks(worker, order => names.has(order.task))
  }

  /** Sends learned pairs to those agents whose workers have the serving image. */
  sendPressures (pressures: readonly ImagePressure[]): void {
    for (const [worker, { session, imagesWithSentPairs }] of this.sessions) {
      const relevant = pressures.filter(pressure => imagesWithSentPairs.has(pressure.servingImage))
      if (relevant.length > 0) session.send({ type: 'pressures', worker, pressures: relevant })
    }
  }

  private send (worker: string, orders: readonly RunOrder[], isComplete: boolean): void {
    const open = this.sessions.get(worker)
    if (open === undefined) return
    open.session.send({ type: 'orders', worker, orders, isComplete })
    const images = new Set(orders.flatMap(({ targetMs, image }) => targetMs > 0 && !open.imagesWithSentPairs.has(image) ? [image] : []))
    if (images.size === 0) return
    for (const image of images) open.imagesWithSentPairs.add(image)
    const pressures = this.options.committed.pressures.filter(({ servingImage }) => images.has(servingImage))
    if (pressures.length > 0) open.session.send({ type: 'pressures', worker, pressures })
  }

  private addLiveTask (tasks: Map<string, Set<string>>, name: string): void {
    const task = this.options.committed.task(name)
    if (task?.state !== 'live') return
    tasks.set(task.worker, (tasks.get(task.worker) ?? new Set<string>()).add(name))
  }

  /** Adds the tasks of an ended job that still have a run at a worker. */
  private addLiveTasksOfEndedJob (tasks: Map<string, Set<string>>, jobId: string): void {
    const job = this.options.committed.job(jobId)
    if (job?.endedAt === undefined) return
    for (const task of job.tasks) if (task.state === 'live') this.addLiveTask(tasks, nameTask(task))
  }
}
