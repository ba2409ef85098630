import type { CallKind, CallTroubles } from './runProtocolDriver'
import { ModelGroup } from './runProtocolGroup'
import { RunHistory, type Breach } from './runProtocolHistory'
import { firstOperations, ModelCallers } from './runProtocolJobs'
import { ModelOperators, modelZones } from './runProtocolOperators'
import { ModelPlace } from './runProtocolPlace'
import { Lot, VirtualTime } from './runProtocolTime'
import type { World } from './runProtocolWorker'

/** What strikes places and the group. */
export type Trouble = 'crash' | 'killAgent' | 'breakStream' | 'cut' | 'drain' | 'depose' | 'deafen' | 'evacuate' | 'mislead' | 'suspend'

/** The troubles of a history that drives one race; what isn't named doesn't happen. */
export interface HistoryFocus {
  /** Mean times between troubles of a kind, in milliseconds. */
  readonly troubles: Readonly<Partial<Record<Trouble, number>>>
  /** Shares of calls which meet a trouble. */
  readonly calls: Readonly<Partial<Record<CallKind, Partial<CallTroubles>>>>
  /** The share of runs that stand still, which the leader takes down; none by default. */
  readonly stillShare?: number
  /** The number of jobs with a task that crashes its workers; none by default. */
  readonly crashingJobs?: number
  /** The share of crashed workers that come back under the id which they had; about half by default. */
  readonly sameIdShare?: number
  /** The bounds of cuts, in milliseconds; from a moment to nearly two leases by default. */
  readonly cutMs?: readonly [number, number]
  /** The length of a lease, in milliseconds; 5,000 by default. */
  readonly leaseMs?: number
  /** How long leaders take a silent worker for suspended, in milliseconds; 0 by default. */
  readonly suspensionMs?: number
  /** The bounds of suspensions, in milliseconds. */
  readonly suspendedMs?: readonly [number, number]
}

/** What came of one history. */
export interface HistoryOutcome {
  readonly seed: number
  readonly breach: Breach | undefined
  /** The events of the task concerned; empty if no rule was broken. */
  readonly trace: string
  /** Runs that were started. */
  readonly starts: number
  /** How often events occurred that drive races. */
  readonly counts: ReadonlyMap<string, number>
  /** All that happened, to compare two histories. */
  readonly everything: string
}

const placeCount = 4
const usualLeaseMs = 5000
const quietStartMs = 1000
const troubledMs = 25_000
/** Longer than a late order may be on its way, a lease, and several attempts of a task after one another. */
const calmMs = 30_000
const settledMs = 12_000
/** Additional calm of histories with tasks that crash their workers: with few workers they are found one after another. */
const crashingCalmMs = 45_000
const jobCount = 12
const lastingJobs = 3

/** Mean times between troubles of one kind in a mixture, in milliseconds. */
const meanSpacings: Readonly<Record<Exclude<Trouble, 'suspend'>, number>> = { crash: 6000, killAgent: 8000, breakStream: 3000, cut: 8000, drain: 12_000, depose: 8000, deafen: 5000, evacuate: 3000, mislead: 3000 }
const noCallTroubles: CallTroubles = { lost: 0, mute: 0, late: 0, unhealthy: 0, full: 0, slow: 0 }

