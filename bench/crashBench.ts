import { fileURLToPath } from 'node:url'
import { Emulation, readScenario, type CrashOutcome, type Trouble } from '../src/emulator'
import { createRandom } from './random'

type TroubleChoice = Pick<Trouble, 'kind' | 'at_s'> & Partial<Trouble>

const scenario = readScenario(fileURLToPath(new URL('./scenarios/crash-kinds.toml', import.meta.url)))
/** Seeds of each row; fewer are played with SEEDS. */
const seeds = Number(process.env['SEEDS'] ?? 50)

function crashing (ages: Trouble['ages']): TroubleChoice { return { kind: 'crashing', at_s: 4, for_s: 10, share: 0.1, ages } }

/** One worker of eleven goes down and up by turns. */
const flapping: TroubleChoice = { kind: 'crash', at_s: 5, for_s: 8, every_s: 1.4, share: 0.1, group: 'flapping' }
/** A third of the workers crash at the same moment, twice. */
const together: readonly TroubleChoice[] = [8, 13].map(at => ({ kind: 'crash', at_s: at, share: 0.3, group: 'rack' }))
/** Each worker crashes every five seconds on average. */
const often: TroubleChoice = { kind: 'crash', at_s: 4, for_s: 16, every_s: 0.5, share: 0.1 }

/** Troubles by the name of their kind. */
export const crashKinds: Readonly<Record<string, readonly TroubleChoice[]>> = {
  'right after the start': [crashing('start')],
  'at one age': [crashing('fixed')],
  'within a third of an age': [crashing('spread')],
  'at any age': [crashing('random')],
  'at any age, a worker flaps': [crashing('random'), flapping],
  'at any age, workers crash together': [crashing('random'), ...together],
  'at any age, all workers crash often': [crashing('random'), often],
  'no such task, a worker flaps': [flapping],
  'no such task, workers crash together': together,
  'no such task, all workers crash often': [often]
}

/** Plays one kind with one seed. */
export function playCrashes (kind: string, seed: number): CrashOutcome {
  const troubles = (crashKinds[kind] ?? []).map((choice): Trouble => ({ for_s: 0, strength: 1, share: 0, group: '', ages: 'start', every_s: 0, ...choice }))
  const emulation = new Emulation({ scenario: { ...scenario, troubles }, random: createRandom(seed) })
  emulation.run()
  return emulation.crashOutcome()
}

/** Tells, for each kind of crashes, whether the tasks that cause them are found in time and no others. */
export function runCrashBench (): readonly object[] {
  return Object.keys(crashKinds).map(kind => {
    const outcomes = Array.from({ length: seeds }, (_, number) => playCrashes(kind, number + 1))
    const crashes = outcomes.flatMap(outcome => outcome.crashes).sort((a, b) => a - b)
    const further = outcomes.flatMap(({ furtherStarts }) => furtherStarts)
    const sum = (pick: (outcome: CrashOutcome) => number): number => outcomes.reduce((total, outcome) => total + pick(outcome), 0)
    return {
      kind,
      culprits: sum(({ culprits }) => culprits),
      found: sum(({ found }) => found),
      medianCrashes: crashes[Math.floor(crashes.length / 2)] ?? 0,
      mostCrashes: crashes.at(-1) ?? 0,
      mostFurtherStarts: Math.max(0, ...further),
      overLimit: further.filter(starts => starts > 2).length,
      innocentsFailed: sum(({ innocentsFailed }) => innocentsFailed)
    }
  })
}
