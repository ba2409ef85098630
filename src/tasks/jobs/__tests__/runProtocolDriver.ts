import type { RunOrder } from '../../../core/jobs'
import { WorkerDriver, type LookOutcome, type LookRequest, type OrderContext, type OrderOutcome } from '../../../workers'
import type { ModelBoot, World } from './runProtocolWorker'

/** Shares of calls that meet a trouble on their way to the worker. */
export interface CallTroubles {
  /** Neither carried out nor answered. */
  readonly lost: number
  /** Carried out at once, not answered. */
  readonly mute: number
  /** Carried out seconds later, not answered. */
  readonly late: number
  /** Refused by an unhealthy worker. */
  readonly unhealthy: number
  /** A start refused for want of room. */
  readonly full: number
  /** Answered, after a while. */
  readonly slow: number
}

/** The kinds of calls to a worker. */
export type CallKind = 'start' | 'stop' | 'pace' | 'look'

/** The VM of a worker as the calls of its agent meet it. */
export interface CallTarget {
  readonly name: string
  readonly zone: string
  readonly boot: ModelBoot | undefined
  /** Whether calls get neither an answer nor a refused connection. */
  readonly isSilent: boolean
}

type Fate = keyof CallTroubles | 'plain'
type Answer<Outcome> = (outcome: Outcome) => void
type Failed = Extract<OrderOutcome, { readonly type: 'unanswered' | 'notListening' | 'refused' }>

const orderTimeoutMs = 500
const lookSlackMs = 800
/** Time after which an agent that knows a boot can have told it which runs to reject, in milliseconds: some attempts of a stop. */
const timeToPreventMs = 2000

interface CallSubject {
  readonly kind: CallKind
  readonly run: number
  readonly task: string | undefined
}

/** The calls of one life of an agent to the worker beside it; some go astray. */
export class ModelDriver extends WorkerDriver {
  private isAgentUp = true

  constructor (private readonly world: World, private readonly target: CallTarget, private readonly troubles: Readonly<Record<CallKind, CallTroubles>>) {
    super()
  }

  override start (order: RunOrder, leaseEndMs: number, context: OrderContext): Promise<OrderOutcome> {
    const deadlineMs = Math.floor(leaseEndMs)
    this.world.history.startSent(order.task, order.run, this.target)
    return this.call<OrderOutcome>({ kind: 'start', run: order.run, task: order.task }, context, orderTimeoutMs, {
      perform: (boot, answer) => answer(boot.start(order, deadlineMs, context)),
      refuseForRoom: boot => boot.refuseForRoom(deadlineMs, context)
    })
  }

  override stop (task: string, run: number, context: OrderContext): Promise<OrderOutcome> {
    return this.call<OrderOutcome>({ kind: 'stop', run, task }, context, orderTimeoutMs, { perform: (boot, answer) => answer(boot.stop(task, run, context)) })
  }

  override pace (task: string, run: number, _percent: number, context: OrderContext): Promise<OrderOutcome> {
    return this.call<OrderOutcome>({ kind: 'pace', run, task }, context, orderTimeoutMs, { perform: (boot, answer) => answer(boot.pace(context)) })
  }

  override look (request: LookRequest): Promise<LookOutcome> {
    return this.call<LookOutcome>({ kind: 'look', run: 0, task: undefined }, request, request.waitMs + lookSlackMs, {
      perform: (boot, answer) => boot.hold(request, answer),
      acknowledges: request.acknowledged > 0
    })
  }

  override close (): void {}

  /** The agent is gone: nobody hears answers, orders go on to the worker. */
  agentEnded (): void { this.isAgentUp = false }

