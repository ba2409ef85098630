import { Counters } from '../../../observability'
import type { ControlReply } from '../controlProtocol'
import type { SupervisorMessage } from '../workerAgentMessage'
import { WorkerSupervisor } from '../workerSupervisor'
import { ModelDriver, type CallKind, type CallTarget, type CallTroubles } from './runProtocolDriver'
import type { ModelGroup } from './runProtocolGroup'
import { ModelStream, type StreamAgent } from './runProtocolStream'
import { longestLeaseMs, type World } from './runProtocolWorker'

/** The VM of an agent. */
export interface AgentPlace extends CallTarget {
  readonly cutUntil: number
}

const tickMs = 50

/** One life of an agent: its supervisor, its calls to the worker and its link to the leader. */
export class ModelAgent implements StreamAgent {
  private isUp = true
  private stream: ModelStream | undefined
  private linked: ModelStream | undefined
  private readonly driver: ModelDriver
  private readonly supervisor: WorkerSupervisor

  constructor (private readonly world: World, private readonly outside: World, private readonly place: AgentPlace, private readonly group: ModelGroup, troubles: Readonly<Record<CallKind, CallTroubles>>) {
    const { time, history } = world
    this.driver = new ModelDriver(world, place, troubles)
    this.supervisor = new WorkerSupervisor({
      name: place.name,
      driver: this.driver,
      send: message => {
        if (this.linked === undefined) return false
        this.linked.send(message)
        return true
      },
      post: message => this.post(message),
      leaseMs: world.leaseMs,
      longestLeaseMs,
      now: () => time.now,
      logger: history.logger(place.name),
      counters: new Counters()
    })
    time.every(tickMs, () => {
      this.post({ type: 'tick' })
      return this.isUp
    })
    this.connectLater()
  }

  get name (): string { return this.place.name }

  get cutUntil (): number { return this.place.cutUntil }

  /** Brings a message to the supervisor in its turn. */
  post (message: SupervisorMessage): void {
    this.world.time.after(0, () => { if (this.isUp) this.supervisor.handle(message) })
  }

  /** Its process is killed; what it sent before goes on. */
  kill (): void {
    this.isUp = false
    this.driver.agentEnded()
    this.stream?.closeAtAgent()
  }

  /** The VM was just cut off. */
  cut (): void { this.stream?.cut() }

  /** Its stream breaks, by lot first at this side or at the replica's. */
  breakStream (): void {
    if (this.world.lot.chance(0.5)) this.stream?.closeAtAgent()
    else this.stream?.closeAtReplica()
  }

  readonly onMessage = (stream: ModelStream, message: ControlReply): void => {
    if (!this.isUp) return
    if (message.type === 'directory') {
      this.linked = stream
      this.post({ type: 'linkOpen', term: message.term })
      return
    }
    if (message.type === 'orders') {
      for (const { task, run, isUnwanted } of message.orders) this.world.history.note(this.name, `ordered run=${run}${isUnwanted ? ' unwanted' : ''}${message.isComplete ? ' (complete list)' : ''}`, task)
    }
    this.post({ type: 'control', message })
  }

  readonly onEnd = (stream: ModelStream): void => {
    if (this.stream !== stream) return
    this.stream = undefined
    if (this.linked === stream && this.isUp) this.post({ type: 'linkLost' })
    this.linked = undefined
    this.connectLater()
  }

  private connectLater (): void {
    const { time, lot } = this.world
    time.after(lot.between(5, 300), () => {
      if (!this.isUp || this.stream !== undefined) return
      const replica = this.outside.time.now < this.cutUntil ? undefined : lot.pick(this.group.serving)
      if (replica === undefined) this.connectLater()
      else this.stream = new ModelStream(this.outside, this, replica)
    })
  }
}
