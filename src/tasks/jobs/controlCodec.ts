import { array, boolean, check, custom, finite, is, literal, maxLength, maxValue, minLength, minValue, number, object, optional, pipe, safeInteger, string, variant, type GenericSchema } from 'valibot'
import { countTasks, maximumSteps, maximumTasks, type AbsenceReason, type CallerAnswer, type CallerCall, type EndedRun, type FormerBoot, type ImagePressure, type JobState, type RefusalReason, type RunEnd, type RunningTask, type RunOrder, type Step, type WorkerCrash, type WorkerLook, type WorkerReport } from '../../core/jobs'
import type { MessageDecoder } from '../../transport'
import { consensusShape, ordinal } from './consensusCodec'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** A schema for each type of message; a message type without one is a compile error. */
type Shapes<Message extends { readonly type: string }> = { readonly [Type in Message['type']]: GenericSchema<unknown, Extract<Message, { readonly type: Type }>> }

/** Largest time, in milliseconds: 140,000 years. */
const maximumTimeMs = 2 ** 52
/** Most runs or ends in a list of a worker; agents accept no longer ones from their workers. */
const maximumRows = 5000
/** Longest lease that an agent may tell of, in milliseconds; the settings allow no longer ones. */
const maximumLeaseMs = 86_400_000

/** A finite number; JSON.parse reads 1e999 as Infinity. */
const finiteNumber = pipe(number(), finite())
/** A time or clock in milliseconds; larger ones are not exact, and a lease that ends at one never ends. */
const time = pipe(finiteNumber, minValue(-maximumTimeMs), maxValue(maximumTimeMs))
const names = array(string())

/** Any string, typed as one of the known values: later versions may send further ones. */
function openEnum<Word extends string> (): GenericSchema<unknown, Word> {
  return custom<Word>(value => typeof value === 'string')
}

/** A number of things, from 1. */
const count = pipe(number(), safeInteger(), minValue(1))

const step: GenericSchema<unknown, Step> = object({
  count,
  processors: finiteNumber,
  memoryMb: finiteNumber,
  accelerators: finiteNumber,
  estimateMs: finiteNumber,
  dependsOn: array(finiteNumber),
  isCheckpointed: boolean(),
  isGang: boolean(),
  isTightlyCoupled: boolean(),
  requiredLabel: string(),
  dataRack: string(),
  maximumPerWorker: finiteNumber,
  isSpeculative: boolean(),
  isLongRunning: boolean(),
  image: string(),
  targetMs: finiteNumber,
  isFilling: boolean(),
  maximumUnavailable: optional(finiteNumber)
})

const schedule = object({ count, startAtMs: finiteNumber, intervalMs: finiteNumber })

/** A submission within the limits that the entry processes check as well: the leader creates a record of each task, and would run out of memory. */
const submission = pipe(
  object({ spec: string(), steps: pipe(array(step), minLength(1), maxLength(maximumSteps)), schedule: optional(schedule) }),
  check(value => countTasks(value) <= maximumTasks, `at most ${maximumTasks} tasks`)
)

const call: GenericSchema<unknown, CallerCall> = variant('type', [
  object({ type: literal('submit'), host: string(), path: string(), submission }),
  object({ type: literal('readState'), host: string(), path: string() }),
  object({ type: literal('cancel'), host: string(), path: string() })
])

const answer: GenericSchema<unknown, CallerAnswer> = variant('type', [
  object({ type: literal('accepted') }),
  object({ type: literal('state'), state: openEnum<JobState>() }),
  object({ type: literal('queued'), count: finiteNumber }),
  object({ type: literal('cancelled') }),
  object({ type: literal('noQueue') }),
  object({ type: literal('noJob') }),
  object({ type: literal('refused'), reason: openEnum<RefusalReason>(), retryAfterMs: finiteNumber }),
  object({ type: literal('unknown') })
])

const ended: GenericSchema<unknown, EndedRun> = object({ sequence: ordinal, task: string(), run: ordinal, end: openEnum<RunEnd>(), checkpoint: string() })

const running: GenericSchema<unknown, RunningTask> = object({
  task: string(),
  run: ordinal,
  checkpoint: string(),
  percent: finiteNumber,
  tailLatencyMs: optional(finiteNumber),
  usedProcessors: optional(finiteNumber),
  ageMs: optional(finiteNumber)
})

