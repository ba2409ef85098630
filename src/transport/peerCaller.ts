import { TRPCClientError, type TRPCLink } from '@trpc/client'
import type { AnyRouter } from '@trpc/server'
import { observable } from '@trpc/server/observable'
import { Failure, isFailure, isFailureRecord, toFailure, type FailureRecord } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'
import type { Address, ConnectionPool } from './connectionPool'
import { sendToPeer, type PeerReply } from './peerRequest'

/** The header which carries the key shared by the processes of a deployment. */
export const peerKeyHeader = 'heatherdrum-peer-key'

/** The path prefix of calls between the processes of a deployment. */
export const callPath = '/call'

/** Options of a link to one peer. `timeoutMs` limits each call as a whole. */
export interface PeerLinkOptions {
  readonly address: Address
  readonly pool: ConnectionPool
  readonly peerKey: string
  readonly timeoutMs: number
}

/**
 * Creates the tRPC link to one peer. The library's own HTTP links use the runtime's fetch, which gives no access
 * to its sockets and whose objects account for most of the time of a small call.
 */
export function createPeerLink<Router extends AnyRouter> (options: PeerLinkOptions): TRPCLink<Router> {
  return () => ({ op }) => observable(observer => {
    sendToPeer({
      pool: options.pool,
      address: options.address,
      path: `${callPath}/${op.path}`,
      headers: { [peerKeyHeader]: options.peerKey },
      body: { input: op.input },
      timeoutMs: options.timeoutMs,
      signal: op.signal
    }).then(reply => {
      observer.next({ result: { type: 'data', data: readData(reply) } })
      observer.complete()
    }).catch((error: unknown) => observer.error(TRPCClientError.from(error as Error)))
  })
}

function readData (reply: PeerReply): unknown {
  if (reply.status === 200) return (JSON.parse(reply.text) as { readonly data?: unknown }).data
  throw new Failure('transport/broken', { expected: 'status 200', got: `status ${reply.status} ${reply.text.slice(0, maximumErrorTextLength)}` })
}

const maximumErrorTextLength = 200

/** The serialised form of a result between processes. */
export type PeerAnswer<Value> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly failure: FailureRecord }

/** Converts a result to its serialised form for a peer. */
export function toPeerAnswer<Value> (result: Result<Value, Failure>): PeerAnswer<Value> {
  return result.ok ? { ok: true, value: result.val } : { ok: false, failure: result.val.record }
}

/** Waits for a peer's answer. A call that fails is returned as a Failure, `transport/broken` if the error has no code of its own. */
export async function callPeer<Value> (call: Promise<PeerAnswer<Value>>): Promise<Result<Value, Failure>> {
  try {
    const answer = await call
    if (answer.ok) return Ok(answer.value)
    return Err(isFailureRecord(answer.failure) ? toFailure(answer.failure) : new Failure('transport/broken', { got: 'an unknown failure code' }))
  } catch (error) {
    return Err(findFailure(error))
  }
}

function findFailure (error: unknown): Failure {
  if (isFailure(error)) return error
  if (error instanceof TRPCClientError && isFailure(error.cause)) return error.cause
  return new Failure('transport/broken', { got: error instanceof Error ? error.message : String(error) })
}
