import { Replica, type HardState, type LogEntry, type StateSnapshot } from '..'
import type { ConsensusMessage } from '../consensusMessage'

/** The disk of a replica, which survives a crash. */
interface Disk {
  hardState: HardState
  snapshot: StateSnapshot | undefined
  entries: LogEntry[]
}

interface Member {
  replica: Replica
  readonly disk: Disk
  applied: string[]
  isUp: boolean
}

interface InFlightMessage {
  readonly from: string
  readonly to: string
  readonly message: ConsensusMessage
}

/** A simulated group in virtual time over a network that loses, duplicates and reorders messages. */
export class ReplicaGroup {
  readonly members = new Map<string, Member>()
  readonly leaders = new Map<number, string>()
  readonly readable: Array<{ readonly id: number, readonly applied: number }> = []
  readonly isolated = new Set<string>()
  inFlight: InFlightMessage[] = []
  now = 0
  /** Replicas that were added later, with empty disks and without a list of members. */
  private readonly laterReplicas = new Set<string>()
  readonly removed = new Set<string>()
  private lastIncarnation = 0

  constructor (private readonly names: readonly string[], private readonly random: () => number, private readonly replaceAfterMs?: number) {
    for (const name of names) {
      const disk: Disk = { hardState: { term: 0 }, snapshot: undefined, entries: [] }
      this.members.set(name, { replica: this.startReplica(name, disk), disk, applied: [], isUp: true })
    }
  }

  member (name: string): Member {
    return this.members.get(name) as Member
  }

  get leader (): Member | undefined {
    return [...this.members.values()].filter(member => member.isUp && member.replica.isLeader).sort((a, b) => b.replica.term - a.replica.term)[0]
  }

  /** Starts a replica with a new name and an empty disk. */
  arrive (name: string): void {
    const disk: Disk = { hardState: { term: 0 }, snapshot: undefined, entries: [] }
    this.laterReplicas.add(name)
    this.members.set(name, { replica: this.startReplica(name, disk), disk, applied: [], isUp: true })
  }

  /** Removes a replica permanently. */
  remove (name: string): void {
    this.member(name).isUp = false
    this.removed.add(name)
  }

  tick (ms: number): void {
    this.now += ms
    this.joinNonMembers()
    for (const [name, member] of this.members) {
      if (!member.isUp) continue
      member.replica.tick(this.now)
      this.performEffects(name)
    }
  }

  propose (name: string, payload: string): void {
    const member = this.member(name)
    if (!member.isUp) return
    member.replica.propose([payload], this.now)
    this.performEffects(name)
  }

  transfer (name: string): void {
    this.member(name).replica.transferLeadership()
    this.performEffects(name)
  }

  read (name: string, id: number): void {
    const member = this.member(name)
    if (!member.isUp) return
    member.replica.read(id, this.now)
    this.performEffects(name)
  }

  /** Delivers one message in flight; with `keep` a copy stays in flight and is delivered again. */
  deliver (position: number, keep: boolean): void {
    const flight = this.inFlight[position % Math.max(1, this.inFlight.length)]
    if (flight === undefined) return
    if (!keep) this.inFlight = this.inFlight.filter(other => other !== flight)
    const receiver = this.member(flight.to)
    if (!receiver.isUp || this.isolated.has(flight.from) || this.isolated.has(flight.to)) return
    receiver.replica.receive(flight.from, flight.message, this.now)
    this.performEffects(flight.to)
  }

  drop (position: number): void {
    this.inFlight.splice(position % Math.max(1, this.inFlight.length), 1)
  }

  crash (name: string): void {
    this.member(name).isUp = false
  }

  /** Crashes a replica and empties its folder. */
  wipe (name: string): void {
    const member = this.member(name)
    member.isUp = false
    member.disk.hardState = { term: 0 }
    member.disk.snapshot = undefined
    member.disk.entries = []
    member.replica = this.startReplica(name, member.disk)
  }

  restart (name: string): void {
    const member = this.member(name)
    if (member.isUp || this.removed.has(name)) return
    member.isUp = true
    member.replica = this.startReplica(name, member.disk)
    member.applied = member.disk.snapshot === undefined ? [] : JSON.parse(member.disk.snapshot.payload) as string[]
  }

  compact (name: string): void {
    const member = this.member(name)
    const index = member.replica.committedIndex
    const term = member.replica.termAt(index)
    if (!member.isUp || term === undefined || index === 0) return
    const snapshot = { index, term, payload: JSON.stringify(member.applied), members: member.replica.membersAt(index) }
    member.replica.compact(snapshot)
    member.disk.snapshot = snapshot
    member.disk.entries = member.disk.entries.filter(entry => entry.index > index)
  }

  /** Restarts and reconnects all replicas that were not removed, then delivers every message without loss while virtual time advances in steps of 10 ms. */
  settle (ms: number): void {
    this.isolated.clear()
    for (const name of this.members.keys()) this.restart(name)
    for (let elapsed = 0; elapsed < ms; elapsed += 10) {
      this.tick(10)
      for (let count = 0; this.inFlight.length > 0 && count < 1000; count += 1) this.deliver(0, false)
    }
  }

  private joinNonMembers (): void {
    const { leader } = this
    if (leader === undefined) return
    // A control process that is not a member asks to join, also one that was dropped from the list while it was isolated.
    for (const [name, { isUp }] of this.members) {
      if (isUp && !this.isolated.has(name) && !leader.replica.members.includes(name)) leader.replica.join(name, this.now)
    }
  }

  private startReplica (name: string, disk: Disk): Replica {
    this.lastIncarnation += 1
    const replica = new Replica({
      id: name,
      incarnation: this.lastIncarnation,
      members: this.laterReplicas.has(name) ? [] : this.names,
      wantedMembers: this.names.length,
      ...(this.replaceAfterMs === undefined ? {} : { replaceAfterMs: this.replaceAfterMs }),
      electionTimeoutMs: 150,
      heartbeatMs: 30,
      random: this.random,
      hardState: disk.hardState,
      ...(disk.snapshot === undefined ? {} : { snapshot: disk.snapshot }),
      entries: disk.entries,
      mayHaveLostVotes: this.laterReplicas.has(name) && disk.hardState.standing === undefined
    })
    replica.start(this.now)
    return replica
  }

  private performEffects (name: string): void {
    const member = this.member(name)
    const effects = member.replica.takeEffects()
    const { disk } = member
    if (effects.durable !== undefined) {
      const { hardState, truncateFrom, entries, snapshot } = effects.durable
      if (hardState !== undefined) disk.hardState = hardState
      if (snapshot !== undefined) {
        disk.snapshot = snapshot
        disk.entries = disk.entries.filter(entry => entry.index > snapshot.index)
      }
      if (truncateFrom !== undefined) disk.entries = disk.entries.filter(entry => entry.index < truncateFrom)
      disk.entries.push(...entries)
    }
    if (effects.restore !== undefined) member.applied = JSON.parse(effects.restore.payload) as string[]
    for (const entry of effects.committed) member.applied.push(`${entry.term}:${entry.payload}`)
    for (const id of effects.confirmedReads) this.readable.push({ id, applied: member.applied.length })
    for (const { to, message } of effects.messages) this.inFlight.push({ from: name, to, message })
    if (member.replica.isLeader) this.recordLeader(name, member.replica.term)
  }

  private recordLeader (name: string, term: number): void {
    const known = this.leaders.get(term)
    if (known !== undefined && known !== name) throw new Error(`two leaders in term ${term}: ${known} and ${name}`)
    this.leaders.set(term, name)
  }
}
