import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { array, integer, number, object, optional, picklist, pipe, minValue, safeParse, string, type InferOutput } from 'valibot'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'

const positive = pipe(number(), minValue(0))
const count = pipe(number(), integer(), minValue(0))

const scenarioShape = object({
  /** A description of the load pattern. */
  about: string(),
  seconds: positive,
  workers: object({
    /** Processor counts, assigned to the workers in rotation. */
    processors: array(positive),
    count,
    memory_mb: positive,
    racks: count
  }),
  /** Long-running jobs, which are submitted at the start. */
  serving: object({
    jobs: count,
    tasks: count,
    images: count,
    processors: positive,
    memory_mb: positive,
    /** Tail latency of an idle task and the latency target, in milliseconds. */
    idle_ms: positive,
    target_ms: positive,
    /** The mean share of its processors that a task uses, and the amplitude of its swing as a share of the mean. */
    load: positive,
    swing: positive,
    swing_period_s: positive,
    /** How often a minute the load of a single task deviates, for how long, and by how much of its processors. */
    deviations_per_min: optional(positive, 0),
    deviation_s: optional(positive, 3),
    deviation_load: optional(positive, 0.15),
    worth_per_job: positive
  }),
  /** Jobs whose tasks use the processors that other tasks leave idle. */
  filling: object({
    per_s: positive,
    steps: count,
    tasks: count,
    images: count,
    processors: positive,
    memory_mb: positive,
    work_ms: positive,
    slack: positive,
    worth: positive,
    late_worth: positive,
    /** The share of image pairs with pressure, and its mean as a factor of the share of the worker that filling tasks use. */
    pressing_share: positive,
    pressure: positive
  }),
  /** Jobs of short tasks which reserve processors. */
  small: object({
    per_s: positive,
    tasks: count,
    processors: positive,
    memory_mb: positive,
    work_ms: positive,
    slack: positive,
    worth: positive,
    late_worth: positive
  }),
  /** The zones of the entry processes that receive the jobs; the total demand is constant. */
  callers: optional(object({
    zones: array(string()),
    /** The mean demand of each zone, relative to the others. */
    weights: array(positive),
    /** The amplitude of the swing of a zone's demand as a share of its mean; each zone has another phase. */
    swing: positive,
    swing_period_s: positive
  })),
  /** The largest factor between declared and mean actual durations, in both directions. */
  estimate_error: positive,
  troubles: optional(array(object({
    kind: picklist(['burst', 'crash', 'slow', 'failing', 'hanging', 'leader', 'cancel', 'cut', 'notice', 'crashing', 'capacity']),
    at_s: positive,
    for_s: optional(positive, 0),
    /** The factor of a burst or slowdown, the seconds of a notice, or the factor of the capacity of workers. */
    strength: optional(positive, 1),
    /** When tasks crash their workers: right after the start, at one age of all runs of a task, within a third around it, or at any age of a run. */
    ages: optional(picklist(['start', 'fixed', 'spread', 'random']), 'start'),
    /** The interval at which crashes are repeated within `for_s`; 0 for a single one. */
    every_s: optional(positive, 0),
    /** The share of workers or jobs that are affected; of the small jobs that arrive meanwhile for tasks that crash their workers. */
    share: optional(positive, 0),
    /** Troubles of the same group affect the same workers; if empty, each trouble draws its own. */
    group: optional(string(), '')
  })), [])
})

/** A workload with troubles, read from a TOML file. */
export type Scenario = InferOutput<typeof scenarioShape>

/** A disturbance of a scenario: a fault, a burst of jobs, a change of leader or a cancellation. */
export type Trouble = Scenario['troubles'][number]

/** Parses and validates the text of a scenario; the failure names the first invalid key. */
export function parseScenario (source: string): Result<Scenario, Failure> {
  let table: unknown
  try {
    table = parse(source)
  } catch (error) {
    return Err(new Failure('settings/unreadable', { expected: 'TOML', got: String(error).split('\n')[0] ?? '' }))
  }
  const checked = safeParse(scenarioShape, table)
  if (checked.success) return Ok(checked.output)
  const [issue] = checked.issues
  return Err(new Failure('settings/invalid', { subject: issue.path?.map(item => String(item.key)).join('.') ?? '', expected: String(issue.expected), got: issue.received }))
}

/** Reads a scenario file; throws a Failure if its content is invalid and Node's error if it cannot be read. */
export function readScenario (path: string): Scenario {
  const scenario = parseScenario(readFileSync(path, 'utf8'))
  if (!scenario.ok) throw scenario.val
  return scenario.val
}
