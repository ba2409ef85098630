import type { EndpointView } from './endpointTable'

/** Chooses an endpoint for a request; undefined if the request should wait at the entry process. */
export abstract class RoutingPolicy {
  abstract readonly name: string
  abstract choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined
}

/** Chooses among all endpoints with equal probability. */
export class RandomRouting extends RoutingPolicy {
  override readonly name = 'random'

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    return candidates[Math.floor(random() * candidates.length)]
  }
}

/** Chooses the endpoints in turn. */
export class RoundRobinRouting extends RoutingPolicy {
  override readonly name = 'round_robin'
  private next = 0

  override choose (candidates: readonly EndpointView[]): EndpointView | undefined {
    this.next += 1
    return candidates[this.next % Math.max(1, candidates.length)]
  }
}

/** Chooses the endpoint with the fewest outstanding requests of this entry process. */
export class LeastOutstandingRouting extends RoutingPolicy {
  override readonly name = 'least_outstanding'

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    return chooseCheapest(candidates, view => view.own, random)
  }
}

/** Chooses the less loaded of two endpoints that are drawn at random. */
export class TwoChoicesRouting extends RoutingPolicy {
  override readonly name = 'power_of_two'

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    const first = candidates[Math.floor(random() * candidates.length)]
    const second = candidates[Math.floor(random() * candidates.length)]
    if (first === undefined || second === undefined) return undefined
    return first.own + first.others <= second.own + second.others ? first : second
  }
}

/** Options of an ExpectedDelayRouting. */
export interface ExpectedDelayOptions {
  /** The share of each agent's queue that is used before requests wait at the entry process. */
  readonly queueShare: number
}

/**
 * Chooses the endpoint with the lowest expected delay: the network round trip, the wait for a slot, and the
 * difference to the fastest endpoint's response time. If all are full, the request waits at the entry process.
 */
export class ExpectedDelayRouting extends RoutingPolicy {
  override readonly name = 'expected_delay'

  constructor (private readonly options: ExpectedDelayOptions = { queueShare: 1 }) {
    super()
  }

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    const open = candidates.filter(view => load(view) < view.slots + view.queue * this.options.queueShare)
    const fastest = Math.min(...open.map(view => view.meanMs ?? 0))
    return chooseCheapest(open, view => expectedDelay(view, fastest), random)
  }
}

function load (view: EndpointView): number {
  return view.own + view.others
}

function expectedDelay (view: EndpointView, fastestMs: number): number {
  const mean = view.meanMs ?? fastestMs
  const excess = Math.max(0, load(view) + 1 - view.slots)
  const wait = excess * mean / view.slots
  // The fuller an endpoint is, the more likely it has no free slot when the request arrives.
  const fullness = load(view) / view.slots
  const risk = mean * fullness ** 4 / view.slots
  return 2 * view.oneWayDelayMs + wait + risk + Math.max(0, mean - fastestMs)
}

function chooseCheapest (candidates: readonly EndpointView[], cost: (view: EndpointView) => number, random: () => number): EndpointView | undefined {
  let best: EndpointView | undefined
  let bestCost = Number.POSITIVE_INFINITY
  let ties = 0
  for (const view of candidates) {
    const viewCost = cost(view)
    if (viewCost > bestCost) continue
    ties = viewCost === bestCost ? ties + 1 : 1
    if (ties === 1 || random() * ties < 1) best = view
    bestCost = viewCost
  }
  return best
}
