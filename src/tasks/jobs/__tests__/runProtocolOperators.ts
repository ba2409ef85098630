import type { EvacuationChange } from '../leaderMessage'
import type { ModelGroup } from './runProtocolGroup'
import type { World } from './runProtocolWorker'

/** The zones of places, by turns. */
export const modelZones = ['zone-0', 'zone-1'] as const

const patienceMs = 1000
const pauseMs = 100

/** Operators who evacuate zones and withdraw their orders, each sent again until it is acknowledged. */
export class ModelOperators {
  private readonly evacuated = new Set<string>()
  private readonly busy = new Set<string>()

  constructor (private readonly world: World, private readonly group: ModelGroup) {}

  /** Changes whether a zone is evacuated, unless an order on it is on its way. */
  change (zone: string): void {
    if (this.busy.has(zone)) return
    const { history } = this.world
    const isEnd = this.evacuated.has(zone)
    this.busy.add(zone)
    if (isEnd) history.opened(zone)
    this.insist(zone, isEnd ? 'end' : 'start', () => {
      this.busy.delete(zone)
      if (isEnd) this.evacuated.delete(zone)
      else this.evacuated.add(zone)
      if (!isEnd) history.closed(zone)
      if (!isEnd && !this.world.isTroubled) this.change(zone)
    })
  }

  /** Withdraws all orders. */
  withdrawAll (): void {
    for (const zone of [...this.evacuated]) this.change(zone)
  }

  private insist (zone: string, change: EvacuationChange, onAcknowledged: () => void): void {
    const { time } = this.world
    let isOver = false
    const again = (): void => {
      if (isOver) return
      isOver = true
      this.insist(zone, change, onAcknowledged)
    }
    time.after(patienceMs, again)
    this.group.evacuate(zone, change, outcome => {
      if (isOver) return
      if (outcome !== 'committed') return time.after(pauseMs, again)
      isOver = true
      onAcknowledged()
    })
  }
}