/** Plays one history with chance drawn from a seed, and checks it from the workers' view; a mixture of all troubles without a focus. */
export async function playHistory (seed: number, focus?: HistoryFocus): Promise<HistoryOutcome> {
  const time = new VirtualTime()
  const lot = new Lot(seed)
  const history = new RunHistory(time)
  const { troubles, calls, stillShare = 0, sameIdShare = 0.6, crashingJobs = 0, cutMs, leaseMs = usualLeaseMs, suspensionMs = 0, suspendedMs = [0, 0] } = focus ?? drawMixture(lot)
  const world: World = { time, lot, history, isTroubled: true, stillShare, sameIdShare, leaseMs, suspensionMs }
  const group = new ModelGroup(world, firstOperations)
  const callTroubles = { start: completed(calls.start), stop: completed(calls.stop), pace: completed(calls.pace), look: completed(calls.look) }
  const places = Array.from({ length: placeCount }, (_, number) => new ModelPlace(world, `vm-${number}`, modelZones[number % modelZones.length] ?? '', group, callTroubles))
  const callers = new ModelCallers(world, group)
  const operators = new ModelOperators(world, group)
  for (let number = 0; number < jobCount; number += 1) time.at(lot.between(200, troubledMs), () => callers.submit(number < lastingJobs))
  for (let number = 0; number < crashingJobs; number += 1) time.at(lot.between(200, troubledMs), () => callers.submitCrashing())
  for (const [trouble, spacingMs] of Object.entries(troubles)) time.at(quietStartMs, () => repeat(world, spacingMs, () => afflict(trouble as Trouble, { world, group, places, operators, cutMs, suspendedMs })))
  time.at(troubledMs, () => {
    world.isTroubled = false
    history.note('model', 'CALM')
    operators.withdrawAll()
  })
  // By then workers which were about to leave have been replaced.
  const extraCalmMs = crashingJobs > 0 ? crashingCalmMs : 0
  time.at(troubledMs + settledMs + extraCalmMs, () => callers.submitEverywhere(placeCount))
  await time.run(troubledMs + calmMs + extraCalmMs, () => history.breach === undefined)
  const neglected = history.breach === undefined ? callers.findNeglected() : undefined
  if (neglected !== undefined) history.broken(neglected.rule, neglected.task, neglected.what)
  const { breach, counts, everything, startCount } = history
  return { seed, breach, trace: breach === undefined ? '' : history.trace(breach.task), starts: startCount, counts, everything }
}

/** Histories with few kinds of trouble have more of what a mixture of all would hide. */
function drawMixture (lot: Lot): HistoryFocus {
  const troubles = Object.fromEntries(Object.entries(meanSpacings).filter(() => lot.chance(0.6)))
  const share = (most: number): number => lot.chance(0.5) ? lot.between(0, most) : 0
  const drawn = (): CallTroubles => ({ lost: share(0.1), mute: share(0.1), late: share(0.15), unhealthy: share(0.08), full: share(0.08), slow: share(0.3) })
  return { troubles, calls: { start: drawn(), stop: drawn(), pace: drawn(), look: drawn() }, stillShare: share(0.3) }
}

function completed (troubles: Partial<CallTroubles> = {}): CallTroubles { return { ...noCallTroubles, ...troubles } }

function repeat (world: World, spacingMs: number, act: () => void): void {
  world.time.after(-Math.log(1 - world.lot.next()) * spacingMs, () => {
    if (!world.isTroubled) return
    act()
    repeat(world, spacingMs, act)
  })
}

interface Afflicted {
  readonly world: World
  readonly group: ModelGroup
  readonly places: readonly ModelPlace[]
  readonly operators: ModelOperators
  readonly cutMs: readonly [number, number] | undefined
  readonly suspendedMs: readonly [number, number]
}

function afflict (trouble: Trouble, { world: { lot, history }, group, places, operators, cutMs, suspendedMs }: Afflicted): void {
  history.count(trouble)
  if (trouble === 'depose') return group.depose()
  if (trouble === 'deafen') return group.deafen(lot.between(50, 600))
  if (trouble === 'evacuate') return operators.change(lot.pick(modelZones) ?? '')
  const place = lot.pick(places)
  if (trouble === 'cut') {
    if (cutMs !== undefined) return place?.cut(lot.between(...cutMs))
    place?.cut(lot.chance(0.4) ? lot.between(200, 1500) : lot.between(1500, 9000))
    // What crashes behind a cut is known late.
    if (lot.chance(0.3)) place?.crash()
    return
  }
  if (trouble === 'suspend') return place?.suspend(lot.between(...suspendedMs))
  place?.[trouble]()
}
