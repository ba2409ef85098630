import { array, boolean, finite, maxLength, minLength, minValue, number, object, optional, pipe, safeInteger, safeParse, string, union, type InferOutput } from 'valibot'
import { Failure } from '../core/failures'
import { countTasks, maximumSteps, maximumTasks, type Step, type Submission } from '../core/jobs'
import { Err, Ok, type Result } from '../core/results'
import { parseBoundedJson } from '../transport'

const count = pipe(number(), safeInteger(), minValue(0))
/** JSON.parse reads 1e999 as Infinity, which messages between processes cannot encode. */
const finiteNumber = pipe(number(), finite())
/** The wire format omits fields whose value is 0, false or empty. */
const optionalCount = optional(count, 0)
const flag = optional(boolean(), false)
const text = optional(string(), '')
/** Limit of a spec, in characters. */
const maximumSpecLength = 4000

const phaseShape = object({
  count: pipe(number(), safeInteger(), minValue(1)),
  cpu: optionalCount,
  memMb: optionalCount,
  gpu: optionalCount,
  estimateMs: optionalCount,
  dependsOn: optional(array(count), []),
  checkpointed: flag,
  gang: flag,
  tightlyCoupled: flag,
  requiredLabel: text,
  dataRack: text,
  maxPerServer: optionalCount,
  speculative: flag,
  longRunning: flag,
  image: text,
  targetMs: optional(pipe(finiteNumber, minValue(0)), 0),
  fillCount: optional(union([boolean(), number()]), false),
  maxUnavailable: optional(count)
})

const submissionShape = object({
  spec: optional(pipe(string(), maxLength(maximumSpecLength)), ''),
  phases: pipe(array(phaseShape), minLength(1), maxLength(maximumSteps)),
  repeatCount: optionalCount,
  startAtMs: optional(finiteNumber, 0),
  intervalMs: optional(finiteNumber, 0)
})

const cpuUnitsPerProcessor = 1000

/** Decodes and validates the body of a submission; the id of the job is part of the path. */
export function decodeSubmission (body: string): Result<Omit<Submission, 'jobId'>, Failure> {
  let value: unknown
  try {
    value = parseBoundedJson(body)
  } catch (error) {
    return Err(new Failure('request/malformed', { expected: 'JSON', got: String(error) }))
  }
  const parsed = safeParse(submissionShape, value)
  if (!parsed.success) return Err(new Failure('request/malformed', { subject: parsed.issues[0].path?.map(item => String(item.key)).join('.') ?? 'body', expected: String(parsed.issues[0].expected), got: parsed.issues[0].received }))
  const { spec, phases, repeatCount, startAtMs, intervalMs } = parsed.output
  const isOrdered = phases.every((phase, number) => phase.dependsOn.every(earlier => earlier < number))
  if (!isOrdered) return Err(new Failure('request/malformed', { subject: 'dependsOn', expected: 'numbers of earlier steps' }))
  const submission = {
    spec,
    steps: phases.map(toStep),
    ...(repeatCount > 0 ? { schedule: { count: repeatCount, startAtMs, intervalMs } } : {})
  }
  const tasks = countTasks(submission)
  return tasks > maximumTasks ? Err(new Failure('request/malformed', { subject: 'count', expected: `at most ${maximumTasks} tasks`, got: String(tasks) })) : Ok(submission)
}

function toStep (phase: InferOutput<typeof phaseShape>): Step {
  return {
    count: phase.count,
    // The wire field `cpu` is in thousandths of a core.
    processors: phase.cpu / cpuUnitsPerProcessor,
    memoryMb: phase.memMb,
    accelerators: phase.gpu,
    estimateMs: phase.estimateMs,
    dependsOn: [...new Set(phase.dependsOn)],
    isCheckpointed: phase.checkpointed,
    isGang: phase.gang,
    isTightlyCoupled: phase.tightlyCoupled,
    requiredLabel: phase.requiredLabel,
    dataRack: phase.dataRack,
    maximumPerWorker: phase.maxPerServer,
    isSpeculative: phase.speculative,
    isLongRunning: phase.longRunning,
    image: phase.image,
    targetMs: phase.targetMs,
    // Despite its name, `fillCount` is a flag: it says whether the processors of the step are left uncounted.
    isFilling: Boolean(phase.fillCount),
    ...(phase.maxUnavailable === undefined ? {} : { maximumUnavailable: phase.maxUnavailable })
  }
}
