import type { EndpointView } from './endpointTable'

/** Chooses an endpoint for a request, or none, so that the request waits at the entry process. */
export abstract class RoutingPolicy {
  abstract readonly name: string
  abstract choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined
}

/** Any endpoint, with equal chances. */
export class RandomRouting extends RoutingPolicy {
  override readonly name = 'random'

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    return candidates[Math.floor(random() * candidates.length)]
  }
}

/** One endpoint after the other. */
export class RoundRobinRouting extends RoutingPolicy {
  override readonly name = 'round_robin'
  private next = 0

  override choose (candidates: readonly EndpointView[]): EndpointView | undefined {
    this.next += 1
    return candidates[this.next % Math.max(1, candidates.length)]
  }
}

/** The endpoint with the fewest requests of this entry process. */
export class LeastOutstandingRouting extends RoutingPolicy {
  override readonly name = 'least_outstanding'

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    return smallest(candidates, view => view.own, random)
  }
}

/** The less loaded of two endpoints which are drawn at random. */
export class TwoChoicesRouting extends RoutingPolicy {
  override readonly name = 'power_of_two'

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    const first = candidates[Math.floor(random() * candidates.length)]
    const second = candidates[Math.floor(random() * candidates.length)]
    if (first === undefined || second === undefined) return undefined
    return first.own + first.others <= second.own + second.others ? first : second
  }
}

/** Options of routing by expected delay. */
export interface ExpectedDelayOptions {
  /** The share of each agent's queue which is used before requests wait at the entry process. */
  readonly queueShare: number
}

/**
 * The endpoint with the least expected delay: the way there and back, the wait for a slot,
 * and how much slower than the fastest it is. With none free, the request waits here.
 */
export class ExpectedDelayRouting extends RoutingPolicy {
  override readonly name = 'expected_delay'

  constructor (private readonly options: ExpectedDelayOptions = { queueShare: 1 }) {
    super()
  }

  override choose (candidates: readonly EndpointView[], random: () => number): EndpointView | undefined {
    const open = candidates.filter(view => load(view) < view.slots + view.queue * this.options.queueShare)
    const fastest = Math.min(...open.map(view => view.meanMs ?? 0))
    return smallest(open, view => expectedDelay(view, fastest), random)
  }
}

function load (view: EndpointView): number {
  return view.own + view.others
}

function expectedDelay (view: EndpointView, fastestMs: number): number {
  const mean = view.meanMs ?? fastestMs
  const excess = Math.max(0, load(view) + 1 - view.slots)
  const wait = excess * mean / view.slots
  // Fuller endpoints are more likely to be full by the time the request arrives.
  const fullness = load(view) / view.slots
  const risk = mean * fullness ** 4 / view.slots
  return 2 * view.distanceMs + wait + risk + Math.max(0, mean - fastestMs)
}

function smallest (candidates: readonly EndpointView[], cost: (view: EndpointView) => number, random: () => number): EndpointView | undefined {
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
