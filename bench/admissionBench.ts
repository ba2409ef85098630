import { fileURLToPath } from 'node:url'
import { LimitingPolicy, type AdmissionPolicy } from '../src/core/jobs'
import { Emulation, readScenario } from '../src/emulator'
import { createRandom, round } from './random'

const folder = fileURLToPath(new URL('./scenarios', import.meta.url))
const seeds = [1, 2, 3, 4, 5]
const defaultScenarios = ['flood', 'loaded', 'overload-burst']

/** The settings that are compared: nothing, each key of `[admission]`, and both. */
const admissions: Readonly<Record<string, AdmissionPolicy | undefined>> = {
  off: undefined,
  late: new LimitingPolicy({ rejectsLate: true }),
  'waiting-400': new LimitingPolicy({ rejectsLate: false, maximumWaitingTasks: 400 }),
  'waiting-1000': new LimitingPolicy({ rejectsLate: false, maximumWaitingTasks: 1000 }),
  both: new LimitingPolicy({ rejectsLate: true, maximumWaitingTasks: 1000 })
}

function mean (values: readonly number[]): number {
  return round(values.reduce((sum, value) => sum + value, 0) / values.length, 3)
}

/**
 * Plays scenarios with and without admission; what jobs earned, what became of refused ones, and the error of predictions by
 * kind and seconds of backlog: jobs, served, done, mean error and mean absolute error over the objective, predicted to be worth
 * nothing, and of them served.
 */
export function runAdmissionBench (): readonly object[] {
  const wanted = process.argv.slice(3).filter(flag => !flag.startsWith('--'))
  return (wanted.length === 0 ? defaultScenarios : wanted).flatMap(name => {
    const scenario = readScenario(`${folder}/${name}.toml`)
    return Object.entries(admissions).map(([admissionName, admission]) => {
      const runs = seeds.map(seed => {
        const emulation = new Emulation({ scenario, admission, random: createRandom(seed) })
        const result = emulation.run()
        return { result, refusals: emulation.refusals() }
      })
      const errors = (runs[0]?.refusals.errors ?? []).map(({ kind, fromLoadS }, band) => {
        const parts = runs.flatMap(({ refusals }) => refusals.errors[band] ?? [])
        const sum = (read: (part: typeof parts[number]) => number): number => parts.reduce((total, part) => total + read(part), 0)
        const done = sum(part => part.done)
        const weighted = (read: (part: typeof parts[number]) => number): number => done === 0 ? 0 : round(sum(part => read(part) * part.done) / done, 2)
        const figures = {
          jobs: sum(part => part.jobs), served: sum(part => part.served), done, error: weighted(part => part.meanError), absoluteError: weighted(part => part.meanAbsoluteError), predictedLate: sum(part => part.predictedLate), ofThemServed: sum(part => part.predictedLateServed)
        }
        return [`${kind}From${fromLoadS}s`, Object.values(figures).join(' ')] as const
      })
      return {
        scenario: name,
        admission: admissionName,
        worth: mean(runs.map(({ result }) => result.worth)),
        worthBySeed: runs.map(({ result }) => round(result.worth, 3)).join(' '),
        filling: mean(runs.map(({ result }) => result.fillingWorth)),
        small: mean(runs.map(({ result }) => result.smallWorth)),
        serving: mean(runs.map(({ result }) => result.servingWorth)),
        fillingJobs: mean(runs.map(({ result }) => result.fillingJobs)),
        refused: mean(runs.map(({ refusals }) => refusals.refused)),
        acceptedLater: mean(runs.map(({ refusals }) => refusals.acceptedLater)),
        servedLater: mean(runs.map(({ refusals }) => refusals.servedLater)),
        broken: runs.reduce((sum, { result }) => sum + result.broken.length, 0),
        ...Object.fromEntries(errors)
      }
    })
  })
}
