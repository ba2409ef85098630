import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Emulation, orderPolicies, policies, readScenario, type EmulationResult } from '../src/emulator'
import { createRandom, round } from './random'

const folder = fileURLToPath(new URL('./scenarios', import.meta.url))
const seeds = [1, 2, 3, 4, 5]

function mean (results: readonly EmulationResult[], read: (result: EmulationResult) => number): number {
  return round(results.reduce((sum, result) => sum + read(result), 0) / results.length, 3)
}

/** Plays each scenario with each policy and several seeds; shares of what was owed, and of the upper bound. */
export function runJobsBench (): readonly object[] {
  const wanted = process.argv.slice(3).filter(flag => !flag.startsWith('--'))
  const names = readdirSync(folder).map(file => file.replace('.toml', '')).filter(name => wanted.length === 0 || wanted.includes(name))
  return names.flatMap(name => {
    const scenario = readScenario(`${folder}/${name}.toml`)
    return Object.entries({ ...policies, ...orderPolicies }).map(([policyName, policy]) => {
      const results = seeds.map(seed => new Emulation({ scenario, policy, random: createRandom(seed) }).run())
      return {
        scenario: name,
        policy: policyName,
        worth: mean(results, result => result.worth),
        ofBound: mean(results, result => result.worth / result.bound),
        serving: mean(results, result => result.servingWorth),
        filling: mean(results, result => result.fillingWorth),
        small: mean(results, result => result.smallWorth),
        inTime: mean(results, result => result.fillingInTime),
        jobs: mean(results, result => result.fillingJobs),
        served: mean(results, result => result.fillingServed),
        largestServed: mean(results, result => result.largestServed),
        disturbedS: mean(results, result => result.disturbedS),
        broken: results.reduce((sum, result) => sum + result.broken.length, 0)
      }
    })
  })
}
