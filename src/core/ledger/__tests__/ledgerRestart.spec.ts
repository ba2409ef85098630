import { expect } from 'chai'
import { Ledger } from '..'
import { acceptOf, jobIdOf, queueOf, submissionOf } from '../../jobs/__tests__/fixtures'

describe('the ledgers of two replicas', () => {
  it('drop the same ended jobs after one was loaded from a snapshot, although the clocks of two leaders differ', () => {
    const whole = new Ledger()
    whole.apply({
      type: 'changeJobs',
      operations: [acceptOf(1), acceptOf(2), { type: 'cancelJob', jobId: jobIdOf(1), at: 102_000 }, { type: 'cancelJob', jobId: jobIdOf(2), at: 101_000 }]
    })
    const restarted = new Ledger()
    restarted.load(structuredClone(whole.save()))
    for (const ledger of [whole, restarted]) ledger.apply({ type: 'changeJobs', operations: [{ type: 'acceptJob', submission: submissionOf(3), queue: queueOf(), at: 701_500 }] })
    expect(restarted.save().jobs).to.deep.equal(whole.save().jobs)
  })
})
