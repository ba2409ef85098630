import { canVoteAgain } from '../promotion'

/** What a model explores. */
export interface PromotionModelOptions {
  readonly members: number
  /** How many members may lack their disk at the same time. */
  readonly maximumLearners: number
  readonly maximumWipes: number
  readonly maximumTerm: number
  readonly maximumEntries: number
  /** The rule of promotions; that of the product if absent. */
  readonly rule?: typeof canVoteAgain
  /** Whether a vote counts for any candidacy of a member in its term, also one that was lost with its disk. */
  readonly countsVotesOfLostCandidacies?: boolean
  /** Whether an acknowledgement given before a loss ends what the leader knows of the loss. */
  readonly believesLateReplies?: boolean
  /** Number of states after which the exploration stops. */
  readonly maximumStates?: number
}

/** The result of an exploration. */
export interface Exploration {
  readonly states: number
  /** Whether every reachable state was visited. */
  readonly isComplete: boolean
  /** The actions that lead to the first violation; undefined if there is none. */
  readonly violation: string | undefined
}

interface Member {
  term: number
  vote: number
  isVoter: boolean
  /** Terms of the entries. */
  log: number[]
  role: 'follower' | 'candidate' | 'leader'
  /** Number of the disk, which changes with each loss. */
  disk: number
  commit: number
  round: number
  peers: Peer[]
}

interface Peer { match: number, isLearner: boolean, since: number, round: number, /** -1 before an answer. */ disk: number }

interface Candidacy { readonly term: number, readonly candidate: number, readonly disk: number, readonly length: number, readonly lastTerm: number, votes: number }

interface Reply { readonly term: number, readonly leader: number, readonly from: number, readonly length: number, readonly isLearner: boolean, readonly round: number, readonly disk: number }

interface Promotion { readonly term: number, readonly leader: number, readonly to: number, readonly previous: number, readonly entries: readonly number[], readonly commit: number, readonly disk: number }

/** Messages stay in their lists after delivery, so they may arrive late, more than once, or never. */
interface State {
  members: Member[]
  candidacies: Candidacy[]
  /** Packed, in ascending order. */
  replies: number[]
  promotions: Promotion[]
  /** The disk and member that led in each term, as `member:disk`. */
  leaders: Record<number, string>
  committed: number[]
  wipes: number
  violation: string | undefined
}

/** All histories of a small group whose members lose disks; checks that a term has one leader and that no committed entry is lost. */
export class PromotionModel {
  private readonly rule: typeof canVoteAgain
  private readonly quorum: number

  constructor (private readonly options: PromotionModelOptions) {
    this.rule = options.rule ?? canVoteAgain
    this.quorum = Math.floor(options.members / 2) + 1
  }

  /** Breadth first, so that the first violation has a short path; depth first needs less memory. */
  explore (isDepthFirst = false): Exploration {
    const start = this.initialState()
    const seen = new Set<number>([hashOf(keyOf(start))])
    const open: Array<{ readonly state: State, readonly path: Path | undefined } | undefined> = [{ state: start, path: undefined }]
    for (let position = 0; position < open.length;) {
      const found = isDepthFirst ? open.pop() : open[position]
      if (!isDepthFirst) open[position++] = undefined
      if (found === undefined) continue
      for (const [name, change] of this.actions(found.state)) {
        const state = clone(found.state)
        change(state)
        simplify(state)
        const path = { name, before: found.path }
        if (state.violation !== undefined) return { states: seen.size, isComplete: false, violation: `${describe(path)} -> ${state.violation}` }
        const key = hashOf(keyOf(state))
        if (seen.has(key)) continue
        seen.add(key)
        if (seen.size >= (this.options.maximumStates ?? Number.POSITIVE_INFINITY)) return { states: seen.size, isComplete: false, violation: undefined }
        open.push({ state, path })
      }
    }
    return { states: seen.size, isComplete: true, violation: undefined }
  }

  /** Takes random actions from the start, for groups that are too large to be explored; `random` returns numbers from 0 to 1. */
  sample (walks: number, steps: number, random: () => number): Exploration {
    let states = 0
    for (let walk = 0; walk < walks; walk += 1) {
      const state = this.initialState()
      let path: Path | undefined
      for (let step = 0; step < steps; step += 1) {
        const actions = [...this.actions(state)]
        const [name, change] = actions[Math.floor(random() * actions.length)] ?? ['nothing', () => {}]
        change(state)
        simplify(state)
        path = { name, before: path }
        states += 1
        if (state.violation !== undefined) return { states, isComplete: false, violation: `${describe(path)} -> ${state.violation}` }
      }
    }
    return { states, isComplete: false, violation: undefined }
  }

