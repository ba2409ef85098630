import { fileURLToPath } from 'node:url'
import { expect } from 'chai'
import { playCrashes } from '../../../bench/crashBench'
import { createRandom, hashOf } from '../../../bench/random'
import { LimitingPolicy, type AdmissionPolicy } from '../../core/jobs'
import { Emulation, parseScenario, deciders, readScenario, selectableDeciders, type EmulationOptions, type EmulationResult } from '..'

const folder = fileURLToPath(new URL('../../../bench/scenarios', import.meta.url))
const deciderNames = Object.keys(deciders)

function play (scenarioName: string, deciderName: string, seed = 7, changes: Partial<EmulationOptions> = {}): EmulationResult {
  const decider = { ...deciders, ...selectableDeciders }[deciderName]
  if (decider === undefined) throw new Error(`no decider ${deciderName}`)
  return new Emulation({ scenario: readScenario(`${folder}/${scenarioName}.toml`), ...decider, random: createRandom(seed), ...changes }).run()
}

describe('the emulated deployment', () => {
  it('gives the same result for the same seed', () => {
    expect(play('loaded', 'ours')).to.deep.equal(play('loaded', 'ours'))
  })

  for (const scenario of ['loaded', 'faults', 'cancel-wave', 'cut-burst', 'notice']) {
    it(`never overcommits a worker or runs a task twice in ${scenario} under any decider`, () => {
      for (const name of [...deciderNames, ...Object.keys(selectableDeciders)]) expect(play(scenario, name).broken).to.deep.equal([])
    })
  }

  for (const seed of [1, 2, 3, 4, 5]) {
    it(`gives up tasks that crash their workers, and fails no other job, with seed ${seed}`, () => {
      const { broken, crashes } = play('crashing-tasks', 'ours', seed)
      expect(crashes).to.be.above(0)
      expect(broken).to.deep.equal([])
    })

    it(`adds nothing to a worker whose capacity has shrunk below its reservations, with seed ${seed}`, () => {
      expect(play('capacity', 'ours', seed).broken).to.deep.equal([])
    })
  }

  for (const kind of ['at one age', 'within a third of an age', 'at any age']) {
    it(`finds tasks that crash their workers ${kind} within the limit of starts, and fails no other job`, () => {
      for (const seed of [1, 2, 3]) {
        const { culprits, found, furtherStarts, innocentsFailed } = playCrashes(kind, seed)
        expect(culprits, `culprits with seed ${seed}`).to.be.above(0)
        expect(found, `found with seed ${seed}`).to.equal(culprits)
        expect(Math.max(...furtherStarts), `starts after the third crash with seed ${seed}`).to.be.at.most(2)
        expect(innocentsFailed, `others with seed ${seed}`).to.equal(0)
      }
    })
  }

  for (const kind of ['at any age, a worker flaps', 'at any age, workers crash together', 'at any age, all workers crash often']) {
    it(`starts no task more than twice after its third crash, whatever else crashes: ${kind}`, () => {
      for (const seed of [1, 2, 3, 4, 5, 6]) {
        const { furtherStarts } = playCrashes(kind, seed)
        expect(furtherStarts.length, `culprits with seed ${seed}`).to.be.above(0)
        expect(Math.max(...furtherStarts), `starts after the third crash with seed ${seed}`).to.be.at.most(2)
      }
    })
  }

  for (const kind of ['no such task, a worker flaps', 'no such task, workers crash together', 'no such task, all workers crash often']) {
    it(`fails no job where workers crash by themselves: ${kind}`, () => {
      for (const seed of [1, 2, 3]) expect(playCrashes(kind, seed).innocentsFailed, `seed ${seed}`).to.equal(0)
    })
  }

  it('earns more worth than every baseline when a burst of filling jobs arrives beside long-running tasks', () => {
    const ours = play('loaded', 'ours')
    for (const baseline of deciderNames.filter(name => name !== 'ours')) expect(ours.worth).to.be.above(play('loaded', baseline).worth)
    expect(ours.worth).to.be.at.most(ours.bound)
  })

  it('completes more jobs in time in the order of feasible due times than in the order of due times at several times the capacity', () => {
    const [due, feasible] = [play('overload-burst', 'ours'), play('overload-burst', 'ours-feasible')]
    expect(feasible.fillingInTime).to.be.at.least(1.1 * due.fillingInTime)
    expect(feasible.worth).to.be.above(due.worth)
  })

  it('serves callers that were refused in a burst and retried, and keeps all invariants', () => {
    const play = (admission: AdmissionPolicy | undefined): Emulation => {
      const emulation = new Emulation({ scenario: readScenario(`${folder}/overload-burst.toml`), admission, random: createRandom(7) })
      expect(emulation.run().broken).to.deep.equal([])
      return emulation
    }
    expect(play(undefined).refusals().refused).to.equal(0)
    const { refused, acceptedLater, servedLater } = play(new LimitingPolicy({ rejectsLate: true, maximumWaitingTasks: 400 })).refusals()
    expect(refused).to.be.above(0)
    expect(servedLater).to.be.within(1, acceptedLater)
    expect(acceptedLater).to.be.at.most(refused)
  })

  for (const scenario of ['cut-burst', 'slow-workers']) {
    it(`earns more worth from short jobs in ${scenario} when they are packed and leases are long, and keeps all invariants`, () => {
      const results = [{}, { packsJobs: true, leaseMs: 10_000 }].map(changes => [1, 2, 3].map(seed =>
        play(scenario, 'ours', seed, { randomOf: purpose => createRandom(hashOf(`${seed} ${purpose}`)), ...changes })))
      expect(results.flat().flatMap(result => result.broken)).to.deep.equal([])
      const [usual = 0, packed = 0] = results.map(found => found.reduce((sum, result) => sum + result.smallWorth, 0) / found.length)
      expect(packed).to.be.above(usual + 0.02)
    })
  }

  it('counts each finite job once, by caller zone and size', () => {
    const { outcomes, fillingJobs, fillingInTime, fairness } = play('zone-waves', 'ours')
    const filling = outcomes.filter(outcome => outcome.kind === 'filling')
    expect(filling.reduce((sum, { inTime, late, never }) => sum + inTime + late + never, 0)).to.equal(fillingJobs)
    expect(filling.reduce((sum, { inTime }) => sum + inTime, 0)).to.equal(fillingInTime)
    expect([...new Set(filling.map(({ zone }) => zone))].sort()).to.deep.equal(['a', 'b', 'c'])
    expect(fairness).to.be.within(1 / 3, 1)
  })

  it('reports the invalid key of a scenario', () => {
    const parsed = parseScenario('about = "x"\nseconds = "long"')
    expect(parsed.ok ? '' : parsed.val.message).to.equal('a setting is invalid: seconds: expected number: got "long"')
  })
})
