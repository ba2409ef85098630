import type { Histograms, Logger, Metrics } from '../../observability'
import type { ControlClient } from '../control'
import type { AgentClient } from './agentClient'
import type { CatalogueTask } from './catalogueTask'
import type { DispatchTask } from './dispatchTask'

/** Limits for the exchanges of an entry process. Times are in milliseconds. */
export interface ExchangeBounds {
  /** Bytes of a request body that are buffered for further attempts; a longer body is streamed. */
  readonly bodyBufferBytes: number
  /** The largest request body accepted, in bytes. */
  readonly maximumBodyBytes: number
  /** The longest time without a byte of a request body. */
  readonly bodyIdleMs: number
  /** The longest time in which an agent sends nothing before its connection is treated as failed. */
  readonly silenceMs: number
  /** The longest time in which a caller reads no byte of its answer. */
  readonly callerIdleMs: number
  /** The longest answer body recorded with its claim, in bytes. */
  readonly claimAnswerBytes: number
  /** How long after its opening a claim expires. */
  readonly claimMs: number
}

/** The dependencies shared by all exchanges of an entry process. */
export interface EntryContext {
  /** The peer address of this process, which identifies it to agents as a source of requests. */
  readonly source: string
  readonly dispatch: DispatchTask
  readonly agents: AgentClient
  readonly control: ControlClient
  readonly catalogue: CatalogueTask
  readonly bounds: ExchangeBounds
  readonly histograms: Histograms
  readonly metrics: Metrics
  readonly logger: Logger
  readonly now: () => number
}