  /** Member 0 leads in term 1, and all hold its first entry. */
  private initialState (): State {
    const members = Array.from({ length: this.options.members }, (_each, position): Member => ({
      term: 1, vote: 0, isVoter: true, log: [1], role: position === 0 ? 'leader' : 'follower', disk: 0, commit: position === 0 ? 1 : 0, round: 1, peers: position === 0 ? this.createPeers(1) : []
    }))
    return { members, candidacies: [], replies: [], promotions: [], leaders: { 1: '0:0' }, committed: [1], wipes: 0, violation: undefined }
  }

  private createPeers (match: number): Peer[] {
    return Array.from({ length: this.options.members }, () => ({ match, isLearner: false, since: 0, round: 0, disk: -1 }))
  }

  private * actions (state: State): Iterable<[name: string, change: (state: State) => void]> {
    for (const [position, member] of state.members.entries()) {
      if (member.isVoter && member.term < this.options.maximumTerm) yield [`${position} becomes a candidate`, next => this.becomeCandidate(next, position)]
      if (this.mayWipe(state, position)) yield [`${position} loses its disk`, next => this.wipe(next, position)]
      if (member.role === 'candidate') {
        for (const [number, candidacy] of state.candidacies.entries()) if (this.hasWon(position, member, candidacy)) yield [`${position} is elected`, next => this.lead(next, position, number)]
      }
      if (member.role === 'leader') yield * this.leaderActions(state, position, member)
    }
    for (const [number, { candidate, term, votes }] of state.candidacies.entries()) {
      for (const [voter, member] of state.members.entries()) {
        const isUseless = voter === candidate || member.term > term || (member.term === term && ((votes >> voter) & 1) === 1)
        if (!isUseless) yield [`${voter} gets the request of candidacy ${number} of ${candidate}`, next => this.requestVote(next, voter, number)]
      }
    }
    for (const [number, { to }] of state.promotions.entries()) yield [`${to} gets promotion ${number}`, next => this.receiveAppend(next, next.promotions[number] as Promotion, true, 0)]
  }

  private * leaderActions (state: State, position: number, leader: Member): Iterable<[name: string, change: (state: State) => void]> {
    if (leader.log.length < this.options.maximumEntries) yield [`${position} appends an entry`, next => { this.appendOwn(next.members[position] as Member) }]
    for (const [to, member] of state.members.entries()) {
      if (to === position || member.term > leader.term) continue
      for (let length = 0; length <= leader.log.length; length += 1) yield [`${position} sends ${length} entries to ${to}`, next => this.sendAppend(next, position, to, 0, length)]
      // Without entries, a promotion refers to those that the leader knows of.
      const match = leader.peers[to]?.match ?? 0
      if (match > 0 && this.promotes(leader, position, to)) yield [`${position} sends a heartbeat after ${match} entries to ${to}`, next => this.sendAppend(next, position, to, match, match)]
    }
    for (const packed of state.replies) {
      const reply = unpack(packed)
      if (reply.leader === position && reply.term === leader.term) yield [`${position} gets the reply of ${reply.from} for ${reply.length} entries${reply.isLearner ? ' as a learner' : ''}`, next => this.receiveReply(next, position, reply)]
    }
  }

  private becomeCandidate (state: State, position: number): void {
    const member = state.members[position] as Member
    resetRole(member)
    member.term += 1
    member.vote = position
    member.role = 'candidate'
    state.candidacies.push({ term: member.term, candidate: position, disk: member.disk, length: member.log.length, lastTerm: member.log.at(-1) ?? 0, votes: 1 << position })
  }

  private mayWipe (state: State, position: number): boolean {
    const learners = state.members.filter(({ isVoter }, other) => !isVoter && other !== position).length
    return state.wipes < this.options.maximumWipes && learners < this.options.maximumLearners
  }

  private wipe (state: State, position: number): void {
    const member = state.members[position] as Member
    resetRole(member)
    Object.assign(member, { term: 0, vote: -1, isVoter: false, log: [], disk: member.disk + 1 })
    state.wipes += 1
  }

  private requestVote (state: State, voter: number, number: number): void {
    const candidacy = state.candidacies[number] as Candidacy
    const member = state.members[voter] as Member
    if (candidacy.term < member.term) return
    followTerm(member, candidacy.term)
    const lastTerm = member.log.at(-1) ?? 0
    const isCurrent = candidacy.lastTerm > lastTerm || (candidacy.lastTerm === lastTerm && candidacy.length >= member.log.length)
    if (!member.isVoter || !isCurrent || (member.vote !== -1 && member.vote !== candidacy.candidate)) return
    member.vote = candidacy.candidate
    candidacy.votes |= 1 << voter
  }

