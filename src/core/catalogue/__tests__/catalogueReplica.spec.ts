import { expect } from 'chai'
import fc from 'fast-check'
import { CatalogueReplica, type CatalogueUpdate } from '..'

const leaseMs = 100

function updateOf (revision: number, ageMs = 0): CatalogueUpdate {
  return { revision, ageMs, versions: [{ name: 'tastings', version: revision, revision }] }
}

describe('a catalogue replica', () => {
  it('never reverts to an older version, regardless of the order and repetition of updates', () => {
    fc.assert(fc.property(fc.array(fc.integer({ min: 1, max: 20 }), { maxLength: 50 }), revisions => {
      const replica = new CatalogueReplica({ leaseMs })
      let highest = 0
      for (const revision of revisions) {
        replica.apply(updateOf(revision), 0)
        highest = Math.max(highest, revision)
        expect([replica.revision, replica.versionOf('tastings')]).to.deep.equal([highest, highest])
      }
    }), { seed: 20261203, numRuns: 200 })
  })

  it('is fresh only for the lease after a confirmation that its revision is the newest', () => {
    const replica = new CatalogueReplica({ leaseMs })
    expect(replica.isFresh(0)).to.equal(false)
    replica.apply(updateOf(3, 20), 1000)
    expect([replica.isFresh(1079), replica.isFresh(1080)]).to.deep.equal([true, false])
    replica.confirm(3, 10, 1100)
    expect([replica.isFresh(1189), replica.isFresh(1190)]).to.deep.equal([true, false])
  })

  it('does not take a confirmation of another revision', () => {
    const replica = new CatalogueReplica({ leaseMs })
    replica.apply(updateOf(3), 0)
    replica.confirm(2, 0, 500)
    replica.confirm(4, 0, 500)
    expect(replica.isFresh(500)).to.equal(false)
  })
})
