import { plainStep, worthOfJob, type Queue, type Step, type Submission } from '../core/jobs'
import type { TaskTruth } from './emulatedWorker'
import type { Scenario, Trouble } from './scenario'

/** An arriving job with the actual behaviour of its tasks. */
export interface Arrival {
  readonly at: number
  readonly submission: Submission
  readonly queue: Queue
  readonly kind: TaskTruth['kind']
  /** Whether one of its tasks crashes each worker that starts it; such a job can't be completed. */
  readonly crashesWorkers?: boolean | undefined
  /** The actual behaviour of a task, by step and index. */
  readonly truth: (step: number, index: number) => TaskTruth
  /** The worth if completed in time, and if completed late. */
  readonly worth: number
  readonly lateWorth: number
  /** The completion time objective in milliseconds; up to three times this counts as late. */
  readonly objectiveMs: number
  /** The total work in processor milliseconds. */
  readonly workMs: number
}

const pool = 'workers'
const checkpointMs = 2000
/** The share of tasks which use all declared processors; the others use two thirds, as workers report. */
const fullUseShare = 0.5
const partialUsedShare = 0.67

type Random = () => number

/** Creates the queue of a kind of jobs. */
function createQueue (name: string, priority: number, slackFactor: number, targetLatencyMs: number): Queue {
  return { name, host: 'emulated', pathPrefix: `/${name}/`, pool, priority, maximumAttempts: 4, slackFactor, targetLatencyMs, needsAdvice: false }
}

/** Creates all jobs of a scenario in the order of their arrival; the same random sequence gives the same jobs. */
export function createWorkload (scenario: Scenario, random: Random): readonly Arrival[] {
  const arrivals: Arrival[] = []
  const nextId = (): string => arrivals.length.toString(16).padStart(16, '0')
  for (let job = 0; job < scenario.serving.jobs; job += 1) arrivals.push(createServing(scenario, nextId(), random))
  for (const [at, kind] of drawArrivalTimes(scenario, random)) {
    const arrival = kind === 'filling' ? createFilling(scenario, nextId(), at, random) : createSmall(scenario, nextId(), at, random)
    const originZone = drawZone(scenario.callers, at, random)
    arrivals.push(originZone === undefined ? arrival : { ...arrival, submission: { ...arrival.submission, originZone } })
  }
  return arrivals
}

/** Makes the first task of a share of the small jobs that arrive during a trouble crash its workers. */
export function addCrashingTasks (arrivals: readonly Arrival[], { at_s: atS, for_s: forS, share, ages }: Trouble, random: Random): readonly Arrival[] {
  return arrivals.map(arrival => {
    const isHit = arrival.kind === 'small' && arrival.at >= atS * 1000 && arrival.at < (atS + forS) * 1000 && random() < share
    if (!isHit) return arrival
    const { truth } = arrival
    const crashAgeOf = drawCrashAges(ages, random)
    const crashing = { ...truth(0, 0), workMs: Math.max(truth(0, 0).workMs, 2 * latestCrashMs), crashAgeOf }
    return { ...arrival, crashesWorkers: true, truth: (step: number, index: number) => step === 0 && index === 0 ? crashing : truth(step, index) }
  })
}

/** Bounds of the ages at which runs crash their worker unless they do right after the start, in milliseconds. */
const earliestCrashMs = 200
const latestCrashMs = 2300
/** The most by which the ages of one task differ from their mean if they are spread. */
const ageSpread = 0.3

/** Draws at which ages the runs of one task crash their workers; a run is asked for repeatedly. */
function drawCrashAges (ages: Trouble['ages'], random: Random): (run: number) => number {
  if (ages === 'start') return () => 0
  const drawAge = (): number => earliestCrashMs + random() * (latestCrashMs - earliestCrashMs)
  const mean = drawAge()
  if (ages === 'fixed') return () => mean
  const drawn: number[] = []
  return run => {
    while (drawn.length <= run) drawn.push(ages === 'random' ? drawAge() : mean * (1 + ageSpread * (2 * random() - 1)))
    return drawn[run] ?? mean
  }
}

/** Draws the zone of a caller in proportion to the zones' demands at a time; their phases are spread evenly over the period. */
function drawZone (callers: Scenario['callers'], at: number, random: Random): string | undefined {
  if (callers === undefined) return undefined
  const { zones, weights, swing, swing_period_s: periodS } = callers
  const demands = zones.map((_, number) => (weights[number] ?? 0) * (1 + swing * Math.sin(2 * Math.PI * (at / (periodS * 1000) + number / zones.length))))
  let left = random() * demands.reduce((sum, demand) => sum + demand, 0)
  return zones.find((_, number) => {
    left -= demands[number] ?? 0
    return left < 0
  }) ?? zones.at(-1)
}

function drawArrivalTimes ({ seconds, filling, small, troubles }: Scenario, random: Random): ReadonlyArray<readonly [number, 'filling' | 'small']> {
  const burst = troubles.find(trouble => trouble.kind === 'burst')
  const times: Array<readonly [number, 'filling' | 'small']> = []
  for (const [kind, perS] of [['filling', filling.per_s], ['small', small.per_s]] as const) {
    let at = 0
    for (;;) {
      const isBurst = kind === 'filling' && burst !== undefined && at >= burst.at_s * 1000 && at < (burst.at_s + burst.for_s) * 1000
      at += -Math.log(1 - random()) * 1000 / (perS * (isBurst ? burst.strength : 1))
      if (!(at < seconds * 1000)) break
      times.push([at, kind])
    }
  }
  return times.sort((a, b) => a[0] - b[0])
}