  private hasWon (position: number, member: Member, candidacy: Candidacy): boolean {
    const isOwn = candidacy.candidate === position && candidacy.term === member.term
    if (!isOwn || (candidacy.disk !== member.disk && this.options.countsVotesOfLostCandidacies !== true)) return false
    return countBits(candidacy.votes | (1 << position)) >= this.quorum
  }

  private lead (state: State, position: number, number: number): void {
    const member = state.members[position] as Member
    const name = `${position}:${member.disk}`
    if (state.leaders[member.term] !== undefined && state.leaders[member.term] !== name) state.violation = `term ${member.term} has two leaders, candidacy ${number}`
    if (state.committed.some((term, index) => member.log[index] !== term)) state.violation = `the leader of term ${member.term} lacks a committed entry`
    state.leaders[member.term] = name
    member.role = 'leader'
    member.commit = 0
    member.round = 1
    member.peers = this.createPeers(0)
    this.appendOwn(member)
  }

  private appendOwn (leader: Member): void {
    if (leader.log.length < this.options.maximumEntries) leader.log.push(leader.term)
  }

  private sendAppend (state: State, position: number, to: number, previous: number, length: number): void {
    const leader = state.members[position] as Member
    const promotes = this.promotes(leader, position, to)
    const message: Promotion = { term: leader.term, leader: position, to, previous, entries: leader.log.slice(0, length), commit: leader.commit, disk: leader.peers[to]?.disk ?? -1 }
    if (promotes && !state.promotions.some(known => isEqual(known, message))) state.promotions.push(message)
    this.receiveAppend(state, message, promotes, leader.round)
  }

  private promotes (leader: Member, position: number, to: number): boolean {
    const peer = leader.peers[to] as Peer
    const others = leader.peers.filter((_peer, other) => other !== to && other !== position)
    const view = { commitIndex: leader.commit, hasCommittedInTerm: leader.log[leader.commit - 1] === leader.term }
    return peer.isLearner && this.rule({ matchIndex: peer.match, learnerSinceRound: peer.since }, others, view)
  }

  private receiveAppend (state: State, { term, leader, to, previous, entries, commit, disk }: Promotion, promotes: boolean, round: number): void {
    const member = state.members[to] as Member
    if (member.term > term) return
    followTerm(member, term)
    const isAccepted = previous === 0 || (member.log.length >= previous && member.log[previous - 1] === entries[previous - 1])
    if (isAccepted) {
      for (let index = previous; index < entries.length; index += 1) {
        if (member.log[index] === entries[index]) continue
        member.log.splice(index)
        member.log.push(entries[index] as number)
      }
      if (promotes && disk === member.disk && !member.isVoter && entries.length >= commit) {
        member.isVoter = true
        member.vote = leader
      }
    }
    const reply: Reply = { term, leader, from: to, length: isAccepted ? entries.length : 0, isLearner: !member.isVoter, round, disk: member.disk }
    addReply(state, reply)
  }

  private receiveReply (state: State, position: number, { from, length, isLearner, round, disk }: Reply): void {
    const leader = state.members[position] as Member
    const peer = leader.peers[from] as Peer
    peer.round = Math.max(peer.round, round)
    const isOtherDisk = peer.disk !== -1 && peer.disk !== disk && this.options.believesLateReplies !== true
    peer.disk = disk
    if (isOtherDisk || (isLearner && !peer.isLearner)) {
      leader.round += 1
      Object.assign(peer, { match: 0, since: leader.round, isLearner: true })
    }
    if (!isLearner && round < peer.since && this.options.believesLateReplies !== true) return
    peer.isLearner = isLearner
    peer.match = Math.max(peer.match, length)
    this.advanceCommit(state, leader, position)
  }

  private advanceCommit (state: State, leader: Member, position: number): void {
    const values = leader.peers.flatMap((peer, other) => other === position ? [leader.log.length] : peer.isLearner ? [] : [peer.match]).sort((a, b) => b - a)
    const reached = values[this.quorum - 1] ?? 0
    if (reached <= leader.commit || leader.log[reached - 1] !== leader.term) return
    leader.commit = reached
    for (let index = 0; index < reached; index += 1) {
      const term = leader.log[index] as number
      if ((state.committed[index] ?? term) !== term) state.violation = `another entry is committed at ${index}`
      state.committed[index] = term
    }
  }
}

