import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { createRandom, hashOf } from '../../../bench/random'
import { Emulation, parseScenario, policies, readScenario, type EmulationOptions, type EmulationResult } from '..'

const folder = fileURLToPath(new URL('../../../bench/scenarios', import.meta.url))
const policyNames = Object.keys(policies)

function play (scenarioName: string, policyName: string, seed = 7, changes: Partial<EmulationOptions> = {}): EmulationResult {
  const policy = policies[policyName]
  if (policy === undefined) throw new Error(`no policy ${policyName}`)
  return new Emulation({ scenario: readScenario(`${folder}/${scenarioName}.toml`), policy, random: createRandom(seed), ...changes }).run()
}

describe('the emulated deployment', () => {
  it('gives the same result for the same seed', () => {
    expect(play('loaded', 'ours')).to.deep.equal(play('loaded', 'ours'))
  })

  for (const scenario of ['loaded', 'faults', 'cancel-wave', 'cut-burst', 'notice']) {
    it(`sees no worker over its capacity and no task twice in ${scenario}, whatever the policy`, () => {
      for (const policy of policyNames) expect(play(scenario, policy).broken).to.deep.equal([])
    })
  }

  it('serves more than every baseline when filling jobs come in a burst beside long-running tasks', () => {
    const ours = play('loaded', 'ours')
    for (const policy of policyNames.filter(name => name !== 'ours')) expect(ours.worth).to.be.above(play('loaded', policy).worth)
    expect(ours.worth).to.be.at.most(ours.bound)
  })

  for (const scenario of ['cut-burst', 'slow-workers']) {
    it(`loses fewer short jobs in ${scenario} when they are packed and leases are long, and runs no task twice`, () => {
      const results = [{}, { packsJobs: true, leaseMs: 10_000 }].map(changes => [1, 2, 3].map(seed =>
        play(scenario, 'ours', seed, { randomOf: purpose => createRandom(hashOf(`${seed} ${purpose}`)), ...changes })))
      expect(results.flat().flatMap(result => result.broken)).to.deep.equal([])
      const [usual = 0, packed = 0] = results.map(found => found.reduce((sum, result) => sum + result.smallWorth, 0) / found.length)
      expect(packed).to.be.above(usual + 0.02)
    })
  }

  it('names the key of a scenario which is wrong', () => {
    const parsed = parseScenario('about = "x"\nseconds = "long"')
    expect(parsed.ok ? '' : parsed.val.message).to.equal('a setting is invalid: seconds: expected number: got "long"')
  })
})