function createServing ({ serving, seconds }: Scenario, jobId: string, random: Random): Arrival {
  const image = `serving-${Math.floor(random() * serving.images)}`
  const phase = random()
  const processors = serving.processors * (0.75 + random() / 2)
  const jobLoadAt = (now: number): number => serving.load * (1 + serving.swing * Math.sin(2 * Math.PI * (now / (serving.swing_period_s * 1000) + phase)))
  const deviations = Array.from({ length: serving.tasks }, () => drawDeviations(serving, seconds, random))
  const truthOf = (index: number): TaskTruth => ({
    image,
    kind: 'serving',
    processors,
    usedShare: 1,
    workMs: Number.POSITIVE_INFINITY,
    checkpointMs: 0,
    targetMs: serving.target_ms,
    idleMs: serving.idle_ms,
    fails: false,

    loadAt: now => jobLoadAt(now) + (deviations[index]?.some(from => now >= from && now < from + serving.deviation_s * 1000) === true ? serving.deviation_load : 0)
  })
  const truths = deviations.map((_, index) => truthOf(index))
  const step = { ...plainStep, count: serving.tasks, processors, memoryMb: serving.memory_mb, estimateMs: 1000, isLongRunning: true, image, targetMs: serving.target_ms, maximumPerWorker: random() < 0.5 ? 2 : 0 }
  return { at: 0, submission: { jobId, spec: '', steps: [step] }, queue: createQueue('serving', 0, 2, 2500), kind: 'serving', truth: (_, index) => truths[index] ?? truthOf(index), worth: serving.worth_per_job, lateWorth: 0, objectiveMs: seconds * 1000, workMs: 0 }
}

/** Draws when the load of one serving task deviates from that of its job, in milliseconds of virtual time. */
function drawDeviations ({ deviations_per_min: perMinute }: Scenario['serving'], seconds: number, random: Random): readonly number[] {
  if (perMinute === 0) return []
  const times: number[] = []
  for (let at = 0; at < seconds * 1000;) {
    at += -Math.log(1 - random()) * 60_000 / perMinute
    times.push(at)
  }
  return times
}

/** Draws a count between 0.4 and 1.6 times the mean, at least 1. */
function drawCount (mean: number, random: Random): number {
  return Math.max(1, Math.round(mean * (0.4 + 1.2 * random())))
}

function createFilling ({ filling, estimate_error: error }: Scenario, jobId: string, at: number, random: Random): Arrival {
  const image = `filling-${Math.floor(random() * filling.images)}`
  const stepCount = drawCount(filling.steps, random)
  const processors = filling.processors * (0.6 + 0.8 * random())
  const truths: TaskTruth[][] = []
  const steps = Array.from({ length: stepCount }, (_, number) => {
    const tasks = drawCount(filling.tasks, random)
    const truth = Array.from({ length: tasks }, (): TaskTruth => ({
      image, kind: 'filling', processors, usedShare: random() < fullUseShare ? 1 : partialUsedShare, workMs: filling.work_ms * (0.5 + random()), checkpointMs, targetMs: 0, idleMs: 0, fails: false, loadAt: () => 0
    }))
    truths.push(truth)
    return { ...plainStep, count: tasks, processors, memoryMb: filling.memory_mb, estimateMs: filling.work_ms * error ** (2 * random() - 1), dependsOn: number === 0 ? [] : [number - 1], isCheckpointed: true, image, isFilling: true }
  })
  return createFinite({ jobId, at, steps, truths, queue: createQueue('filling', 2, filling.slack, 1000), kind: 'filling', worth: filling.worth, lateWorth: filling.late_worth, meanWorkMs: filling.steps * filling.tasks * filling.work_ms * filling.processors })
}

function createSmall ({ small, estimate_error: error }: Scenario, jobId: string, at: number, random: Random): Arrival {
  const tasks = drawCount(small.tasks, random)
  const truth = Array.from({ length: tasks }, (): TaskTruth => ({
    image: '', kind: 'small', processors: small.processors, usedShare: random() < fullUseShare ? 1 : partialUsedShare, workMs: small.work_ms * (0.5 + random()), checkpointMs: 0, targetMs: 0, idleMs: 0, fails: false, loadAt: () => 0
  }))
  const step = { ...plainStep, count: tasks, processors: small.processors, memoryMb: small.memory_mb, estimateMs: small.work_ms * error ** (2 * random() - 1) }
  return createFinite({ jobId, at, steps: [step], truths: [truth], queue: createQueue('small', 0, small.slack, 250), kind: 'small', worth: small.worth, lateWorth: small.late_worth, meanWorkMs: small.tasks * small.work_ms * small.processors })
}

interface FiniteJob {
  readonly jobId: string
  readonly at: number
  readonly steps: readonly Step[]
  readonly truths: ReadonlyArray<readonly TaskTruth[]>
  readonly queue: Queue
  readonly kind: TaskTruth['kind']
  readonly worth: number
  readonly lateWorth: number
  readonly meanWorkMs: number
}

function createFinite ({ jobId, at, steps, truths, queue, kind, worth, lateWorth, meanWorkMs }: FiniteJob): Arrival {
  const chainMs = truths.reduce((sum, step) => sum + Math.max(...step.map(task => task.workMs)), 0)
  const workMs = truths.flat().reduce((sum, task) => sum + task.workMs * task.processors, 0)
  const weight = worthOfJob(workMs, meanWorkMs)
  return {
    at,
    submission: { jobId, spec: '', steps },
    queue,
    kind,
    worth: worth * weight,
    lateWorth: lateWorth * weight,
    objectiveMs: queue.slackFactor * chainMs + queue.targetLatencyMs,
    workMs,
    truth: (step, index) => {
      const found = truths[step]?.[index]
      if (found === undefined) throw new Error(`job ${jobId} has no task ${step}.${index}`)
      return found
    }
  }
}
