import { BoundedMap } from '../../core/boundedMap'
import { FillPacing, maximumPairs, type EndedRun, type PairStanding } from '../../core/jobs'
import { HeldRuns } from './heldRuns'
import type { Registration } from './workerAgentMessage'

/** The end of a run which a boot listed although the run was ordered at a former one. */
export interface InheritedEnd {
  /** The boot at which it was ordered. */
  readonly worker: string
  readonly end: EndedRun
}

/** The worker of this VM in its present boot. */
export interface AgentBoot {
  /** The name of this boot. */
  readonly worker: string
  registration: Registration
  /** Whether the boot has registered; before that it is known only by its list. */
  isRegistered: boolean
  /** Whether no call that was meant for a former boot under its id may still come; before that it is not reported, and gets no runs. */
  isSettled: boolean
  /** Whether it may hold a lease from calls which were meant for a former boot under its id. */
  mayHoldLease: boolean
  /** Ends that it listed of runs which were ordered at former boots under its id. */
  inheritedEnds: readonly InheritedEnd[]
  /** The end of its lease in its own clock, as far as the leader granted it. */
  leaseEndMs: number
  /** What the leader wants at it, and what is not certainly gone from it. */
  readonly held: HeldRuns
  /** Whether the complete list of the present leader has come; before that nothing is ordered. */
  isSynced: boolean
  /** Whether the leader allows that runs are started, as it last said. */
  areStartsAllowed: boolean
  /** Whether the leader has said so on the present stream; before that nothing is started. */
  isToldOfStarts: boolean
  /** When the boot was last reported to a leader, in milliseconds of the steady clock. */
  reportedAt: number
  /** Since when looks were sent to the leader without a lease in answer; undefined if the last one was answered. */
  unansweredSince: number | undefined
  readonly pacing: FillPacing
  /** What is known of a filling image beside a serving one, by `pairOf`. */
  readonly standings: BoundedMap<string, PairStanding>
  /** Ends up to this sequence number are committed. */
  acknowledged: number
  /** The highest sequence number which was reported to the leader. */
  reported: number
  /** When filling tasks were last paced by new figures. */
  pacedAt: number
  isLooking: boolean
  lookNumber: number
  /** The number of the newest look that was answered with a list. */
  listedLook: number
  nextLookAt: number
  /** Looks in a row which found nothing listening. */
  refusals: number
}

/** The wait within a look while tasks serve beside filling ones, and the least time between two paces, in milliseconds; figures cover half a second. */
export const pacingLookMs = 500

/** Makes the record of a boot that has just registered. */
export function createAgentBoot (worker: string, registration: Registration): AgentBoot {
  return {
    worker,
    registration,
    isRegistered: true,
    isSettled: true,
    mayHoldLease: false,
    inheritedEnds: [],
    leaseEndMs: 0,
    held: new HeldRuns(),
    isSynced: false,
    areStartsAllowed: true,
    isToldOfStarts: false,
    reportedAt: Number.NEGATIVE_INFINITY,
    unansweredSince: undefined,
    pacing: new FillPacing(),
    standings: new BoundedMap(maximumPairs),
    acknowledged: 0,
    reported: 0,
    pacedAt: 0,
    isLooking: false,
    lookNumber: 0,
    listedLook: 0,
    nextLookAt: 0,
    refusals: 0
  }
}
