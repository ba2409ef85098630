import { expect } from 'chai'
import { ModelGroup } from './runProtocolGroup'
import { RunHistory } from './runProtocolHistory'
import { firstOperations, ModelCallers } from './runProtocolJobs'
import { ModelPlace, type AfterPowerLoss } from './runProtocolPlace'
import { formerLeaderMs } from './runProtocolReplica'
import { Lot, VirtualTime } from './runProtocolTime'
import { longestLeaseMs, type World } from './runProtocolWorker'

const plain = { lost: 0, mute: 0, late: 0, unhealthy: 0, full: 0, slow: 0 }
const calls = { start: plain, stop: plain, pace: plain, look: plain }
const seeds = [1, 2, 3, 4]
const strikeAt = 12_000
const taskCount = 8
/** From power to a leader, in milliseconds: a boot and an election, at most. */
const longestElectionMs = 2200
/** The page of delays gives 4.7 s after the VMs are back for all that a leader and agents must find out. */
const maximumWaitMs = 4700

/** Commit, plan and start, in milliseconds. */
const startMs = 700

/** The longest time that a task was without a run once the VMs had power again, in milliseconds; one VM of five then has `after`, the others a worker under another id. */
async function measureWait (seed: number, downMs: number, after: AfterPowerLoss): Promise<number> {
  const time = new VirtualTime()
  const lot = new Lot(seed)
  const history = new RunHistory(time)
  const world: World = { time, lot, history, isTroubled: false, stillShare: 0, sameIdShare: 0, leaseMs: longestLeaseMs, suspensionMs: 0 }
  const group = new ModelGroup(world, firstOperations)
  const places = Array.from({ length: 5 }, (_, number) => new ModelPlace(world, `vm-${number}`, 'zone-0', group, calls))
  const tasks: string[] = []
  time.at(3000, () => tasks.push(...new ModelCallers(world, group).submitLasting(taskCount)))
  time.at(strikeAt, () => {
    expect(places.every(({ boot }) => (boot?.runningCount ?? 0) > 0), 'each VM has runs').to.equal(true)
    group.losePower(downMs, lot.between(600, longestElectionMs))
    for (const [number, place] of places.entries()) place.losePower(downMs, number === 0 ? after : 'otherId')
  })
  const backAt = strikeAt + downMs
  await time.run(backAt + 25_000, () => history.breach === undefined)
  expect(history.breach?.rule, history.breach?.what).to.equal(undefined)
  return Math.max(...tasks.map(task => {
    let coveredUntil = backAt
    let longestMs = 0
    for (const { startedAt, endedAt = Number.POSITIVE_INFINITY } of history.runsOf(task)) {
      if (endedAt < coveredUntil) continue
      longestMs = Math.max(longestMs, startedAt - coveredUntil)
      coveredUntil = endedAt
    }
    return coveredUntil === Number.POSITIVE_INFINITY ? longestMs : Number.POSITIVE_INFINITY
  }))
}

async function measureWaits (after: AfterPowerLoss): Promise<readonly number[]> {
  const waits: number[] = []
  for (const downMs of [1000, 6000]) for (const seed of seeds) waits.push(await measureWait(seed, downMs, after))
  return waits
}

describe('long-running tasks, when all VMs have lost power at once', function () {
  this.timeout(60_000)

  const quick: ReadonlyArray<readonly [string, AfterPowerLoss]> = [
    ['comes back under another id', 'otherId'],
    ['comes back under its id', 'sameId'],
    ['does not come back, and refuses connections', 'none'],
    ['had power all the while', 'wentOn']
  ]
  for (const [name, after] of quick) {
    it(`run again within the sum of the waits where a worker ${name}`, async () => {
      for (const waitMs of await measureWaits(after)) expect(waitMs).to.be.at.most(maximumWaitMs)
    })
  }

  it('wait for the leases that a former leader may have granted where a worker neither answers nor refuses, and no longer', async () => {
    for (const waitMs of await measureWaits('silence')) {
      const leasesMs = formerLeaderMs + longestLeaseMs / 0.98
      expect(waitMs).to.be.within(leasesMs, leasesMs + longestElectionMs + startMs)
    }
  })
})
