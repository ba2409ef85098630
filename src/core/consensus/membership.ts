interface MemberList {
  /** Index of the log entry that carries the list; 0 for the initial list. */
  readonly index: number
  readonly members: readonly string[]
}

/** The members that count in quorums: the list of the newest log entry that carries one, committed or not. */
export class Membership {
  private lists: MemberList[]

  constructor (members: readonly string[]) {
    this.lists = [{ index: 0, members }]
  }

  get current (): readonly string[] { return this.newest.members }

  /** Index of the log entry that carries the current list; 0 for the initial list. */
  get index (): number { return this.newest.index }

  /** Replaces the initial list; has no effect once a log entry carries a list. */
  begin (members: readonly string[]): void {
    if (this.lists.length === 1 && this.index === 0) this.lists = [{ index: 0, members }]
  }

  includes (name: string): boolean { return this.current.includes(name) }

  get quorum (): number { return Math.floor(this.current.length / 2) + 1 }

  /** Records the list of an entry appended to the log. */
  append (index: number, members: readonly string[]): void {
    this.lists.push({ index, members })
  }

  /** Removes the lists of entries that the log has truncated from an index on. */
  truncateFrom (index: number): void {
    this.lists = this.lists.filter(list => list.index < index)
  }

  /** The list in force at a log index. */
  at (index: number): readonly string[] {
    return this.lists.findLast(list => list.index <= index)?.members ?? []
  }

  /** Starts again from the list of a snapshot; lists of entries between the snapshot and the end of the log are kept. */
  reset (index: number, members: readonly string[], lastIndex: number): void {
    this.lists = [{ index, members }, ...this.lists.filter(list => list.index > index && list.index <= lastIndex)]
  }

  /** Removes the lists that a snapshot covers, except the one in force at its index. */
  compact (index: number): void {
    const members = this.at(index)
    const inForceSince = this.lists.findLast(list => list.index <= index)?.index ?? 0
    this.lists = [{ index: inForceSince, members }, ...this.lists.filter(list => list.index > index)]
  }

  private get newest (): MemberList {
    return this.lists.at(-1) ?? { index: 0, members: [] }
  }
}

/** What the leader knows about a member or a standby. */
export interface MemberPresence {
  readonly name: string
  /** Time since its last answer, in milliseconds. */
  readonly silentMs: number
  /** Whether it holds all committed entries and may vote. */
  readonly isCaughtUp: boolean
}

/** The inputs of the decision on the next membership change. */
export interface MembershipView {
  readonly leader: string
  readonly members: readonly MemberPresence[]
  /** Replicas that replicate the log without counting in quorums. */
  readonly standbys: readonly MemberPresence[]
  readonly wantedMembers: number
  /** Silence after which a member counts as lost, in milliseconds. */
  readonly lostAfterMs: number
}

/**
 * The next list of members, which differs from the present one by one name; undefined if no change is due.
 * A lost member is replaced by adding a standby first, so that the number of live members never decreases.
 */
export function chooseNextMembers (view: MembershipView): readonly string[] | undefined {
  const names = view.members.map(member => member.name)
  const lost = view.members.filter(member => member.name !== view.leader && member.silentMs > view.lostAfterMs)
    .sort((a, b) => b.silentMs - a.silentMs)[0]
  if (names.length > view.wantedMembers) {
    const surplus = lost?.name ?? names.findLast(name => name !== view.leader)
    return names.filter(name => name !== surplus)
  }
  const standby = view.standbys.find(found => found.isCaughtUp && found.silentMs < view.lostAfterMs)
  if (standby === undefined) return undefined
  return names.length < view.wantedMembers || lost !== undefined ? [...names, standby.name] : undefined
}
