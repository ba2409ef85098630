import type { RunningTask, RunOrder } from '../../../core/jobs'
import { Counters, createLogger } from '../../../observability'
import type { LookOutcome } from '../../../workers'
import type { ClientMessage, ControlReply } from '../controlProtocol'
import type { Registration, SupervisorMessage } from '../workerAgentMessage'
import { WorkerSupervisor } from '../workerSupervisor'
import { ManualDriver } from './manualDriver'

/** The worker boot of these specs. */
export const worker = 'agent-1/w@1'
/** The task of these specs. */
export const task = '0000000000000001.0.0.0'

/** A registration of the worker, with changes. */
export function registrationOf (changes: Partial<Registration> = {}): Registration {
  return { workerId: 'w', bornMs: 1, sequence: 1, pool: 'p', zone: 'a', rack: 'r1', labels: [], capacity: { processors: 4, memoryMb: 1000, accelerators: 0 }, isDraining: false, clockMs: 1000, ...changes }
}

/** An order to start the first run of the task, with changes. */
export function orderOf (changes: Partial<RunOrder> = {}): RunOrder {
  return { task, run: 1, spec: 's', checkpoint: '', isFilling: false, targetMs: 0, image: '', isUnwanted: false, ...changes }
}

/** An entry of a worker's list of running tasks. */
export function runningOf (run = 1): RunningTask {
  return { task, run, checkpoint: '', percent: 10, tailLatencyMs: 0, usedProcessors: 0 }
}

/** A supervisor in virtual time; the spec takes the roles of its worker and leader. */
export class SupervisorFixture {
  readonly driver = new ManualDriver()
  readonly sent: ClientMessage[] = []
  readonly supervisor: WorkerSupervisor
  /** Whether messages to the leader can be sent. */
  hasLeader = true
  /** Whether the worker says at once which boot it is when it is asked. */
  answersQuestions = true
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

  /** Registers the worker, opens a stream to a leader, grants a lease and sends a complete list of orders. */
  connect (orders: readonly RunOrder[] = []): void {
    this.register()
    this.openLink(1)
    this.tell({ type: 'lease', worker, leaseEndMs: 6000 })
    this.tell({ type: 'orders', worker, orders, isComplete: true })
  }

  /** Opens a stream to the leader of a term. */
  openLink (term: number): void { this.handle({ type: 'linkOpen', term }) }

  /** The worker sends a heartbeat; it is the boot that the changes name. */
  register (changes: Partial<Registration> = {}): void {
    const registration = registrationOf(changes)
    this.driver.workerId = registration.workerId
    this.driver.bornMs = registration.bornMs
    this.driver.clockMs = registration.clockMs
    this.handle({ type: 'registered', registration })
  }

  /** A heartbeat arrives that the worker need not have sent. */
  hear (changes: Partial<Registration>): void { this.handle({ type: 'registered', registration: registrationOf(changes) }) }

  /** Lets the supervisor handle a message; the worker answers at once when it is asked which boot it is. */
  private handle (message: SupervisorMessage): void {
    this.supervisor.handle(message)
    while (this.driver.questions.length > 0 && this.answersQuestions) this.answerQuestion()
  }

  /** Answers the question which boot the worker is, by default as the worker does. */
  answerQuestion (outcome?: LookOutcome): void {
    const workerId = this.driver.questions.shift()
    if (workerId === undefined) throw new Error('the worker was not asked')
    const truth = workerId === this.driver.workerId ? this.driver.listed() : { type: 'refused', reason: 'otherBoot' } as const
    this.supervisor.handle({ type: 'identified', outcome: outcome ?? truth })
  }

  tell (message: ControlReply): void { this.supervisor.handle({ type: 'control', message }) }

  order (...orders: readonly RunOrder[]): void { this.tell({ type: 'orders', worker, orders, isComplete: false }) }

  /** Advances the clock and ticks the supervisor. */
  advance (ms: number): void {
    this.now += ms
    this.handle({ type: 'tick' })
  }

  /** Waits until no unanswered call can still be executed, then answers the pending looks. */
  async waitOutLateCalls (): Promise<void> {
    this.advance(15_000)
    for (const look of this.driver.looks.splice(0)) await look.answer(this.driver.listed())
  }

  /** The messages of one type that were sent to the leader. */
  sentOf <Type extends ClientMessage['type']> (type: Type): ReadonlyArray<Extract<ClientMessage, { readonly type: Type }>> {
    return this.sent.filter((message): message is Extract<ClientMessage, { readonly type: Type }> => message.type === type)
  }

  /** Starts the task's first run: the worker confirms the start and lists the run. */
  async startFirstRun (): Promise<void> {
    this.connect()
    this.order(orderOf())
    await this.driver.takeOrder().answer({ type: 'done' })
    await this.driver.list([])
    await this.driver.list([runningOf()])
    this.advance(200)
  }
}