const ends = pipe(array(ended), maxLength(maximumRows))

const look: GenericSchema<unknown, WorkerLook> = object({ worker: string(), clockMs: time, running: pipe(array(running), maxLength(maximumRows)), ends })

const crash: GenericSchema<unknown, WorkerCrash> = object({
  sinceMs: finiteNumber,
  runs: array(object({ task: string(), run: ordinal, ageMs: optional(finiteNumber), isUnconfirmed: optional(boolean()) }))
})

const formerBoots: GenericSchema<unknown, readonly FormerBoot[]> = array(object({ worker: string(), ends, crash: optional(crash) }))

const report: GenericSchema<unknown, WorkerReport> = pipe(object({
  worker: string(),
  bornMs: time,
  pool: string(),
  zone: string(),
  rack: string(),
  labels: names,
  capacity: object({ processors: finiteNumber, memoryMb: finiteNumber, accelerators: finiteNumber }),
  isDraining: boolean(),
  isDrainUnconfirmed: optional(boolean()),
  remainingMs: optional(finiteNumber),
  clockMs: time,
  formerBoots: optional(formerBoots),
  heldUntilMs: optional(time),
  coldMs: optional(finiteNumber)
}), check(({ clockMs, heldUntilMs = clockMs }) => heldUntilMs - clockMs <= maximumLeaseMs, 'a lease of at most a day'))

const order: GenericSchema<unknown, RunOrder> = object({
  task: string(),
  run: ordinal,
  spec: string(),
  checkpoint: string(),
  isFilling: boolean(),
  processors: optional(finiteNumber),
  targetMs: finiteNumber,
  image: string(),
  clearedAfterMs: optional(finiteNumber),
  isUnwanted: boolean()
})

const pressure: GenericSchema<unknown, ImagePressure> = object({ servingImage: string(), fillingImage: string(), mean: finiteNumber, deviation: finiteNumber })

const clientShapes: Shapes<ClientMessage> = {
  hello: object({ type: literal('hello'), role: openEnum<'entry' | 'agent' | 'replica' | 'relay'>(), name: string() }),
  call: object({ type: literal('call'), id: finiteNumber, call }),
  worker: object({ type: literal('worker'), report }),
  look: object({ type: literal('look'), look }),
  ended: object({ type: literal('ended'), worker: string(), reason: string(), crash: optional(crash) }),
  vacant: object({ type: literal('vacant'), formerBoots }),
  absent: object({ type: literal('absent'), worker: string(), task: string(), run: ordinal, reason: openEnum<AbsenceReason>() }),
  consensus: object({ type: literal('consensus'), messages: array(consensusShape) })
}

const replyShapes: Shapes<ControlReply> = {
  directory: object({
    type: literal('directory'),
    isLeading: boolean(),
    term: ordinal,
    leader: optional(string()),
    members: names,
    keepsLog: boolean(),
    founder: optional(string())
  }),
  answer: object({ type: literal('answer'), id: finiteNumber, answer }),
  lease: object({ type: literal('lease'), worker: string(), leaseEndMs: time }),
  orders: object({ type: literal('orders'), worker: string(), orders: array(order), isComplete: boolean() }),
  pressures: object({ type: literal('pressures'), worker: string(), pressures: array(pressure) }),
  starts: object({ type: literal('starts'), worker: string(), areAllowed: boolean() }),
  released: object({ type: literal('released'), worker: string(), task: string(), run: ordinal }),
  acknowledged: object({ type: literal('acknowledged'), worker: string(), sequence: ordinal })
}

/** Validates a message from a process to a control replica. Unknown fields are kept. */
export const decodeClientMessage = createDecoder(clientShapes)

/** Validates a message from a control replica. Unknown fields are kept. */
export const decodeControlReply = createDecoder(replyShapes)

function createDecoder<Message extends { readonly type: string }> (shapes: Shapes<Message>): MessageDecoder<Message> {
  const byType = new Map<unknown, GenericSchema>(Object.entries(shapes))
  return value => {
    if (typeof value !== 'object' || value === null || !('type' in value) || typeof value.type !== 'string') return 'malformed'
    const shape = byType.get(value.type)
    if (shape === undefined) return 'unknownType'
    return is(shape, value) ? value as unknown as Message : 'malformed'
  }
}
