import { readFileSync } from 'node:fs'
import { parse } from 'smol-toml'
import { array, integer, number, object, optional, picklist, pipe, minValue, safeParse, string, type InferOutput } from 'valibot'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'

const positive = pipe(number(), minValue(0))
const count = pipe(number(), integer(), minValue(0))

const scenarioShape = object({
  /** What load pattern it plays. */
  about: string(),
  seconds: positive,
  workers: object({
    /** Processors of the workers, taken in turn. */
    processors: array(positive),
    count,
    memory_mb: positive,
    racks: count
  }),
  /** Long-running jobs, which are there from the start. */
  serving: object({
    jobs: count,
    tasks: count,
    images: count,
    processors: positive,
    memory_mb: positive,
    /** Tail latency of an idle task and its target, in milliseconds. */
    idle_ms: positive,
    target_ms: positive,
    /** Share of its processors that a task uses on average, and by which share of it that swings. */
    load: positive,
    swing: positive,
    swing_period_s: positive,
    worth_per_job: positive
  }),
  /** Jobs whose tasks run on what others leave unused. */
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
    /** Share of the pairs of images that press, and by how much of what a task uses. */
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
  /** The zones of the entry processes that take the jobs; the sum of their demand does not swing. */
  callers: optional(object({
    zones: array(string()),
    /** How much of the demand is each zone's on average, in relation to the others. */
    weights: array(positive),
    /** By which share of its mean a zone's demand swings, each zone in another phase. */
    swing: positive,
    swing_period_s: positive
  })),
  /** By how much declared durations are off, as the largest factor. */
  estimate_error: positive,
  troubles: optional(array(object({
    kind: picklist(['burst', 'crash', 'slow', 'failing', 'hanging', 'leader', 'cancel', 'cut', 'notice']),
    at_s: positive,
    for_s: optional(positive, 0),
    /** How strong: the factor of a burst or of a slowdown, or the seconds of a notice. */
    strength: optional(positive, 1),
    /** Workers or jobs which it hits. */
    share: optional(positive, 0)
  })), [])
})

/** A load that is played against the scheduler. */
export type Scenario = InferOutput<typeof scenarioShape>

/** One trouble of a scenario. */
export type Trouble = Scenario['troubles'][number]

/** Checks the text of a scenario; the failure names the first key which is wrong. */
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

/** Reads a scenario; rejects with a Failure. */
export function readScenario (path: string): Scenario {
  const scenario = parseScenario(readFileSync(path, 'utf8'))
  if (!scenario.ok) throw scenario.val
  return scenario.val
}
