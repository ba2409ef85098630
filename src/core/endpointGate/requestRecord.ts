/** How far a request got at its agent. */
export type RequestStatus = 'waiting' | 'running' | 'ran' | 'notRun' | 'unknown'

/** How a request ended, as far as its agent can prove it. */
export type EndStatus = 'ran' | 'notRun' | 'unknown'

interface Recorded {
  readonly status: RequestStatus
  /** When the request ended; undefined while it waits or runs. */
  readonly endedAt: number | undefined
}

/** The bounded memory of request ids of one incarnation of an agent. */
export class RequestRecord {
  private readonly records = new Map<string, Recorded>()

  constructor (private readonly maximum: number, private readonly rememberMs: number) {}

  /** Whether no further id can be taken without forgetting one too early. */
  get isFull (): boolean {
    return this.records.size >= this.maximum
  }

  get (requestId: string): RequestStatus | undefined {
    return this.records.get(requestId)?.status
  }

  /** Adds an id; false if the record is full. */
  add (requestId: string, status: RequestStatus, now: number): boolean {
    if (this.isFull) return false
    this.set(requestId, status, now)
    return true
  }

  /** Marks a request as live. */
  setOrAdd (requestId: string, status: 'waiting' | 'running'): void {
    this.records.set(requestId, { status, endedAt: undefined })
  }

  /** Changes the status of an id; ended ones move to the end, so that the oldest end comes first. */
  set (requestId: string, status: RequestStatus, now: number): void {
    this.records.delete(requestId)
    const isLive = status === 'waiting' || status === 'running'
    this.records.set(requestId, { status, endedAt: isLive ? undefined : now })
  }

  /** Forgets ids which ended long ago. */
  forgetOld (now: number): void {
    for (const [id, recorded] of this.records) {
      if (recorded.endedAt === undefined) continue
      if (recorded.endedAt + this.rememberMs > now) return
      this.records.delete(id)
    }
  }
}