  private call<Outcome> (subject: CallSubject, { workerId }: OrderContext, timeoutMs: number, { perform, refuseForRoom, acknowledges = false }: {
    readonly perform: (boot: ModelBoot, answer: Answer<Outcome>) => void
    readonly refuseForRoom?: (boot: ModelBoot) => Outcome
    readonly acknowledges?: boolean
  }): Promise<Outcome | Failed> {
    const { time, lot, history } = this.world
    return new Promise(resolve => {
      let isSettled = false
      const settle = (outcome: Outcome | Failed): void => {
        if (isSettled || !this.isAgentUp) return
        isSettled = true
        time.settle()
        resolve(outcome)
      }
      const { boot, isSilent } = this.target
      if (isSilent) return time.after(timeoutMs, () => settle({ type: 'unanswered' }))
      if (boot === undefined) return time.after(lot.between(0.2, 2), () => settle({ type: 'notListening' }))
      const fate = this.drawFate(subject.kind)
      history.count(`${subject.kind} ${fate}`)
      if (subject.task !== undefined) history.note(this.target.name, `agent sends ${describe(subject)} to ${boot.name}${fate === 'plain' ? '' : ` (${fate})`}`, subject.task)
      time.after(timeoutMs, () => settle({ type: 'unanswered' }))
      boot.onEnd.push(() => time.after(lot.between(0.2, 5), () => settle({ type: 'unanswered' })))
      const answerLater = (outcome: Outcome | Failed): void => time.after(fate === 'slow' ? lot.between(5, 600) : lot.between(0.2, 4), () => settle(outcome))
      const arrive = (at: ModelBoot, answer: Answer<Outcome | Failed>): void => {
        if (at.workerId !== workerId) return answer({ type: 'refused', reason: 'otherBoot' })
        if (fate === 'unhealthy') return answer({ type: 'refused', reason: 'unhealthy' })
        if (fate === 'full' && refuseForRoom !== undefined) return answer(refuseForRoom(at))
        perform(at, answer)
      }
      if (fate === 'lost') return
      if (fate === 'late') return this.carryOutLate(boot, { ...subject, acknowledges }, at => arrive(at, () => {}))
      time.after(fate === 'slow' ? lot.between(5, 400) : lot.between(0.2, 4), () => {
        if (!boot.isUp) return
        arrive(boot, fate === 'mute' ? () => {} : answerLater)
      })
    })
  }

  private carryOutLate (sentTo: ModelBoot, subject: CallSubject & { readonly acknowledges: boolean }, arrive: (boot: ModelBoot) => void): void {
    const { time, lot, history } = this.world
    // Some wait at the worker itself and end with it; others are still on their way when the next boot listens. An agent that has
    // ended can't undo those, and its next life can't know of them: they are left out.
    const isOnItsWay = lot.chance(0.5)
    time.after(lot.between(2000, 12_000), () => {
      const { boot } = this.target
      if (boot === undefined || (boot !== sentTo && !(isOnItsWay && this.isAgentUp && this.couldPrevent(boot, subject)))) return
      history.count(`late ${subject.acknowledges ? 'acknowledgement' : subject.kind} at ${boot === sentTo ? 'its' : 'the next'} boot`)
      if (subject.task !== undefined) history.note(this.target.name, `late ${describe(subject)} reaches ${boot.name}`, subject.task)
      arrive(boot)
    })
  }

  /**
   * A run that was over already can come to the next boot before its agent knows of this boot, and nobody could prevent that;
   * later the agent can have rejected it. The same holds for what is acknowledged of ends: later the agent has seen those of such runs.
   */
  private couldPrevent (boot: ModelBoot, { task, run, acknowledges }: CallSubject & { readonly acknowledges: boolean }): boolean {
    const { time, history } = this.world
    const isOver = task !== undefined && history.runsOf(task).some(seen => seen.run === run && seen.end !== undefined && seen.end !== 'crashed')
    return !(isOver || acknowledges) || time.now - boot.knownSince > timeToPreventMs
  }

  private drawFate (kind: CallKind): Fate {
    const { lot, isTroubled } = this.world
    if (!isTroubled) return 'plain'
    let drawn = lot.next()
    for (const fate of fates) {
      if (fate === 'full' && kind !== 'start') continue
      drawn -= this.troubles[kind][fate]
      if (drawn < 0) return fate
    }
    return 'plain'
  }
}

function describe ({ kind, run }: CallSubject): string { return `${kind} run=${run}` }

const fates: ReadonlyArray<keyof CallTroubles> = ['lost', 'mute', 'late', 'unhealthy', 'full', 'slow']
