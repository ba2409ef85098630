import type { CallerAnswer, JobOperation } from '../../../core/jobs'
import type { EvacuationChange, EvacuationOutcome, JobLeaderMessage } from '../leaderMessage'
import { ModelReplica } from './runProtocolReplica'
import type { World } from './runProtocolWorker'

interface Proposal {
  readonly operations: readonly JobOperation[]
  readonly reply: (isCommitted: boolean) => void
}

const replicaCount = 3

/** A stand-in for the group of replicas: one log, one lawful leader at a time, and former ones that don't know it yet. */
export class ModelGroup {
  readonly replicas: ModelReplica[] = []
  private readonly log: Array<readonly JobOperation[]> = []
  private pending: Proposal[] = []
  private term = 0
  private lawful: ModelReplica | undefined
  private lastCommitAt = 0

  constructor (private readonly world: World, first: readonly JobOperation[]) {
    this.log.push(first)
    for (let number = 0; number < replicaCount; number += 1) this.replicas.push(this.createReplica(number))
    this.elect()
  }

  /** The leader which the group has elected, if it serves. */
  get leader (): ModelReplica | undefined { return this.lawful?.isServing === true ? this.lawful : undefined }

  /** Replicas which take themselves for the leader. */
  get serving (): readonly ModelReplica[] { return this.replicas.filter(replica => replica.isServing) }

  /** Sends a call of a caller to the leader. */
  call (call: Extract<JobLeaderMessage, { readonly type: 'call' }>['call'], reply: (answer: CallerAnswer) => void): void {
    const replica = this.world.lot.pick(this.serving)
    if (replica === undefined) reply({ type: 'unknown' })
    else replica.post({ type: 'call', call, reply })
  }

  /** Sends an operator's order to a replica that takes itself for the leader. */
  evacuate (zone: string, change: EvacuationChange, reply: (outcome: EvacuationOutcome) => void): void {
    const replica = this.world.lot.pick(this.serving)
    if (replica === undefined) reply('notLeading')
    else replica.post({ type: 'evacuation', zone, change, reply })
  }

  /** Makes the leader miss its quorum for a while, though nobody else is elected. */
  deafen (spellMs: number): void {
    if (this.lawful === undefined) return
    this.lawful.deafUntil = this.world.time.now + spellMs
    this.world.history.note(this.lawful.name, `hears no quorum for ${Math.round(spellMs)} ms`)
  }

  /** Deposes the leader; proposals on their way are committed up to some point. */
  depose (): void {
    const { time, lot, history } = this.world
    const former = this.lawful
    if (former === undefined) return
    this.lawful = undefined
    const kept = this.pending.slice(0, lot.whole(0, this.pending.length))
    history.note(former.name, `DEPOSED, ${kept.length} of ${this.pending.length} proposals are committed`)
    for (const { operations } of kept) this.append(operations)
    this.pending = []
    const way = lot.pick(['told', 'killed', 'unaware'] as const)
    history.count(`leader ${way}`)
    if (way === 'told') former.post({ type: 'follow' })
    else if (way === 'killed') this.replace(former)
    else this.leaveUnaware(former)
    time.after(lot.between(50, 1200), () => this.elect())
  }

  /** All replicas lose power; one is elected when it is back and the election has taken `electionMs`. */
  losePower (downMs: number, electionMs: number): void {
    const { time, history } = this.world
    history.note('group', `POWER LOST for ${Math.round(downMs)} ms`)
    this.lawful = undefined
    this.pending = []
    for (const replica of [...this.replicas]) this.replace(replica)
    time.after(downMs + electionMs, () => this.elect())
  }

  private leaveUnaware (former: ModelReplica): void {
    const { time, lot } = this.world
    former.deafFrom = time.now + lot.between(0, 1500)
    time.at(former.deafFrom + lot.between(0, 1500), () => { if (this.lawful !== former) former.post({ type: 'follow' }) })
  }

  private replace (former: ModelReplica): void {
    former.kill()
    const number = this.replicas.indexOf(former)
    this.replicas[number] = this.createReplica(number)
  }

  private createReplica (number: number): ModelReplica {
    return new ModelReplica(this.world, `replica-${number}`, {
      propose: (replica, operations, reply) => this.propose(replica, operations, reply),
      confirm: (replica, reply) => this.confirm(replica, reply)
    })
  }

  private elect (): void {
    const { lot, history } = this.world
    const chosen = lot.pick(this.replicas)
    if (chosen === undefined || this.lawful !== undefined) return
    if (chosen.isServing) chosen.post({ type: 'follow' })
    this.term += lot.whole(1, 2)
    this.lawful = chosen
    history.note(chosen.name, `ELECTED, term ${this.term}`)
    for (const operations of this.log.slice(chosen.applied)) chosen.apply(operations)
    chosen.lead(this.term)
  }

  private propose (replica: ModelReplica, operations: readonly JobOperation[], reply: (isCommitted: boolean) => void): void {
    // A former leader waits for an outcome until it follows, which answers its waiters.
    if (replica !== this.lawful) return
    const { time, lot } = this.world
    const proposal: Proposal = { operations: structuredClone(operations), reply }
    this.pending.push(proposal)
    this.lastCommitAt = Math.max(this.lastCommitAt, time.now + (lot.chance(0.1) ? lot.between(20, 250) : lot.between(1, 20)))
    time.at(this.lastCommitAt, () => this.commit(replica, proposal))
  }

  private confirm (replica: ModelReplica, reply: (isConfirmed: boolean) => void): void {
    if (replica !== this.lawful) return
    const { time, lot } = this.world
    time.after(lot.between(1, 20), () => reply(this.lawful === replica && time.now >= replica.deafUntil))
  }

  private commit (replica: ModelReplica, proposal: Proposal): void {
    const { time } = this.world
    if (this.lawful !== replica || this.pending[0] !== proposal) return
    if (time.now < replica.deafUntil) {
      // Later ones find this one first, so they are tried again with it.
      time.at(replica.deafUntil + 1, () => this.commitAll(replica))
      return
    }
    this.pending.shift()
    this.append(proposal.operations)
    replica.apply(proposal.operations)
    proposal.reply(true)
  }

  private commitAll (replica: ModelReplica): void {
    for (const proposal of [...this.pending]) this.commit(replica, proposal)
  }

  private append (operations: readonly JobOperation[]): void {
    const { history } = this.world
    this.log.push(operations)
    for (const operation of operations) {
      if (operation.type === 'assignRun' || operation.type === 'releaseRun') history.note('log', `${operation.type} run=${operation.run} ${operation.worker}`, operation.task)
      history.count(operation.type)
      if (operation.type === 'endRun') history.note('log', `endRun run=${operation.run} ${operation.end} ${operation.worker}`, operation.task)
    }
  }
}
