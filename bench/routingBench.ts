import { ExpectedDelayRouting, LeastOutstandingRouting, RandomRouting, RoundRobinRouting, TwoChoicesRouting, type RoutingPolicy } from '../src/core/routing'
import { runIdeal, runModel, type ModelOptions } from './dispatchModel'
import { createRandom, percentile, round } from './random'

const slots = 8
const endpoints = 10
const meanServiceMs = 20
/** The last endpoint takes this many times as long. */
const slowFactor = 2
const requests = 60_000
const seeds = [1, 2, 3]
const loads = [0.5, 0.8, 0.95]
const deadlineMs = 60_000
const roundTripMs = 2

/** Log-normal service times: heavy tail, mean as given. */
const sigma = 1
const baselineQueue = 100_000

const baselines: ReadonlyArray<() => RoutingPolicy> = [
  () => new RandomRouting(),
  () => new RoundRobinRouting(),
  () => new LeastOutstandingRouting(),
  () => new TwoChoicesRouting()
]

function drawServiceMs (endpoint: number, random: () => number): number {
  const normal = Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random())
  const time = meanServiceMs * Math.exp(sigma * normal - sigma ** 2 / 2)
  return endpoint === endpoints - 1 ? slowFactor * time : time
}

function modelOf (load: number, otherZoneMs: number, seed: number, policy: () => RoutingPolicy, gateQueue: number): ModelOptions {
  const capacityPerSecond = ((endpoints - 1) + 1 / slowFactor) * slots * 1000 / meanServiceMs
  return {
    policy,
    entries: 3,
    endpoints,
    slots,
    gateQueue,
    queueCapacity: 100_000,
    queueLimit: 100_000,
    deadlineMs,
    traffic: [{ entry: 'matching', organisation: 'tonos', rate: load * capacityPerSecond }],
    ownZoneMs: 1,
    otherZoneMs,
    jitter: 0.3,
    loss: 0.001,
    retransmitMs: 200,
    serviceMs: drawServiceMs,
    announceMs: 1000,
    requests,
    random: createRandom(seed)
  }
}

interface Percentiles {
  readonly p50: number
  readonly p99: number
  readonly p999: number
}

function summarize (runs: ReadonlyArray<readonly number[]>): Percentiles {
  const mean = (share: number): number => round(runs.reduce((sum, run) => sum + percentile(run, share), 0) / runs.length)
  return { p50: mean(0.5), p99: mean(0.99), p999: mean(0.999) }
}

/** Compares routing policies in virtual time. */
export function runRoutingBench (): object {
  return [3, 5].flatMap(otherZoneMs => loads.map(load => {
    const measure = (policy: () => RoutingPolicy, gateQueue: number): Percentiles =>
      summarize(seeds.map(seed => runModel(modelOf(load, otherZoneMs, seed, policy, gateQueue)).latenciesMs))
    const results: Record<string, Percentiles> = {}
    for (const policy of baselines) results[policy().name] = measure(policy, baselineQueue)
    const bestBaseline = Math.min(...Object.values(results).map(result => result.p99))
    const ours = measure(() => new ExpectedDelayRouting(), 2)
    const ideal = summarize(seeds.map(seed => runIdeal(modelOf(load, otherZoneMs, seed, () => new RandomRouting(), 0))))
    return {
      load,
      other_zone_ms: otherZoneMs,
      ...results,
      ours,
      ideal,
      ours_p99_over_ideal: round(ours.p99 / (ideal.p99 + roundTripMs)),
      ours_p99_over_best_baseline: round(ours.p99 / bestBaseline)
    }
  }))
}
