/** A model of the protocol for keyed requests: two entry processes, one agent that may restart, one endpoint. */

/** The two entry processes. */
export type Sender = 'a' | 'b'

/** The progress of one entry process with the request. */
export type Phase = 'idle' | 'holds' | 'sent' | 'follows' | 'over' | 'dead'

/** The claim of the only key in the model. */
export interface SpecifiedClaim {
  readonly attempt: number
  readonly owner: Sender
  readonly incarnation: number
  readonly state: 'open' | 'answered' | 'notRun' | 'unknown'
}

/** The global state of the model. */
export interface ClaimState {
  readonly claim: SpecifiedClaim | null
  readonly phases: Readonly<Record<Sender, Phase>>
  /** Requests in flight, with the incarnation of the agent that they name. */
  readonly flights: Readonly<Record<Sender, number | null>>
  /** What the current incarnation of the agent has recorded about the request of each sender. */
  readonly record: Readonly<Record<Sender, 'ran' | 'notRun' | null>>
  readonly incarnation: number
  readonly runs: number
}

/** The events of the model. */
export type ClaimEvent =
  | { readonly type: 'open' | 'send' | 'deliver' | 'follow' | 'die', readonly sender: Sender }
  | { readonly type: 'restart' }

/** Protocol faults that the check must detect. */
export type Mutation = 'none' | 'forgetAbandon' | 'ignoreIncarnation' | 'sendBeforeClaim'

/** No claim, both entry processes idle, and the agent in its first incarnation. */
export const initialState: ClaimState = {
  claim: null,
  phases: { a: 'idle', b: 'idle' },
  flights: { a: null, b: null },
  record: { a: null, b: null },
  incarnation: 1,
  runs: 0
}

const senders: readonly Sender[] = ['a', 'b']

/** Every event that the exploration tries in each state. */
export const allEvents: readonly ClaimEvent[] = [
  ...senders.flatMap(sender => (['open', 'send', 'deliver', 'follow', 'die'] as const).map(type => ({ type, sender }))),
  { type: 'restart' }
]

/** The next state; the same state if the event is not possible. */
export function step (state: ClaimState, event: ClaimEvent, mutation: Mutation): ClaimState {
  if (event.type === 'restart') return state.incarnation === 1 ? { ...state, incarnation: 2, record: { a: null, b: null } } : state
  const { sender } = event
  const phase = state.phases[sender]
  if (event.type === 'deliver') return deliver(state, sender, mutation)
  if (phase === 'dead' || phase === 'over') return state
  if (event.type === 'die') return withPhase(state, sender, 'dead')
  if (event.type === 'open' && phase === 'idle') return open(state, sender, mutation)
  if (event.type === 'send' && phase === 'holds') return withPhase({ ...state, flights: { ...state.flights, [sender]: state.claim?.incarnation ?? 1 } }, sender, 'sent')
  if (event.type === 'follow' && phase === 'follows') return follow(state, sender, mutation)
  return state
}

function open (state: ClaimState, sender: Sender, mutation: Mutation): ClaimState {
  const isFree = state.claim === null || state.claim.state === 'notRun' || mutation === 'sendBeforeClaim'
  return isFree ? take(state, sender) : withPhase(state, sender, 'follows')
}

function take (state: ClaimState, sender: Sender): ClaimState {
  const claim: SpecifiedClaim = { attempt: (state.claim?.attempt ?? 0) + 1, owner: sender, incarnation: state.incarnation, state: 'open' }
  return withPhase({ ...state, claim }, sender, 'holds')
}

/** The agent runs a request at most once, only if it names the agent's incarnation, and not after it was abandoned. */
function deliver (state: ClaimState, sender: Sender, mutation: Mutation): ClaimState {
  const named = state.flights[sender]
  if (named === null) return state
  const arrived = { ...state, flights: { ...state.flights, [sender]: null } }
  const isAccepted = (named === state.incarnation || mutation === 'ignoreIncarnation') && state.record[sender] === null
  if (!isAccepted) return arrived
  return { ...arrived, record: { ...state.record, [sender]: 'ran' }, runs: state.runs + 1 }
}

/** Asks the agent about the request that holds the key, and takes the claim over if the request was not run. */
function follow (state: ClaimState, sender: Sender, mutation: Mutation): ClaimState {
  const { claim } = state
  if (claim === null || claim.owner === sender || claim.state !== 'open') return withPhase(state, sender, 'over')
  const isKnown = claim.incarnation === state.incarnation || mutation === 'ignoreIncarnation'
  if (!isKnown) return withPhase({ ...state, claim: { ...claim, state: 'unknown' } }, sender, 'over')
  if (state.record[claim.owner] === 'ran') return withPhase({ ...state, claim: { ...claim, state: 'answered' } }, sender, 'over')
  const record = mutation === 'forgetAbandon' ? state.record : { ...state.record, [claim.owner]: 'notRun' as const }
  return take({ ...state, record }, sender)
}

function withPhase (state: ClaimState, sender: Sender, phase: Phase): ClaimState {
  return { ...state, phases: { ...state.phases, [sender]: phase } }
}
