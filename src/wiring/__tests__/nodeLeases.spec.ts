import { expect } from 'chai'
import { leaseMsOf, leaseOptionsOf } from '../nodeLeases'
import { settingsOf } from './leaseFixture'

describe('the leases of a node', () => {
  it('last 5 s, or as long as workers allow if `longest_leases` is set', () => {
    expect([settingsOf(10_000, false), settingsOf(10_000, true), settingsOf(6000, true)].map(leaseMsOf)).to.deep.equal([5000, 10_000, 6000])
  })

  it('are never longer than workers allow', () => {
    expect([settingsOf(3000, false), settingsOf(3000, true)].map(leaseMsOf)).to.deep.equal([3000, 3000])
  })

  it('exclude a silent worker from new tasks after 2.5 s, or after half of a shorter lease', () => {
    const settings = [settingsOf(10_000, false), settingsOf(10_000, true), settingsOf(3000, false)]
    expect(settings.map(found => leaseOptionsOf(found, 1000).heardWithinMs)).to.deep.equal([2500, 2500, 1500])
  })
})
