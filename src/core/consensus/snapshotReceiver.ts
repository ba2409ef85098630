import type { SnapshotRequest } from './consensusMessage'

/** Puts the chunks of a snapshot together; a chunk out of order is left out and asked for again. */
export class SnapshotReceiver {
  private index = 0
  private term = 0
  private payload = ''

  /** Takes a chunk. Returns the offset which comes next. */
  take (request: SnapshotRequest): number {
    if (this.index !== request.index || this.term !== request.snapshotTerm) this.begin(request)
    if (request.offset === this.payload.length) this.payload += request.chunk
    return this.payload.length
  }

  /** The whole snapshot; the next one starts anew. */
  finish (): string {
    const { payload } = this
    this.index = 0
    this.payload = ''
    return payload
  }

  private begin (request: SnapshotRequest): void {
    this.index = request.index
    this.term = request.snapshotTerm
    this.payload = ''
  }
}
