import { expect } from 'chai'
import { fromTransition } from 'xstate'
import { getAdjacencyMap } from 'xstate/graph'
import { EndpointGate } from '../../endpointGate'
import { Ledger } from '..'
import { allEvents, initialState, step, type ClaimEvent, type ClaimState, type Mutation, type Sender } from './claimProtocol'

const stateLimit = 10_000

interface Edge {
  readonly from: string
  readonly event: ClaimEvent
  readonly to: ClaimState
}

function explore (mutation: Mutation): { readonly states: ReadonlyMap<string, ClaimState>, readonly edges: readonly Edge[] } {
  const logic = fromTransition((state: ClaimState, event: ClaimEvent) => step(state, event, mutation), initialState)
  const map = getAdjacencyMap(logic, {
    events: [...allEvents],
    serializeState: snapshot => JSON.stringify(snapshot.context),
    serializeEvent: event => JSON.stringify(event),
    limit: stateLimit
  })
  const states = new Map(Object.entries(map).map(([key, { state }]) => [key, state.context]))
  const edges = Object.entries(map).flatMap(([from, { transitions }]) => {
    const followed: ReadonlyArray<{ readonly event: ClaimEvent, readonly state: { readonly context: ClaimState } }> = Object.values(transitions)
    return followed.map(({ event, state }) => ({ from, event, to: state.context }))
  })
  return { states, edges }
}

function runsTwice (states: ReadonlyMap<string, ClaimState>): boolean {
  return [...states.values()].some(state => state.runs > 1)
}

/** Performs the events of the model on the real ledger and the real gate. */
class RealProtocol {
  private readonly ledger = new Ledger()
  private gate = createGate()
  private incarnation = 1
  private runs = 0
  private readonly flights = new Map<Sender, number>()
  private readonly held = new Map<Sender, number>()
  private readonly phases = new Map<Sender, string>()

  perform (event: ClaimEvent): void {
    if (event.type === 'restart') {
      if (this.incarnation === 1) this.gate = createGate()
      this.incarnation = 2
      return
    }
    const { type, sender } = event
    const phase = this.phases.get(sender) ?? 'idle'
    if (type === 'deliver') return this.deliver(sender)
    if (phase === 'dead' || phase === 'over') return
    if (type === 'die') this.phases.set(sender, 'dead')
    if (type === 'open' && phase === 'idle') this.open(sender)
    if (type === 'send' && phase === 'holds') {
      this.flights.set(sender, this.held.get(sender) ?? 1)
      this.phases.set(sender, 'sent')
    }
    if (type === 'follow' && phase === 'follows') this.follow(sender)
  }

  /** The part of the state that is compared with the model. */
  summary (): object {
    const claim = this.ledger.claim('k')
    return { runs: this.runs, claim: claim === undefined ? null : { attempt: claim.attempt, owner: claim.target.requestId, incarnation: Number(claim.target.incarnation), state: claim.state } }
  }

  private open (sender: Sender): void {
    const reply = this.ledger.apply({ type: 'openClaim', key: 'k', digest: 'd', target: this.target(sender), at: 0, expiresAt: 1 }).unwrap()
    this.hold(sender, reply.type === 'claim' && reply.isNew)
  }

  private hold (sender: Sender, isHeld: boolean): void {
    this.phases.set(sender, isHeld ? 'holds' : 'follows')
    if (isHeld) this.held.set(sender, this.incarnation)
  }

  private target (sender: Sender) {
    return { agent: 'agent', incarnation: String(this.incarnation), requestId: sender }
  }

  private deliver (sender: Sender): void {
    const named = this.flights.get(sender)
    this.flights.delete(sender)
    if (named !== this.incarnation) return
    const arrival = this.gate.arrive({ requestId: sender, source: sender, entry: 'e', deadlineAt: 1, concurrency: 8 }, 0)
    if (arrival.type === 'run') this.runs += 1
  }

  private follow (sender: Sender): void {
    const claim = this.ledger.claim('k')
    if (claim === undefined || claim.target.requestId === sender || claim.state !== 'open') {
      this.phases.set(sender, 'over')
      return
    }
    const { key, attempt } = claim
    const status = Number(claim.target.incarnation) === this.incarnation ? this.gate.abandon(claim.target.requestId, 0, 0) : 'unknown'
    if (status === 'notRun') {
      this.hold(sender, this.ledger.apply({ type: 'moveClaim', key, attempt, target: this.target(sender) }).ok)
      return
    }
    this.ledger.apply({ type: 'endClaim', key, attempt, outcome: status === 'unknown' ? 'unknown' : 'answered' })
    this.phases.set(sender, 'over')
  }
}

function createGate (): EndpointGate {
  return new EndpointGate({ slots: 8, queue: 0, rememberMs: 1000, maximumRecords: 100 })
}

function findPaths (edges: readonly Edge[]): ReadonlyMap<string, readonly ClaimEvent[]> {
  const start = JSON.stringify(initialState)
  const paths = new Map<string, readonly ClaimEvent[]>([[start, []]])
  const byState = new Map<string, Edge[]>()
  for (const edge of edges) byState.set(edge.from, [...byState.get(edge.from) ?? [], edge])
  const open = [start]
  for (let from = open.shift(); from !== undefined; from = open.shift()) {
    for (const { event, to } of byState.get(from) ?? []) {
      const key = JSON.stringify(to)
      if (paths.has(key)) continue
      paths.set(key, [...paths.get(from) ?? [], event])
      open.push(key)
    }
  }
  return paths
}

describe('the claim protocol', () => {
  const { states, edges } = explore('none')

  it('runs a keyed request at most once in every reachable state', () => {
    expect(states.size).to.be.within(100, stateLimit - 1)
    expect(runsTwice(states)).to.equal(false)
  })

  for (const mutation of ['forgetAbandon', 'ignoreIncarnation', 'sendBeforeClaim'] as const) {
    it(`is found by the check to run a request twice with the fault ${mutation}`, () => {
      expect(runsTwice(explore(mutation).states)).to.equal(true)
    })
  }

  it('matches the real ledger and the real gate in every transition', () => {
    const paths = findPaths(edges)
    expect(paths.size).to.equal(states.size)
    for (const { from, event, to } of edges) {
      const real = new RealProtocol()
      for (const earlier of paths.get(from) ?? []) real.perform(earlier)
      real.perform(event)
      expect(real.summary(), `${from} ${JSON.stringify(event)}`).to.deep.equal({ runs: to.runs, claim: to.claim })
    }
  })
})
