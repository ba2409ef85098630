import { readdirSync } from 'node:fs'
import { fileURLToPath } from 'node:url'
import { Emulation, deciders, readScenario, selectableDeciders, type EmulationResult, type Outcome } from '../src/emulator'
import { createRandom, round } from './random'

const folder = fileURLToPath(new URL('./scenarios', import.meta.url))
const seeds = [1, 2, 3, 4, 5]

function mean (results: readonly EmulationResult[], read: (result: EmulationResult) => number): number {
  return round(results.reduce((sum, result) => sum + read(result), 0) / results.length, 3)
}

/** How many jobs of each kind, zone of callers and size were in time, late and never done, over all seeds. */
function outcomesOf (results: readonly EmulationResult[]): readonly object[] {
  const sums = new Map<string, Outcome>()
  for (const { kind, zone, size, inTime, late, never } of results.flatMap(result => result.outcomes)) {
    const key = `${kind} ${zone} ${size}`
    const sum = sums.get(key) ?? { kind, zone, size, inTime: 0, late: 0, never: 0 }
    sums.set(key, { ...sum, inTime: sum.inTime + inTime, late: sum.late + late, never: sum.never + never })
  }
  return [...sums.entries()].sort(([a], [b]) => a < b ? -1 : 1).map(([, sum]) => sum)
}

/** Plays each scenario with each decider and several seeds; shares of what was owed, and of the upper bound. With `--outcomes`, counts of jobs by kind, zone and size. */
export function runJobsBench (): readonly object[] {
  const wanted = process.argv.slice(3).filter(flag => !flag.startsWith('--'))
  const names = readdirSync(folder).map(file => file.replace('.toml', '')).filter(name => wanted.length === 0 || wanted.includes(name))
  return names.flatMap(name => {
    const scenario = readScenario(`${folder}/${name}.toml`)
    return Object.entries({ ...deciders, ...selectableDeciders }).flatMap(([deciderName, decider]) => {
      const results = seeds.map(seed => new Emulation({ scenario, ...decider, random: createRandom(seed) }).run())
      if (process.argv.includes('--outcomes')) return outcomesOf(results).map(outcome => ({ scenario: name, decider: deciderName, ...outcome }))
      return [{
        scenario: name,
        decider: deciderName,
        worth: mean(results, result => result.worth),
        ofBound: mean(results, result => result.worth / result.bound),
        serving: mean(results, result => result.servingWorth),
        filling: mean(results, result => result.fillingWorth),
        small: mean(results, result => result.smallWorth),
        inTime: mean(results, result => result.fillingInTime),
        jobs: mean(results, result => result.fillingJobs),
        served: mean(results, result => result.fillingServed),
        largestServed: mean(results, result => result.largestServed),
        fairness: mean(results, result => result.fairness),
        disturbedS: mean(results, result => result.disturbedS),
        broken: results.reduce((sum, result) => sum + result.broken.length, 0)
      }]
    })
  })
}
