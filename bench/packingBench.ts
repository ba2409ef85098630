import { fileURLToPath } from 'node:url'
import { Emulation, readScenario, type EmulationOptions, type EmulationResult } from '../src/emulator'
import { createRandom, hashOf, round } from './random'

const folder = fileURLToPath(new URL('./scenarios', import.meta.url))
const defaultScenarios = ['faults', 'cut-burst', 'loaded', 'calm', 'burst-small', 'narrow-workers', 'slow-workers']
const defaultSeeds = 5

type Variant = Pick<EmulationOptions, 'packsJobs' | 'leaseMs'>
const variants: Readonly<Record<string, Variant>> = {
  usual: {},
  packed: { packsJobs: true },
  longest: { leaseMs: 10_000 },
  both: { packsJobs: true, leaseMs: 10_000 }
}
const figures = ['worth', 'servingWorth', 'fillingWorth', 'smallWorth', 'fillingServed', 'largestServed', 'disturbedS'] as const

/** Plays a scenario so that all variants of one seed meet the same troubles at the same workers, and the same pairs of images. */
function play (scenario: EmulationOptions['scenario'], seed: number, variant: Variant): EmulationResult {
  return new Emulation({ scenario, random: createRandom(seed), randomOf: purpose => createRandom(hashOf(`${seed} ${purpose}`)), ...variant }).run()
}

function flagOf (flags: readonly string[], name: string): string | undefined {
  return flags.find(flag => flag.startsWith(`--${name}=`))?.slice(name.length + 3)
}

/** Plays scenarios with leases and placements that lose fewer jobs to cuts and slow workers: `[SCENARIO ...] [--seeds=N] [--variants=NAME,...]`. */
export function runPackingBench (): readonly object[] {
  const flags = process.argv.slice(3)
  const wanted = flags.filter(flag => !flag.startsWith('--'))
  const count = Number(flagOf(flags, 'seeds') ?? defaultSeeds)
  const names = flagOf(flags, 'variants')?.split(',') ?? Object.keys(variants)
  const seeds = Array.from({ length: count }, (_, index) => index + 1)
  return (wanted.length > 0 ? wanted : defaultScenarios).flatMap(name => {
    const scenario = readScenario(`${folder}/${name}.toml`)
    let usual: readonly EmulationResult[] | undefined
    return Object.entries(variants).filter(([variantName]) => names.includes(variantName)).map(([variantName, variant]) => {
      const results = seeds.map(seed => play(scenario, seed, variant))
      usual ??= results
      const against = usual
      const compare = (read: (result: EmulationResult) => number): string => {
        const differences = results.map((result, index) => read(result) - read(against[index] ?? result))
        return `${differences.filter(difference => difference > 0).length}/${differences.filter(difference => difference < 0).length}`
      }
      const means = Object.fromEntries(figures.map(figure => [figure, round(results.reduce((sum, result) => sum + result[figure], 0) / results.length, 3)]))
      return {
        scenario: name,
        variant: variantName,
        ...means,
        // Seeds which are better and worse than as usual.
        worthSeeds: compare(result => result.worth),
        smallSeeds: compare(result => result.smallWorth),
        broken: results.reduce((sum, result) => sum + result.broken.length, 0)
      }
    })
  })
}
