import { expect } from 'chai'
import { runModel, type ModelOptions, type ModelResult } from '../../../../bench/dispatchModel'
import { createRandom } from '../../../../bench/random'
import { ExpectedDelayRouting } from '../../routing'

const slots = 8
const endpoints = 4
const serviceMs = 20
const capacityPerSecond = endpoints * slots * 1000 / serviceMs

function run (traffic: ModelOptions['traffic'], deadlineMs: number): ModelResult {
  return runModel({
    policy: () => new ExpectedDelayRouting(),
    entries: 3,
    endpoints,
    slots,
    gateQueue: 2,
    queueCapacity: 300,
    queueLimit: 300,
    deadlineMs,
    traffic,
    ownZoneMs: 1,
    otherZoneMs: 3,
    jitter: 0.3,
    loss: 0.001,
    retransmitMs: 200,
    serviceMs: (_endpoint, random) => serviceMs * (0.5 + random()),
    announceMs: 1000,
    requests: 30_000,
    random: createRandom(5)
  })
}

describe('a dispatcher under three times its capacity', () => {
  const result = run([
    { entry: 'tastings', organisation: 'cartago', rate: 2.5 * capacityPerSecond },
    { entry: 'shades', organisation: 'tonos', rate: 0.4 * capacityPerSecond },
    { entry: 'reports', organisation: 'other', rate: 0.1 * capacityPerSecond, priority: 'batch' }
  ], 250)
  const share = (organisation: string): number => (result.answered.get(organisation) ?? 0) / (capacityPerSecond * result.elapsedMs / 1000)

  it('answers more than 90% of its capacity within the deadline', () => {
    expect(share('cartago') + share('tonos') + share('other')).to.be.greaterThan(0.9)
  })

  it('serves the full demand of an organisation that asks for less than its share', () => {
    expect(share('tonos')).to.be.greaterThan(0.9 * 0.4)
  })

  it('sheds batch requests before latency-critical ones', () => {
    expect(share('other')).to.be.lessThan(0.02)
  })
})
