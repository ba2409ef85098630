import { expect } from 'chai'
import { ExclusionFleet } from './exclusionFleet'

/** Random fleets that are played; more are with `FLEETS=5000`, and one is traced with `TRACED_SEED=7`. */
const fleets = Number(process.env['FLEETS'] ?? 60)
const firstSeed = Number(process.env['FIRST_SEED'] ?? 1)
const tracedSeed = Number(process.env['TRACED_SEED'] ?? 0)
const plans = 400
/** How long a long-running task may wait with room for it, in milliseconds: the platform's 6 s less detection, election and start. */
const maximumWaitMs = 3500

function playFleet (seed: number): string | undefined {
  const fleet = new ExclusionFleet(seed, { isTraced: seed === tracedSeed })
  let waitingSince = new Map<string, number>()
  for (let plan = 0; plan < plans; plan += 1) {
    fleet.advance()
    const stillWaiting = new Map<string, number>()
    for (const { job, step, stepNumber, name } of fleet.waiting()) {
      if (fleet.countPlaces(job, step, stepNumber) < 2) continue
      const since = waitingSince.get(name) ?? fleet.now
      stillWaiting.set(name, since)
      if (fleet.now - since > maximumWaitMs) return `seed ${seed}: ${name} waits since ${since} ms at ${fleet.now} ms`
    }
    waitingSince = stillWaiting
  }
  return undefined
}

describe('long-running tasks of random fleets whose workers are excluded for many causes', () => {
  it('do not wait while there is room for them twice over', () => {
    const seeds = tracedSeed > 0 ? [tracedSeed] : Array.from({ length: fleets }, (_, index) => firstSeed + index)
    expect(seeds.map(playFleet).filter(found => found !== undefined)).to.deep.equal([])
  })
})
