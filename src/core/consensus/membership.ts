interface MemberList {
  /** The log entry which brought the list; 0 for the one that the group began with. */
  readonly index: number
  readonly members: readonly string[]
}

/** Who counts in quorums: the list of the newest log entry which has one, committed or not. */
export class Membership {
  private lists: MemberList[]

  constructor (members: readonly string[]) {
    this.lists = [{ index: 0, members }]
  }

  get current (): readonly string[] { return this.newest.members }

  /** The log entry which brought the current list. */
  get index (): number { return this.newest.index }

  /** Replaces the list that the group begins with; nothing changes once a log entry has brought one. */
  begin (members: readonly string[]): void {
    if (this.lists.length === 1 && this.index === 0) this.lists = [{ index: 0, members }]
  }

  includes (name: string): boolean { return this.current.includes(name) }

  get quorum (): number { return Math.floor(this.current.length / 2) + 1 }

  /** Takes the list of an entry which was appended to the log. */
  append (index: number, members: readonly string[]): void {
    this.lists.push({ index, members })
  }

  /** Forgets lists of entries which the log has dropped from an index on. */
  truncateFrom (index: number): void {
    this.lists = this.lists.filter(list => list.index < index)
  }

  /** The list which was in force at an index of the log. */
  at (index: number): readonly string[] {
    return this.lists.findLast(list => list.index <= index)?.members ?? []
  }

  /** Begins anew with the list of a snapshot; lists of entries after it stay up to the end of the log. */
  reset (index: number, members: readonly string[], lastIndex: number): void {
    this.lists = [{ index, members }, ...this.lists.filter(list => list.index > index && list.index <= lastIndex)]
  }

  /** Forgets lists which a snapshot covers, but for the one in force there. */
  compact (index: number): void {
    const members = this.at(index)
    const inForceSince = this.lists.findLast(list => list.index <= index)?.index ?? 0
    this.lists = [{ index: inForceSince, members }, ...this.lists.filter(list => list.index > index)]
  }

  private get newest (): MemberList {
    return this.lists.at(-1) ?? { index: 0, members: [] }
  }
}

/** What a leader knows of a member or of a replica which asks to become one. */
export interface MemberPresence {
  readonly name: string
  /** How long it has not answered, in milliseconds. */
  readonly silentMs: number
  /** Whether it holds all committed entries and is ready to vote. */
  readonly isCaughtUp: boolean
}

/** What decides on the next change of the members. */
export interface MembershipView {
  readonly leader: string
  readonly members: readonly MemberPresence[]
  /** Replicas which follow the log without counting in quorums. */
  readonly standbys: readonly MemberPresence[]
  readonly wantedMembers: number
  /** Silence after which a member counts as lost, in milliseconds. */
  readonly lostAfterMs: number
}

/**
 * The next list of members, which differs from the present one by one name; undefined if nothing is to be changed.
 * A lost member is replaced by adding a standby first, so that the group never has fewer living members.
 */
export function nextMembers (view: MembershipView): readonly string[] | undefined {
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
