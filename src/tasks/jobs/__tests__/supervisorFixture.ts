import type { RunningTask, RunOrder } from '../../../core/jobs'
import { Counters, createLogger } from '../../../observability'
import type { ClientMessage, ControlReply } from '../controlProtocol'
import type { Registration } from '../workerAgentMessage'
import { WorkerSupervisor } from '../workerSupervisor'
import { ManualDriver } from './manualDriver'

/** The boot of the worker in these specs. */
export const worker = 'agent-1/w@1'
/** The task in these specs. */
export const task = '0000000000000001.0.0.0'

/** A registration of the worker. */
export function registrationOf (changes: Partial<Registration> = {}): Registration {
  return { workerId: 'w', bornMs: 1, sequence: 1, pool: 'p', zone: 'a', rack: 'r1', labels: [], capacity: { processors: 4, memoryMb: 1000, accelerators: 0 }, isDraining: false, clockMs: 1000, ...changes }
}

/** An order to start a run of the task. */
export function orderOf (changes: Partial<RunOrder> = {}): RunOrder {
  return { task, run: 1, spec: 's', checkpoint: '', isFilling: false, targetMs: 0, image: '', isUnwanted: false, ...changes }
}

/** A row of a worker's list of what runs. */
export function runningOf (run = 1): RunningTask {
  return { task, run, checkpoint: '', percent: 10, tailLatencyMs: 0, usedProcessors: 0 }
}

/** A supervisor in virtual time whose worker and leader a spec plays. */
export class SupervisorFixture {
  readonly driver = new ManualDriver()
  readonly sent: ClientMessage[] = []
  readonly supervisor: WorkerSupervisor
  /** Whether there is a leader to send to. */
  hasLeader = true
  private now = 0

  constructor ({ leaseMs = 5000 }: { readonly leaseMs?: number } = {}) {
    this.supervisor = new WorkerSupervisor({
      name: 'agent-1',
      driver: this.driver,
      send: message => {
        if (this.hasLeader) this.sent.push(message)
        return this.hasLeader
      },
      post: message => this.supervisor.handle(message),
      leaseMs,
      longestLeaseMs: 10_000,
      now: () => this.now,
      logger: createLogger({ level: 'error', write: () => {} }),
      counters: new Counters()
    })
  }

  /** Brings worker, leader and a lease together. */
  connect (orders: readonly RunOrder[] = []): void {
    this.supervisor.handle({ type: 'registered', registration: registrationOf() })
    this.link(1)
    this.tell({ type: 'lease', worker, leaseEndMs: 6000 })
    this.tell({ type: 'orders', worker, orders, isComplete: true })
  }

  /** Opens a stream to a leader. */
  link (term: number): void { this.supervisor.handle({ type: 'linkOpen', term }) }

  tell (message: ControlReply): void { this.supervisor.handle({ type: 'control', message }) }

  order (...orders: readonly RunOrder[]): void { this.tell({ type: 'orders', worker, orders, isComplete: false }) }

  /** Lets time pass. */
  pass (ms: number): void {
    this.now += ms
    this.supervisor.handle({ type: 'tick' })
  }

  /** Lets the time pass in which a call without an answer may still be carried out, and answers the looks that wait then. */
  async outlastLateCalls (): Promise<void> {
    this.pass(15_000)
    for (const look of this.driver.looks.splice(0)) await look.answer({ type: 'listed', bornMs: this.driver.bornMs, clockMs: 1000, running: [], ends: [], hasMoreEnds: false })
  }

  /** What was sent to the leader of one type. */
  sentOf <Type extends ClientMessage['type']> (type: Type): ReadonlyArray<Extract<ClientMessage, { readonly type: Type }>> {
    return this.sent.filter((message): message is Extract<ClientMessage, { readonly type: Type }> => message.type === type)
  }

  /** Starts the task's first run, as its worker confirms and lists it. */
  async startFirstRun (): Promise<void> {
    this.connect()
    this.order(orderOf())
    await this.driver.next().answer({ type: 'done' })
    await this.driver.list([])
    await this.driver.list([runningOf()])
    this.pass(200)
  }
}