interface Path { readonly name: string, readonly before: Path | undefined }

function describe (path: Path): string {
  const names: string[] = []
  for (let step: Path | undefined = path; step !== undefined; step = step.before) names.unshift(step.name)
  return names.join('; ')
}

function followTerm (member: Member, term: number): void {
  if (member.term >= term) return
  resetRole(member)
  member.term = term
  member.vote = -1
}

function resetRole (member: Member): void {
  Object.assign(member, { role: 'follower', commit: 0, round: 0, peers: [] })
}

function addReply (state: State, reply: Reply): void {
  const isCovered = (one: Reply, other: Reply): boolean => one.term === other.term && one.leader === other.leader && one.from === other.from && one.isLearner === other.isLearner && one.disk === other.disk && one.length <= other.length && one.round <= other.round
  const known = state.replies.map(unpack)
  if (known.some(other => isCovered(reply, other))) return
  state.replies = [...known.filter(other => !isCovered(other, reply)), reply].map(pack).sort((a, b) => a - b)
}

function pack ({ term, leader, from, length, isLearner, round, disk }: Reply): number {
  return (((((term * 8 + leader) * 8 + from) * 8 + disk) * 8 + length) * 2 + Number(isLearner)) * 8 + round
}

function unpack (packed: number): Reply {
  return { term: packed >> 16, leader: (packed >> 13) & 7, from: (packed >> 10) & 7, disk: (packed >> 7) & 7, length: (packed >> 4) & 7, isLearner: ((packed >> 3) & 1) === 1, round: packed & 7 }
}

/** Removes messages that no member can use any more, and rounds that no learner is compared with. */
function simplify (state: State): void {
  const lowestTerm = Math.min(...state.members.map(({ term }) => term))
  const isLed = (leader: number, term: number): boolean => state.members[leader]?.role === 'leader' && state.members[leader]?.term === term
  state.replies = state.replies.filter(packed => {
    const { leader, term } = unpack(packed)
    return isLed(leader, term)
  })
  state.candidacies = state.candidacies.filter(({ term }) => term >= lowestTerm)
  state.promotions = state.promotions.filter(({ term, to }) => (state.members[to] as Member).term <= term)
  for (const { peers } of state.members) if (!peers.some(peer => peer.isLearner)) for (const peer of peers) peer.round = 0
}

function clone (state: State): State {
  return {
    ...state,
    members: state.members.map(member => ({ ...member, log: [...member.log], peers: member.peers.map(peer => ({ ...peer })) })),
    candidacies: state.candidacies.map(candidacy => ({ ...candidacy })),
    replies: [...state.replies],
    promotions: [...state.promotions],
    leaders: { ...state.leaders },
    committed: [...state.committed]
  }
}

function keyOf (state: State): string {
  const members = state.members.map(({ term, vote, isVoter, log, role, disk, commit, round, peers }) =>
    [term, vote, isVoter ? 1 : 0, log.join(''), role[0], disk, commit, round, peers.map(peer => `${peer.match}${peer.isLearner ? 'l' : 'v'}${peer.since}${peer.round}${peer.disk}`).join('')].join(','))
  const messages = [
    state.candidacies.map(each => Object.values(each).join()).sort().join('/'),
    state.replies.join(),
    state.promotions.map(each => Object.values(each).join()).sort().join('/')
  ]
  return [...members, ...messages, Object.entries(state.leaders).join(), state.committed.join(''), state.wipes].join('|')
}

/** 53 bits of a text; two states are taken for one with a chance of about one in a hundred in an exploration of ten million. */
function hashOf (text: string): number {
  let low = 0xdeadbeef
  let high = 0x41c6ce57
  for (let index = 0; index < text.length; index += 1) {
    const code = text.charCodeAt(index)
    low = Math.imul(low ^ code, 2654435761)
    high = Math.imul(high ^ code, 1597334677)
  }
  low = Math.imul(low ^ (low >>> 16), 2246822507) ^ Math.imul(high ^ (high >>> 13), 3266489909)
  high = Math.imul(high ^ (high >>> 16), 2246822507) ^ Math.imul(low ^ (low >>> 13), 3266489909)
  return 2 ** 32 * (high & 0x1fffff) + (low >>> 0)
}

function isEqual (one: object, other: object): boolean { return JSON.stringify(one) === JSON.stringify(other) }

function countBits (bits: number): number {
  let count = 0
  for (let rest = bits; rest > 0; rest >>= 1) count += rest & 1
  return count
}
