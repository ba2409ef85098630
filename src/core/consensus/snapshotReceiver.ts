import type { SnapshotRequest } from './consensusMessage'

/** Reassembles the chunks of a snapshot. A chunk out of order is dropped, and the returned offset requests it again. */
export class SnapshotReceiver {
  private index = 0
  private term = 0
  private payload = ''

  /** Adds a chunk and returns the next expected offset. */
  addChunk (request: SnapshotRequest): number {
    if (this.index !== request.index || this.term !== request.snapshotTerm) this.begin(request)
    if (request.offset === this.payload.length) this.payload += request.chunk
    return this.payload.length
  }

  /** Returns the whole payload and resets the receiver. */
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
