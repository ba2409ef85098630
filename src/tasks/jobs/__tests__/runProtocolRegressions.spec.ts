import { expect } from 'chai'
import { playHistory, type HistoryFocus } from './runProtocolModel'

const lateLeases: HistoryFocus = { troubles: { crash: 1500, cut: 1500 }, calls: { start: { late: 0.3 }, look: { late: 0.1 } }, sameIdShare: 1 }
const lateStarts: HistoryFocus = { troubles: { crash: 1500 }, calls: { start: { late: 0.3 } }, sameIdShare: 1 }
const lostStops: HistoryFocus = { troubles: { crash: 700, breakStream: 300 }, calls: { start: { late: 0.3, slow: 0.3 }, stop: { lost: 0.3, unhealthy: 0.3 } }, sameIdShare: 1 }

async function expectUnbroken (seed: number, focus: HistoryFocus): Promise<void> {
  const { breach, trace } = await playHistory(seed, focus)
  expect(breach?.rule, `${breach?.what ?? ''}\n${trace}`).to.equal(undefined)
}

describe('the protocol between leader, agent and worker, when workers come back under the same id', function () {
  this.timeout(60_000)

  it('waits for the lease that a late order gives to the next boot, also if nothing listened before it', async () => {
    await expectUnbroken(55, lateLeases)
  })

  it('waits for the lease that a late look gives to the next boot after its report', async () => {
    await expectUnbroken(71, lateLeases)
  })

  it('keeps late orders from running at the next one while a late registration hides it', async () => {
    await expectUnbroken(5060, lateStarts)
  })

  it('starts no run elsewhere because of a lapsed lease while its start may still reach a boot under the id', async () => {
    await expectUnbroken(5082, lateStarts)
  })

  it('acknowledges no end "done" of a late run whose task has gone on', async () => {
    await expectUnbroken(95, lostStops)
  })
})
