import { array, boolean, custom, finite, is, literal, number, object, optional, pipe, string, variant, type GenericSchema } from 'valibot'
import type { AbsenceReason, CallerAnswer, CallerCall, EndedRun, ImagePressure, JobState, RefusalReason, RunEnd, RunningTask, RunOrder, Step, WorkerLook, WorkerReport } from '../../core/jobs'
import type { MessageDecoder } from '../../transport'
import { consensusShape } from './consensusCodec'
import type { ClientMessage, ControlReply } from './controlProtocol'

/** A schema for each type of message; a message type without one is a compile error. */
type Shapes<Message extends { readonly type: string }> = { readonly [Type in Message['type']]: GenericSchema<unknown, Extract<Message, { readonly type: Type }>> }

/** A finite number; JSON.parse reads 1e999 as Infinity. */
const amount = pipe(number(), finite())
const names = array(string())

/** Any string, typed as one of the known values: later versions may send further ones. */
function word<Word extends string> (): GenericSchema<unknown, Word> {
  return custom<Word>(value => typeof value === 'string')
}

const step: GenericSchema<unknown, Step> = object({
  count: amount,
  processors: amount,
  memoryMb: amount,
  accelerators: amount,
  estimateMs: amount,
  dependsOn: array(amount),
  isCheckpointed: boolean(),
  isGang: boolean(),
  isTightlyCoupled: boolean(),
  requiredLabel: string(),
  dataRack: string(),
  maximumPerWorker: amount,
  isSpeculative: boolean(),
  isLongRunning: boolean(),
  image: string(),
  targetMs: amount,
  isFilling: boolean(),
  maximumUnavailable: optional(amount)
})

const schedule = object({ count: amount, startAtMs: amount, intervalMs: amount })

const call: GenericSchema<unknown, CallerCall> = variant('type', [
  object({ type: literal('submit'), host: string(), path: string(), submission: object({ spec: string(), steps: array(step), schedule: optional(schedule) }) }),
  object({ type: literal('readState'), host: string(), path: string() }),
  object({ type: literal('cancel'), host: string(), path: string() })
])

const answer: GenericSchema<unknown, CallerAnswer> = variant('type', [
  object({ type: literal('accepted') }),
  object({ type: literal('state'), state: word<JobState>() }),
  object({ type: literal('queued'), count: amount }),
  object({ type: literal('cancelled') }),
  object({ type: literal('noQueue') }),
  object({ type: literal('noJob') }),
  object({ type: literal('refused'), reason: word<RefusalReason>(), retryAfterMs: amount }),
  object({ type: literal('unknown') })
])

const ended: GenericSchema<unknown, EndedRun> = object({ sequence: amount, task: string(), run: amount, end: word<RunEnd>(), checkpoint: string() })

const running: GenericSchema<unknown, RunningTask> = object({
  task: string(),
  run: amount,
  checkpoint: string(),
  percent: amount,
  tailLatencyMs: optional(amount),
  usedProcessors: optional(amount)
})

const look: GenericSchema<unknown, WorkerLook> = object({ worker: string(), clockMs: amount, running: array(running), ends: array(ended) })

const report: GenericSchema<unknown, WorkerReport> = object({
  worker: string(),
  bornMs: amount,
  pool: string(),
  zone: string(),
  rack: string(),
  labels: names,
  capacity: object({ processors: amount, memoryMb: amount, accelerators: amount }),
  isDraining: boolean(),
  remainingMs: optional(amount),
  clockMs: amount,
  formerBoots: optional(array(object({ worker: string(), ends: array(ended) }))),
  heldUntilMs: optional(amount),
  coldMs: optional(amount)
})

const order: GenericSchema<unknown, RunOrder> = object({
  task: string(),
  run: amount,
  spec: string(),
  checkpoint: string(),
  isFilling: boolean(),
  targetMs: amount,
  image: string(),
  isUnwanted: boolean()
})

const pressure: GenericSchema<unknown, ImagePressure> = object({ servingImage: string(), fillingImage: string(), mean: amount, deviation: amount })

const clientShapes: Shapes<ClientMessage> = {
  hello: object({ type: literal('hello'), role: word<'entry' | 'agent' | 'replica' | 'relay'>(), name: string() }),
  call: object({ type: literal('call'), id: amount, call }),
  worker: object({ type: literal('worker'), report }),
  look: object({ type: literal('look'), look }),
  ended: object({ type: literal('ended'), worker: string(), reason: string() }),
  absent: object({ type: literal('absent'), worker: string(), task: string(), run: amount, reason: word<AbsenceReason>() }),
  consensus: object({ type: literal('consensus'), messages: array(consensusShape) })
}

const replyShapes: Shapes<ControlReply> = {
  directory: object({
    type: literal('directory'),
    isLeading: boolean(),
    term: amount,
    leader: optional(string()),
    members: names,
    keepsLog: boolean(),
    founder: optional(string())
  }),
  answer: object({ type: literal('answer'), id: amount, answer }),
  lease: object({ type: literal('lease'), worker: string(), leaseEndMs: amount }),
  orders: object({ type: literal('orders'), worker: string(), orders: array(order), isComplete: boolean() }),
  pressures: object({ type: literal('pressures'), worker: string(), pressures: array(pressure) }),
  starts: object({ type: literal('starts'), worker: string(), areAllowed: boolean() }),
  released: object({ type: literal('released'), worker: string(), task: string(), run: amount }),
  acknowledged: object({ type: literal('acknowledged'), worker: string(), sequence: amount })
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
