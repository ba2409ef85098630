import type { CallTroubles } from './runProtocolDriver'
import { ModelGroup } from './runProtocolGroup'
import { RunHistory, type Breach } from './runProtocolHistory'
import { firstOperations, ModelCallers } from './runProtocolJobs'
import { ModelPlace } from './runProtocolPlace'
import { Lot, VirtualTime } from './runProtocolTime'
import type { World } from './runProtocolWorker'

/** What came of one history. */
export interface HistoryOutcome {
  readonly seed: number
  readonly breach: Breach | undefined
  /** The events of the task concerned; empty if no rule was broken. */
  readonly trace: string
  /** Runs that were started. */
  readonly starts: number
}

const placeCount = 4
const quietStartMs = 1000
const troubledMs = 25_000
/** Longer than a late order may be on its way, a lease, and several attempts of a task after one another. */
const calmMs = 30_000
const jobCount = 12

/** Mean times between troubles of one kind, in milliseconds. */
const meanSpacings = { crash: 6000, killAgent: 8000, breakStream: 3000, cut: 8000, drain: 12_000, depose: 8000, deafen: 5000 } as const
type Trouble = keyof typeof meanSpacings

/** Plays one history with chance drawn from a seed, and checks it from the workers' view. */
export async function playHistory (seed: number): Promise<HistoryOutcome> {
  const time = new VirtualTime()
  const lot = new Lot(seed)
  const history = new RunHistory(time)
  const world: World = { time, lot, history, isTroubled: true }
  const group = new ModelGroup(world, firstOperations)
  const callTroubles = drawCallTroubles(lot)
  const places = Array.from({ length: placeCount }, (_, number) => new ModelPlace(world, `vm-${number}`, group, callTroubles))
  const callers = new ModelCallers(world, group)
  for (let number = 0; number < jobCount; number += 1) time.at(lot.between(200, troubledMs), () => callers.submit(number < 3))
  for (const [trouble, spacingMs] of Object.entries(meanSpacings)) {
    // Histories with few kinds of trouble have more of what a mixture of all would hide.
    if (lot.chance(0.6)) time.at(quietStartMs, () => repeat(world, spacingMs, () => afflict(trouble as Trouble, { world, group, places })))
  }
  time.at(troubledMs, () => {
    world.isTroubled = false
    history.note('model', 'CALM')
  })
  await time.run(troubledMs + calmMs, () => history.breach === undefined)
  const neglected = history.breach === undefined ? callers.findNeglected() : undefined
  if (neglected !== undefined) history.broken(neglected.rule, neglected.task, neglected.what)
  const { breach } = history
  return { seed, breach, trace: breach === undefined ? '' : history.trace(breach.task), starts: history.startCount }
}

function drawCallTroubles (lot: Lot): CallTroubles {
  const share = (most: number): number => lot.chance(0.5) ? lot.between(0, most) : 0
  return { lost: share(0.1), mute: share(0.1), late: share(0.15), unhealthy: share(0.08), full: share(0.08), slow: share(0.3) }
}

function repeat (world: World, spacingMs: number, act: () => void): void {
  world.time.after(-Math.log(1 - world.lot.next()) * spacingMs, () => {
    if (!world.isTroubled) return
    act()
    repeat(world, spacingMs, act)
  })
}

function afflict (trouble: Trouble, { world: { lot }, group, places }: { readonly world: World, readonly group: ModelGroup, readonly places: readonly ModelPlace[] }): void {
  if (trouble === 'depose') return group.depose()
  if (trouble === 'deafen') return group.deafen(lot.between(50, 600))
  const place = lot.pick(places)
  if (trouble === 'cut') {
    place?.cut(lot.chance(0.4) ? lot.between(200, 1500) : lot.between(1500, 9000))
    // What crashes behind a cut is known late.
    if (lot.chance(0.3)) place?.crash()
    return
  }
  place?.[trouble]()
}
