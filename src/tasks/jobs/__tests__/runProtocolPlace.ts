import type { Registration } from '../workerAgentMessage'
import { ModelAgent, type AgentPlace } from './runProtocolAgent'
import type { CallKind, CallTroubles } from './runProtocolDriver'
import type { ModelGroup } from './runProtocolGroup'
import { epochMs } from './runProtocolReplica'
import { VmTime } from './runProtocolTime'
import { ModelBoot, slots, type World } from './runProtocolWorker'

const heartbeatMs = 1500
/** From power to an agent that listens, in milliseconds. */
const agentBootMs = 400
/** From the end of a cut or a suspension to the next report of an agent at the leader, in milliseconds. */
const reconnectMs = 1500

interface Draining {
  readonly endsAt: number
}

/** What is at a VM when it has power again: a worker under another id, under the same id, none, or nothing that answers; or its worker had power all the while. */
export type AfterPowerLoss = 'otherId' | 'sameId' | 'none' | 'silence' | 'wentOn'

/** A VM with one worker and the agent beside it, each with one life after another. */
export class ModelPlace implements AgentPlace {
  boot: ModelBoot | undefined
  cutUntil = 0
  isSilent = false
  private readonly vmTime: VmTime
  /** The world as processes on this VM see it. */
  private readonly vmWorld: World
  private agent: ModelAgent | undefined
  private draining: Draining | undefined
  private idNumber = 0
  /** The boot of which the agent, in its present life, has heard last. */
  private heardBoot: ModelBoot | undefined
  /** Boots of which another sender has named a larger capacity. */
  private readonly widenedBoots = new WeakSet<ModelBoot>()

  constructor (private readonly world: World, readonly name: string, readonly zone: string, private readonly group: ModelGroup, private readonly troubles: Readonly<Record<CallKind, CallTroubles>>) {
    this.vmTime = new VmTime(world.time)
    this.vmWorld = Object.create(world, { time: { value: this.vmTime } }) as World
    this.startAgent()
    this.startBoot(false)
  }

  /** The worker crashes; another life of it follows, by lot under the same id. */
  crash (): void {
    const { time, lot, history } = this.world
    if (this.boot === undefined) return
    history.note(this.name, `CRASH of ${this.boot.name}`)
    this.endBoot()
    time.after(lot.chance(0.5) ? lot.between(20, 400) : lot.between(400, 3000), () => this.startBoot(lot.chance(this.world.sameIdShare)))
  }

  /** The agent is killed and started again. */
  killAgent (): void {
    const { time, lot, history } = this.world
    if (this.agent === undefined) return
    history.note(this.name, 'AGENT KILLED')
    this.agent.kill()
    this.agent = undefined
    time.after(lot.between(50, 2000), () => this.startAgent())
  }

  /** The VM loses power. The first heartbeat of its next worker comes before its agent listens. */
  losePower (downMs: number, after: AfterPowerLoss): void {
    const { time, history } = this.world
    history.note(this.name, `POWER LOST for ${Math.round(downMs)} ms, then ${after}`)
    this.agent?.kill()
    this.agent = undefined
    this.isSilent = after === 'silence'
    if (after !== 'wentOn') this.endBoot()
    time.after(downMs, () => { if (after === 'otherId' || after === 'sameId') this.startBoot(after === 'sameId') })
    time.after(downMs + agentBootMs, () => this.startAgent())
  }

  /** No packet reaches or leaves the VM for a while. */
  cut (spellMs: number): void {
    const { time, history } = this.world
    if (time.now < this.cutUntil) return
    this.cutUntil = time.now + spellMs
    history.note(this.name, `CUT for ${Math.round(spellMs)} ms`)
    this.agent?.cut()
  }

  /** The VM is suspended, so that nothing on it runs and its clocks stand still. */
  suspend (spellMs: number): void {
    const { time, history } = this.world
    // Suspensions between which the leader doesn't hear the worker count as one, which may be longer than leaders wait.
    if (this.vmTime.isSuspended || time.now < this.cutUntil + reconnectMs) return
    history.note(this.name, `SUSPENDED for ${Math.round(spellMs)} ms`)
    this.vmTime.suspend(spellMs)
    this.cutUntil = time.now + spellMs
    this.agent?.cut()
  }

  breakStream (): void {
    this.world.history.note(this.name, 'STREAM BROKEN')
    this.agent?.breakStream()
  }

