import { createHash, randomUUID } from 'node:crypto'
import type http from 'node:http'
import { Failure } from '../../core/failures'
import type { TaskRecord } from '../../core/ledger'
import { callerHeaders } from '../../transport'
import { readBody } from './bodyReader'
import type { EntryContext } from './entryContext'
import { replyFailure, replyJson } from './replies'
import { readKey } from './requestPlan'

/** The path prefix of batch tasks. */
export const tasksPath = '/tasks/'

/** Handles the callers' requests that submit, inspect and cancel batch tasks. */
export class TaskHandler {
  constructor (private readonly context: EntryContext) {}

  /** Routes a request below the path of tasks. */
  async handle (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const [name = '', part] = (request.url ?? '').slice(tasksPath.length).split('/')
    if (request.method === 'POST' && part === undefined) return await this.submit(name, request, response)
    if (request.method === 'GET' && part === undefined) return await this.show(name, response)
    if (request.method === 'GET' && part === 'result') return await this.result(name, response)
    if (request.method === 'DELETE' && part === undefined) return await this.cancel(name, response)
    replyFailure(response, { failure: new Failure('request/unknown-path', { got: `${request.method ?? ''} ${request.url ?? ''}` }), outcome: 'not-run' })
  }

  /** Answers 202 once the task is committed. */
  private async submit (entry: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const { catalogue, bounds, control, now } = this.context
    const known = catalogue.catalogue.find(entry)
    if (known === undefined) return replyFailure(response, { failure: new Failure('request/unknown-entry', { subject: entry }), outcome: 'not-run' })
    if (known.workClass !== 'batch') return replyFailure(response, { failure: new Failure('request/wrong-class', { subject: entry, expected: 'batch work', got: 'a service' }), outcome: 'not-run' })
    const key = readKey(request)
    if (!key.ok) return replyFailure(response, { failure: key.val, outcome: 'not-run' })
    const body = await readBody(request, { bufferBytes: bounds.bodyBufferBytes, idleMs: bounds.bodyIdleMs })
    if (!body.ok) return replyFailure(response, { failure: body.val, outcome: 'not-run' })
    if (!body.val.isWhole) return replyFailure(response, { failure: new Failure('request/body-too-large', { expected: `at most ${bounds.bodyBufferBytes} bytes` }), outcome: 'not-run' })
    const outcome = await control.propose({ type: 'submitTask', taskId: createTaskId(entry, key.val), entry, input: body.val.start.toString('utf8'), at: now() })
    if (!outcome.ok) {
      // Without an answer from the leader the task may be committed; a resend with the same key finds it.
      const isUnknown = outcome.val.code === 'control/unavailable'
      return replyFailure(response, { failure: outcome.val, outcome: isUnknown ? 'unknown' : 'not-run' })
    }
    if (outcome.val.type === 'task') replyJson(response, 202, describeTask(outcome.val.task), { location: `${tasksPath}${outcome.val.task.taskId}` })
  }

  private async show (taskId: string, response: http.ServerResponse): Promise<void> {
    const task = await this.find(taskId, response)
    if (task !== undefined) replyJson(response, 200, describeTask(task))
  }

  private async result (taskId: string, response: http.ServerResponse): Promise<void> {
    const task = await this.find(taskId, response)
    if (task === undefined) return
    if (task.state !== 'finished') return replyFailure(response, { failure: new Failure('task/wrong-state', { subject: taskId, expected: 'finished', got: task.state }), outcome: 'not-run' })
    const result = task.result ?? ''
    response.writeHead(200, { 'content-type': 'application/octet-stream', 'content-length': Buffer.byteLength(result), [callerHeaders.outcome]: 'answered' })
    response.end(result)
  }

  private async cancel (taskId: string, response: http.ServerResponse): Promise<void> {
    const outcome = await this.context.control.propose({ type: 'cancelTask', taskId, at: this.context.now() })
    if (!outcome.ok) return replyFailure(response, { failure: outcome.val, outcome: outcome.val.code === 'control/unavailable' ? 'unknown' : 'not-run' })
    if (outcome.val.type === 'task') replyJson(response, 200, describeTask(outcome.val.task))
  }

  private async find (taskId: string, response: http.ServerResponse): Promise<TaskRecord | undefined> {
    const view = await this.context.control.query({ type: 'task', taskId })
    if (view.ok && view.val.task !== undefined) return view.val.task
    const failure = view.ok ? new Failure('task/unknown', { subject: taskId }) : view.val
    replyFailure(response, { failure, outcome: 'not-run' })
    return undefined
  }
}

/** Derives the task id from the idempotency key, so that a resend does not submit another task; without a key the id is random. */
function createTaskId (entry: string, key: string | undefined): string {
  const suffix = key === undefined ? randomUUID() : createHash('sha256').update(key).digest('hex').slice(0, 32)
  return `${entry}.${suffix}`
}

/** The fields of a task that callers see. */
function describeTask (task: TaskRecord): object {
  const { taskId, entry, state, attempt, submittedAt, reason } = task
  return { taskId, entry, state, attempt, submittedAt, ...(reason === undefined ? {} : { reason }) }
}
