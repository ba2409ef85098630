/** The progress of a request at its agent. */
export type RequestStatus = 'waiting' | 'running' | 'ran' | 'notRun' | 'unknown'

/** How a request ended, as far as its agent can prove it; `unknown` if it may have run. */
export type EndStatus = 'ran' | 'notRun' | 'unknown'

interface RecordedRequest {
  readonly status: RequestStatus
  /** When the request ended; undefined while it waits or runs. */
  readonly endedAt: number | undefined
}

/** The bounded record of request ids that one incarnation of an agent has seen. */
export class RequestRecord {
  private readonly records = new Map<string, RecordedRequest>()

  constructor (private readonly maximum: number, private readonly rememberMs: number) {}

  /** Whether another id could only be added by dropping one before its retention time is over. */
  get isFull (): boolean {
    return this.records.size >= this.maximum
  }

  get (requestId: string): RequestStatus | undefined {
    return this.records.get(requestId)?.status
  }

  /** Adds an id; returns false if the record is full. */
  add (requestId: string, status: RequestStatus, now: number): boolean {
    if (this.isFull) return false
    this.set(requestId, status, now)
    return true
  }

  /** Records a request as waiting or running, even if the record is full. */
  setLive (requestId: string, status: 'waiting' | 'running'): void {
    this.records.set(requestId, { status, endedAt: undefined })
  }

  /** Sets the status of an id and moves it to the end of the map, so that ended ids are ordered by their time of ending. */
  set (requestId: string, status: RequestStatus, now: number): void {
    this.records.delete(requestId)
    const isLive = status === 'waiting' || status === 'running'
    this.records.set(requestId, { status, endedAt: isLive ? undefined : now })
  }

  /** Drops ids that ended at least the retention time ago. */
  removeOld (now: number): void {
    for (const [id, recorded] of this.records) {
      if (recorded.endedAt === undefined) continue
      if (recorded.endedAt + this.rememberMs > now) return
      this.records.delete(id)
    }
  }
}