  /** The worker says that it will leave, does so, and another one takes its place. */
  drain (): void {
    const { time, lot, history } = this.world
    const { boot } = this
    if (boot === undefined || this.draining !== undefined) return
    const remainingMs = lot.between(500, 5000)
    this.draining = { endsAt: time.now + remainingMs }
    history.note(this.name, `DRAINING of ${boot.name} for ${Math.round(remainingMs)} ms`)
    this.register(boot, this.sequenceOf(boot))
    time.after(remainingMs + lot.between(0, 500), () => {
      if (this.boot !== boot) return
      this.agent?.post({ type: 'left', workerId: boot.workerId })
      time.after(lot.between(0, 1000), () => {
        if (this.boot !== boot) return
        history.note(this.name, `${boot.name} LEFT`)
        this.endBoot()
        time.after(lot.between(300, 3000), () => this.startBoot(false))
      })
    })
  }

  /** Another sender sends a heartbeat in the name of the worker, of a former boot or of a worker that isn't there, or says that it leaves. */
  mislead (): void {
    const { lot, history } = this.world
    if (this.boot === undefined) return
    const registration = this.registrationOf(this.boot, this.sequenceOf(this.boot))
    const { bornMs, clockMs, sequence } = registration
    const odd = lot.pick<Partial<Registration>>([
      { workerId: 'stranger', bornMs: bornMs + 1 },
      { workerId: 'stranger', bornMs: bornMs - 1 },
      { bornMs: Number.MAX_SAFE_INTEGER },
      { bornMs: bornMs + 1, sequence: 1, clockMs: 1 },
      { bornMs: bornMs - 1, isDraining: true },
      { workerId: `w${this.idNumber - 1}`, bornMs: bornMs - 1 },
      { sequence: Number.MAX_SAFE_INTEGER },
      { sequence: sequence + 1, clockMs: clockMs + lot.whole(1, 2000) },
      { clockMs: 1e12 },
      { isDraining: true, remainingMs: 0 },
      { isDraining: false },
      { pool: 'other', zone: 'elsewhere' },
      { capacity: { processors: 1000, memoryMb: 1_000_000, accelerators: 0 } },
      { capacity: { processors: 0, memoryMb: 0, accelerators: 0 } }
    ])
    if ((odd?.capacity?.processors ?? 0) > slots) {
      // One entry adds no room, unless it is the first that the agent hears of the boot; two may.
      if (this.heardBoot !== this.boot || this.widenedBoots.has(this.boot)) return
      this.widenedBoots.add(this.boot)
    }
    history.note(this.name, `MISLED by ${JSON.stringify(odd ?? 'left')}`)
    if (lot.chance(0.1)) this.agent?.post({ type: 'left', workerId: this.boot.workerId })
    else this.agent?.post({ type: 'registered', registration: { ...registration, ...odd } })
  }

  private readonly sequences = new WeakMap<ModelBoot, number>()

  private startAgent (): void {
    if (this.agent === undefined) this.heardBoot = undefined
    this.agent ??= new ModelAgent(this.vmWorld, this.world, this, this.group, this.troubles)
  }

  private startBoot (isSameId: boolean): void {
    const { history, time: realTime } = this.world
    const { time } = this.vmWorld
    if (this.boot !== undefined) return
    if (!isSameId) this.idNumber += 1
    const boot = new ModelBoot(this.vmWorld, this.name, `w${this.idNumber}`, epochMs + Math.floor(realTime.now))
    this.boot = boot
    boot.onCrash = () => this.crash()
    history.note(this.name, `BOOT ${boot.name}`)
    this.register(boot, this.sequenceOf(boot))
    time.every(heartbeatMs, () => {
      if (this.boot !== boot) return false
      this.register(boot, this.sequenceOf(boot))
      return true
    })
  }

  private endBoot (): void {
    const { boot } = this
    this.boot = undefined
    this.draining = undefined
    boot?.crash()
  }

  /** Sends one registration; some come late, also after the boot has ended. */
  private register (boot: ModelBoot, sequence: number): void {
    const { time, lot, isTroubled } = this.world
    const registration = this.registrationOf(boot, sequence)
    time.after(isTroubled && lot.chance(0.1) ? lot.between(100, 5000) : lot.between(1, 10), () => {
      if (this.agent === undefined) return
      boot.knownSince = Math.min(boot.knownSince, time.now)
      this.heardBoot = boot
      this.agent.post({ type: 'registered', registration })
    })
  }

  private registrationOf (boot: ModelBoot, sequence: number): Registration {
    const remainingMs = this.draining === undefined ? undefined : Math.max(0, this.draining.endsAt - this.world.time.now)
    return {
      workerId: boot.workerId,
      bornMs: boot.bornMs,
      sequence,
      pool: 'pool',
      zone: this.zone,
      rack: 'rack',
      labels: [],
      capacity: { processors: slots, memoryMb: 1000, accelerators: 0 },
      isDraining: remainingMs !== undefined,
      remainingMs,
      clockMs: boot.clockMs
    }
  }

  private sequenceOf (boot: ModelBoot): number {
    const sequence = (this.sequences.get(boot) ?? 0) + 1
    this.sequences.set(boot, sequence)
    return sequence
  }
}
