import { TRPCClientError, httpLink } from '@trpc/client'
import { Failure, isFailure, isFailureRecord, toFailure, type FailureRecord } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'
import { formatAddress, type Address, type ConnectionPool } from './connectionPool'
import { createPeerFetch } from './peerFetch'

/** The header which carries the shared key between our processes. */
export const peerKeyHeader = 'heatherdrum-peer-key'

/** The path under which our processes answer calls of each other. */
export const callPath = '/call'

/** Options of a link to one peer. */
export interface PeerLinkOptions {
  readonly address: Address
  readonly pool: ConnectionPool
  readonly peerKey: string
  readonly timeoutMs: number
}

/** Makes the tRPC link to one peer. */
export function createPeerLink (options: PeerLinkOptions): ReturnType<typeof httpLink> {
  return httpLink({
    url: `http://${formatAddress(options.address)}${callPath}`,
    headers: { [peerKeyHeader]: options.peerKey },
    fetch: createPeerFetch({ pool: options.pool, timeoutMs: options.timeoutMs }) as never
  })
}

/** An answer which carries either a value or a failure between processes. */
export type PeerAnswer<Value> =
  | { readonly ok: true, readonly value: Value }
  | { readonly ok: false, readonly failure: FailureRecord }

/** Turns a result into an answer for a peer. */
export function toPeerAnswer<Value> (result: Result<Value, Failure>): PeerAnswer<Value> {
  return result.ok ? { ok: true, value: result.val } : { ok: false, failure: result.val.record }
}

/** Waits for a peer's answer; a broken call becomes a typed failure. */
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
