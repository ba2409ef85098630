import { BoundedMap } from '../../core/boundedMap'
import { FillPacing, maximumPairs, type EndedRun, type WeightEstimate } from '../../core/jobs'
import { DrainNotice } from './drainNotice'
import { TrackedRuns } from './trackedRuns'
import type { Registration } from './workerAgentMessage'

/** The end of a run that a boot listed although the run was ordered at a former boot. */
export interface InheritedEnd {
  /** The boot at which the run was ordered. */
  readonly worker: string
  readonly end: EndedRun
}

/** The worker's clock as one of its lists told it; heartbeats don't tell it, as others than the worker may send them. */
export interface ListedClock {
  /** The worker's clock, in milliseconds. */
  readonly clockMs: number
  /** When the list was asked for, in milliseconds of the steady clock of this process; the worker's clock was read then or later. */
  readonly askedAt: number
}

/** The current boot of the worker on this VM, with what its agent knows of it. */
export interface AgentBoot {
  /** The name of this boot, from the agent, the worker id and the time of its start. */
  readonly worker: string
  registration: Registration
  /** Its newest heartbeat as it was; `registration` has what has taken effect of it. */
  newestHeartbeat: Registration
  drainNotice: DrainNotice
  /** Whether the leader was told that it drains and may still contradict that. */
  isDrainReportedUnconfirmed: boolean
  /** The clock in its newest list. */
  listedClock: ListedClock
  /** Whether the boot has registered; before that it is known only from the answer to a look. */
  isRegistered: boolean
  /** Whether no call meant for a former boot under its worker id can still start a run here or drop ends; until then it is not reported and gets no runs. */
  isSettled: boolean
  /** The last moment at which a call meant for a former boot under its worker id may have granted it a lease or may yet, in milliseconds of the steady clock; negative infinity if none can. */
  lateCallsUntil: number
  /** Ends that it listed of runs ordered at former boots under its worker id. */
  inheritedEnds: readonly InheritedEnd[]
  /** The end of the lease granted by the leader, in milliseconds of the worker's clock; 0 before the first lease. */
  leaseEndMs: number
  /** The runs that the leader ordered here, and those not yet certain to be gone. */
  readonly trackedRuns: TrackedRuns
  /** Whether the complete list of the current leader has arrived; until then nothing is ordered. */
  isSynced: boolean
  /** Whether the leader allows runs to be started, as last received. */
  areStartsAllowed: boolean
  /** Whether that was received on the current stream; until then nothing is started. */
  isStartPermissionKnown: boolean
  /** Time of the last report of the boot to a leader, in milliseconds of the steady clock. */
  reportedAt: number
  /** Time of the first look sent to the leader and not yet answered by a lease; undefined if there is none. */
  unansweredSince: number | undefined
  readonly pacing: FillPacing
  /** The learned pressure of pairs of a serving and a filling image, by `pairOf`. */
  readonly pressures: BoundedMap<string, WeightEstimate>
  /** Ends up to this sequence number are committed. */
  acknowledged: number
  /** Ends up to this sequence number were dropped by the worker, as it has answered a look that acknowledged them. */
  droppedSequence: number
  /** What the look that is under way acknowledges; 0 if nothing. */
  lookAcknowledges: number
  /** The highest sequence number of an end that was reported to the leader. */
  reportedSequence: number
  /** When the paces of filling tasks were last computed from new figures, in milliseconds of the steady clock. */
  lastPacedAt: number
  isLooking: boolean
  lookNumber: number
  /** When the newest look was sent, in milliseconds of the steady clock. */
  lookSentAt: number
  /** The number of the newest look that was answered with a list. */
  listedLook: number
  nextLookAt: number
  /** Consecutive looks that found nothing or another boot listening. */
  consecutiveRefusals: number
  /** When the worker stopped answering, in milliseconds of the steady clock; undefined while it answers. */
  silentSince: number | undefined
  /** Whether nothing listened at its address since it last answered; what listens there next may be another boot under its worker id. */
  mayBeGone: boolean
}

/** How long a look waits while serving tasks run beside filling ones, and the shortest interval between two paces, in milliseconds; figures cover half a second. */
export const pacingIntervalMs = 500

/** Creates the record of a boot that the worker has just confirmed; nothing was ordered at it yet. */
export function createAgentBoot (worker: string, registration: Registration, listedClock: ListedClock): AgentBoot {
  return {
    worker,
    registration,
    newestHeartbeat: registration,
    drainNotice: new DrainNotice(registration, listedClock.askedAt),
    isDrainReportedUnconfirmed: false,
    listedClock,
    isRegistered: true,
    isSettled: true,
    lateCallsUntil: Number.NEGATIVE_INFINITY,
    inheritedEnds: [],
    leaseEndMs: 0,
    trackedRuns: new TrackedRuns(),
    isSynced: false,
    areStartsAllowed: true,
    isStartPermissionKnown: false,
    reportedAt: Number.NEGATIVE_INFINITY,
    unansweredSince: undefined,
    pacing: new FillPacing(),
    pressures: new BoundedMap(maximumPairs),
    acknowledged: 0,
    droppedSequence: 0,
    lookAcknowledges: 0,
    reportedSequence: 0,
    lastPacedAt: 0,
    isLooking: false,
    lookNumber: 0,
    lookSentAt: Number.NEGATIVE_INFINITY,
    listedLook: 0,
    nextLookAt: 0,
    consecutiveRefusals: 0,
    silentSince: undefined,
    mayBeGone: false
  }
}
