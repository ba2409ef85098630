import { createTRPCClient, type TRPCClient } from '@trpc/client'
import type { CatalogueUpdate } from '../../core/catalogue'
import { Failure } from '../../core/failures'
import type { LedgerCommand, LedgerReply } from '../../core/ledger'
import { Err, type Result } from '../../core/results'
import { callPeer, createPeerLink, type Address, type ConnectionPool, type PeerAnswer } from '../../transport'
import type { CatalogueWatch, ControlQuery, ControlRouter, ControlView } from './controlRouter'

/** Options of a client of the control group. */
export interface ControlClientOptions {
  /** Addresses of the replicas by name. */
  readonly members: ReadonlyMap<string, Address>
  readonly pool: ConnectionPool
  readonly peerKey: string
  /** Timeout of one call to one replica, in milliseconds. */
  readonly callTimeoutMs: number
  /** Time after which a call fails if no leader was found, in milliseconds. */
  readonly totalTimeoutMs: number
  readonly now: () => number
}

/** A client of the control group that sends each call to the current leader. */
export interface ControlClient {
  /** Proposes a command. After "control/unavailable" the command may or may not have been committed. */
  propose (command: LedgerCommand): Promise<Result<LedgerReply, Failure>>
  query (query: ControlQuery): Promise<Result<ControlView, Failure>>
  watch (watch: CatalogueWatch): Promise<Result<CatalogueUpdate, Failure>>
  /** Fails calls that are still retrying to find a leader. */
  close (): void
}

type Client = TRPCClient<ControlRouter>

const retryDelayMs = 50

/** Creates a client that follows the leader. A command is retried until its outcome is known, which is safe because every command is idempotent. */
export function createControlClient (options: ControlClientOptions): ControlClient {
  const clients = new Map<string, Client>()
  const watchClients = new Map<string, Client>()
  for (const [name, address] of options.members) {
    clients.set(name, createTRPCClient<ControlRouter>({ links: [createPeerLink({ ...options, address, timeoutMs: options.callTimeoutMs })] }))
    // A watch is a long poll at the leader, so its timeout is longer than that of other calls.
    watchClients.set(name, createTRPCClient<ControlRouter>({ links: [createPeerLink({ ...options, address, timeoutMs: options.callTimeoutMs + maximumWatchMs })] }))
  }
  let isClosed = false
  const leader = createLeaderTracker([...options.members.keys()])

  async function callLeader<Value> (members: ReadonlyMap<string, Client>, call: (client: Client) => Promise<PeerAnswer<Value>>): Promise<Result<Value, Failure>> {
    const retryDeadline = options.now() + options.totalTimeoutMs
    for (;;) {
      const name = leader.current()
      const client = members.get(name)
      if (client === undefined) return Err(new Failure('control/unavailable'))
      const outcome = await callPeer(call(client))
      if (outcome.ok || !isRetryable(outcome.val)) return outcome
      leader.recordNotLeader(name, outcome.val)
      if (isClosed || options.now() + retryDelayMs > retryDeadline) return Err(new Failure('control/unavailable', { got: outcome.val.message }))
      await new Promise(resolve => setTimeout(resolve, retryDelayMs))
    }
  }

  return {
    propose: async command => await callLeader(clients, async client => await client.propose.mutate(command)),
    query: async query => await callLeader(clients, async client => await client.query.query(query)),
    watch: async watch => await callLeader(watchClients, async client => await client.watch.mutate({ ...watch, reports: [...watch.reports] })),
    close: () => { isClosed = true }
  }
}

/** Upper bound on how long a watch may wait at the leader, in milliseconds. */
export const maximumWatchMs = 2000

interface LeaderTracker {
  current (): string
  /** Records that a replica is not the leader and selects the next one: the leader named in the failure, if any. */
  recordNotLeader (name: string, failure: Failure): void
}

function createLeaderTracker (names: readonly string[]): LeaderTracker {
  let guess = names[0] ?? ''
  return {
    current: () => guess,
    recordNotLeader: (name, failure) => {
      if (guess !== name) return
      const hint = failure.code === 'control/not-leader' ? failure.detail.expected : undefined
      const next = names[(names.indexOf(name) + 1) % names.length] ?? name
      guess = hint !== undefined && hint !== name && names.includes(hint) ? hint : next
    }
  }
}

function isRetryable (failure: Failure): boolean {
  return failure.code === 'control/not-leader' || failure.code === 'control/unavailable' || failure.code.startsWith('transport/')
}
