import { expect } from 'chai'
import { createRandom } from '../../../../bench/random'
import { nameTask, type Job, type Step } from '..'
import { fixtureWith, type CrashFixture } from './crashFixture'
import { jobIdOf, stepOf } from './fixtures'

/** Random fleets that are played; more are with `FLEETS=1000`. */
const fleets = Number(process.env['FLEETS'] ?? 60)
const firstSeed = Number(process.env['FIRST_SEED'] ?? 1)
const planMs = 100
/** How long a long-running task may wait with room for it, in milliseconds: the platform's 6 s less detection, election and start. */
const maximumWaitMs = 3500

interface Fleet {
  readonly fixture: CrashFixture
  readonly random: () => number
  readonly vms: number
  nextJob: number
}

function pick<Value> (random: () => number, values: readonly Value[]): Value {
  const value = values[Math.floor(random() * values.length)]
  if (value === undefined) throw new Error('nothing to pick from')
  return value
}

function drawStep ({ random }: Fleet): Step {
  return stepOf({
    count: 1 + Math.floor(3 * random()),
    processors: pick(random, [1, 1, 2, 3, 4]),
    isLongRunning: random() < 0.5,
    isCheckpointed: random() < 0.5,
    requiredLabel: pick(random, ['', '', 'even']),
    maximumPerWorker: pick(random, [Number.POSITIVE_INFINITY, 1, 2])
  })
}

function act (fleet: Fleet): void {
  const { fixture, random, vms } = fleet
  const vm = 1 + Math.floor(random() * vms)
  const chance = random()
  if (chance < 0.04 && fleet.nextJob < 14) {
    const first = drawStep(fleet)
    fixture.accept(fleet.nextJob, random() < 0.3 && !first.isLongRunning ? [first, { ...drawStep(fleet), dependsOn: [0] }] : [first])
    fleet.nextJob += 1
  } else if (chance < 0.06) fixture.crash(vm, () => pick(random, [11, 400, 2000, 20_000]))
  else if (chance < 0.065) fixture.changeLeader()
}

/** Lists the ends of the runs that are to be stopped. */
function endStopped ({ committed, now, scheduler, stopped }: CrashFixture): void {
  for (const [position, task] of stopped.splice(0).entries()) {
    const { run = 0, worker = '' } = committed.task(task) ?? {}
    scheduler.look({ worker, clockMs: 5000 + now, running: [], ends: [{ task, run, end: 'stopped', checkpoint: '', sequence: 1000 * now + position }] }, { now, wallClock: now })
  }
}

/** The places for a task beside the live ones, as the platform counts them. */
function countPlaces ({ fixture, vms }: Fleet, job: Job, step: Step, stepNumber: number): number {
  let places = 0
  for (let vm = 1; vm <= vms; vm += 1) {
    if (step.requiredLabel === 'even' && vm % 2 === 1) continue
    const live = [...fixture.committed.liveOn(fixture.nameOf(vm)).values()]
    const free = 4 - live.reduce((sum, task) => sum + (fixture.committed.stepOf(nameTask(task))?.processors ?? 0), 0)
    const ofStep = live.filter(task => task.jobId === job.jobId && task.step === stepNumber).length
    places += Math.max(0, Math.min(Math.floor(free / step.processors), step.maximumPerWorker - ofStep))
  }
  return places
}

function playFleet (seed: number): string | undefined {
  const random = createRandom(seed)
  const vms = 3 + Math.floor(4 * random())
  const fleet: Fleet = { fixture: fixtureWith(vms), random, vms, nextJob: 1 }
  const { fixture } = fleet
  fixture.label('even', Array.from({ length: vms }, (_, index) => index + 1).filter(vm => vm % 2 === 0))
  const waitingSince = new Map<string, number>()
  for (let plans = 0; plans < 300; plans += 1) {
    act(fleet)
    fixture.plan(planMs)
    endStopped(fixture)
    for (let number = 1; number < fleet.nextJob; number += 1) {
      const job = fixture.committed.job(jobIdOf(number))
      if (job === undefined || job.endedAt !== undefined) continue
      for (const task of job.tasks) {
        const step = job.steps[task.step]
        const name = nameTask(task)
        const isDue = step?.isLongRunning === true && task.state === 'waiting' && step.dependsOn.length === 0
        if (!isDue || countPlaces(fleet, job, step, task.step) < 2) {
          waitingSince.delete(name)
          continue
        }
        const since = waitingSince.get(name) ?? fixture.now
        waitingSince.set(name, since)
        if (fixture.now - since > maximumWaitMs) return `seed ${seed}: ${name} waits since ${since} ms at ${fixture.now} ms`
      }
    }
  }
  return undefined
}

describe('long-running tasks of random fleets', () => {
  it('do not wait behind each other while there is room for them twice over', () => {
    const broken = Array.from({ length: fleets }, (_, index) => playFleet(firstSeed + index)).filter(found => found !== undefined)
    expect(broken).to.deep.equal([])
  })
})
