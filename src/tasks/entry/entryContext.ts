import type { Histograms, Logger, Metrics } from '../../observability'
import type { ControlClient } from '../control'
import type { AgentClient } from './agentClient'
import type { CatalogueTask } from './catalogueTask'
import type { DispatchTask } from './dispatchTask'

/** Bounds of the exchanges of an entry process. Times are in milliseconds. */
export interface ExchangeBounds {
  /** Bytes of a request body which are kept for another attempt. */
  readonly bodyBufferBytes: number
  /** The largest request body. */
  readonly maximumBodyBytes: number
  /** The longest time without a byte of a request body. */
  readonly bodyIdleMs: number
  /** The longest time without a sign of life from an agent. */
  readonly silenceMs: number
  /** The longest time in which a caller takes no byte of its answer. */
  readonly callerIdleMs: number
  /** Bytes of an answer which are recorded with its claim. */
  readonly claimAnswerBytes: number
  /** How long a claim is remembered. */
  readonly claimMs: number
}

/** What every exchange of an entry process uses. */
export interface EntryContext {
  /** The address of this process for agents, which names it as a source of requests. */
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
