import type { MessageDecoder } from '../../../transport'
import { decodeClientMessage, decodeControlReply } from '../controlCodec'
import type { ClientMessage, ControlReply } from '../controlProtocol'
import type { AgentSession } from '../leaderMessage'
import type { ModelReplica } from './runProtocolReplica'
import type { World } from './runProtocolWorker'

/** The side of the agent of a stream. */
export interface StreamAgent {
  readonly name: string
  /** Until when no packet reaches or leaves its VM, in milliseconds. */
  readonly cutUntil: number
  readonly onMessage: (stream: ModelStream, message: ControlReply) => void
  readonly onEnd: (stream: ModelStream) => void
}

/** Silence after which a side closes a stream, and how long it takes at most to notice it, in milliseconds. */
const silenceMs = 1000
const noticeMs = 330

/** One direction of a stream: in order, however long each message takes. */
class Direction {
  private readonly waiting: Array<{ readonly earliest: number, readonly deliver: () => void }> = []
  private isMoving = false
  /** Nothing arrives before, as lost packets are sent again. */
  private stalledUntil = 0

  constructor (private readonly world: World, private readonly agent: StreamAgent) {}

  send (deliver: () => void): void {
    const { time, lot } = this.world
    this.waiting.push({ earliest: time.now + (lot.chance(0.1) ? lot.between(5, 150) : lot.between(0.5, 5)), deliver })
    if (!this.isMoving) this.move()
  }

  stall (delayMs: number): void { this.stalledUntil = Math.max(this.stalledUntil, this.world.time.now + delayMs) }

  private move (): void {
    const next = this.waiting[0]
    this.isMoving = next !== undefined
    if (next === undefined) return
    const { time, lot } = this.world
    time.at(Math.max(next.earliest, this.stalledUntil), () => {
      if (time.now < this.agent.cutUntil) this.stalledUntil = this.agent.cutUntil + lot.between(1, 400)
      if (time.now >= this.stalledUntil) {
        this.waiting.shift()
        next.deliver()
      }
      this.move()
    })
  }
}

/** Streams carry text, which the other side checks; what is changed after a message was sent must not change the message. */
function carry<Message extends object> (message: Message, decode: MessageDecoder<Message>): Message {
  const decoded = decode(JSON.parse(JSON.stringify(message)))
  if (typeof decoded === 'string') throw new Error(`${decoded}: ${JSON.stringify(message)}`)
  return decoded
}

/** Streams are opened one after the other, and accepted in that order. */
let nextSession = 1

/** One stream between an agent and a replica; each side learns of its end at its own time. */
export class ModelStream {
  readonly session: AgentSession
  isOpenAtAgent = true
  isOpenAtReplica = false
  private readonly toReplica: Direction
  private readonly toAgent: Direction

  constructor (private readonly world: World, private readonly agent: StreamAgent, private readonly replica: ModelReplica) {
    this.toReplica = new Direction(world, agent)
    this.toAgent = new Direction(world, agent)
    this.session = { agent: agent.name, number: nextSession++, send: order => this.reply(order) }
    this.toReplica.send(() => this.accepted())
  }

  /** Sends from the agent. */
  send (message: ClientMessage): void {
    if (!this.isOpenAtAgent) return
    const sent = carry(message, decodeClientMessage)
    this.toReplica.send(() => { if (this.isOpenAtReplica) this.replica.take(this, sent) })
  }

  /** Ends the stream at the agent; what it sent before may arrive late. */
  closeAtAgent (): void {
    if (!this.isOpenAtAgent) return
    this.isOpenAtAgent = false
    const { lot } = this.world
    if (lot.chance(0.5)) this.toReplica.stall(lot.between(1, 900))
    this.toReplica.send(() => this.closeAtReplica())
    this.agent.onEnd(this)
  }

  /** Ends the stream at the replica; what it sent before still arrives. */
  closeAtReplica (isSilent = false): void {
    if (!this.isOpenAtReplica) return
    this.isOpenAtReplica = false
    this.replica.lost(this, isSilent)
    this.toAgent.send(() => this.closeAtAgent())
  }

  /** Both sides notice a silence that began now, each at its own time, if it lasts. */
  cut (): void {
    const { time, lot } = this.world
    const until = this.agent.cutUntil
    const [agentNotices, replicaNotices] = [silenceMs + lot.between(0, noticeMs), silenceMs + lot.between(0, noticeMs)]
    if (time.now + agentNotices < until) time.after(agentNotices, () => this.closeAtAgent())
    if (time.now + replicaNotices < until) time.after(replicaNotices, () => this.closeAtReplica(true))
  }

  private accepted (): void {
    this.isOpenAtReplica = true
    this.replica.accepted(this)
    if (!this.replica.isServing) {
      this.toAgent.send(() => this.closeAtAgent())
      return
    }
    this.reply({ type: 'directory', isLeading: true, term: this.replica.term, leader: this.replica.name, members: [], keepsLog: true })
  }

  private reply (message: ControlReply): void {
    if (!this.isOpenAtReplica) return
    const sent = carry(message, decodeControlReply)
    this.toAgent.send(() => { if (this.isOpenAtAgent) this.agent.onMessage(this, sent) })
  }
}
