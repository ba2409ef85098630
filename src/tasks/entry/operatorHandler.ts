import { randomUUID } from 'node:crypto'
import type http from 'node:http'
import { boolean, integer, minValue, number, object, optional, picklist, pipe, strictObject, string, type InferOutput } from 'valibot'
import type { CatalogueEntry } from '../../core/catalogue'
import { Failure } from '../../core/failures'
import type { LedgerCommand } from '../../core/ledger'
import type { Result } from '../../core/results'
import { createSecretCheck } from '../../transport'
import type { ControlQuery, ControlView } from '../control'
import type { EntryContext } from './entryContext'
import { readJson } from './jsonBody'
import { replyFailure, replyJson } from './replies'

const count = pipe(number(), integer(), minValue(0))

const resourcesSchema = strictObject({ processors: number(), memoryMb: number(), accelerators: optional(count, 0) })

const entrySchema = strictObject({
  organisation: string(),
  workClass: picklist(['service', 'batch']),
  urgent: optional(boolean(), false),
  cell: optional(string(), 'main'),
  limits: strictObject({
    processors: number(),
    memoryMb: number(),
    accelerators: optional(count, 0),
    concurrency: optional(count, 1),
    queue: optional(count, 0),
    deadlineMs: optional(number(), 10_000),
    instances: optional(count, 0)
  })
})

const changeSchema = strictObject({
  expectedVersion: count,
  changeId: optional(string()),
  by: optional(string(), 'operator'),
  entry: entrySchema
})

const removalSchema = object({ expectedVersion: count, changeId: optional(string()), by: optional(string(), 'operator') })

const bodyIdleMs = 5000
const bodyBytes = 64 * 1024

/** Handles the operators' HTTP API. Every request needs the operators' token as a bearer token. */
export class OperatorHandler {
  private readonly isValidToken: (candidate: unknown) => boolean

  constructor (private readonly context: EntryContext, token: string) {
    this.isValidToken = createSecretCheck(token)
  }

  handle (request: http.IncomingMessage, response: http.ServerResponse): void {
    response.on('error', () => {})
    const token = /^Bearer (.+)$/.exec(request.headers.authorization ?? '')?.[1]
    if (!this.isValidToken(token)) {
      replyFailure(response, { failure: new Failure('request/unauthorized', { expected: 'the operators\' token' }), outcome: 'not-run' })
      return
    }
    this.route(request, response).catch(error => replyFailure(response, { failure: new Failure('request/malformed', { got: String(error) }), outcome: 'unknown' }))
  }

  private async route (request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const [, collection = '', name] = (request.url ?? '').split('/').map(decodeURIComponent)
    const method = request.method ?? ''
    const action = `${method} ${collection}${name === undefined ? '' : '/name'}`
    switch (action) {
      case 'GET catalogue': return await this.show(response, { type: 'entries' }, view => view.entries)
      case 'GET catalogue/name': return await this.show(response, { type: 'entry', name: name ?? '' }, view => view.entry)
      case 'PUT catalogue/name': return await this.put(name ?? '', request, response)
      case 'DELETE catalogue/name': return await this.remove(name ?? '', request, response)
      case 'GET changes': return await this.show(response, { type: 'changes' }, view => view.changes)
      case 'GET tasks': return await this.show(response, { type: 'tasks' }, view => view.tasks)
      case 'GET tasks/name': return await this.show(response, { type: 'task', taskId: name ?? '' }, view => view.task)
      case 'DELETE tasks/name': return await this.propose(response, { type: 'cancelTask', taskId: name ?? '', at: 0 })
      case 'GET status': return await this.show(response, { type: 'status' }, view => view.status)
      case 'PUT quotas/name': return await this.setQuota(name ?? '', request, response)
      case 'GET histograms': return replyJson(response, 200, this.context.histograms.summarize())
      default: replyFailure(response, { failure: new Failure('request/unknown-path', { got: `${method} ${request.url ?? ''}` }), outcome: 'not-run' })
    }
  }

  private async show<Value> (response: http.ServerResponse, query: ControlQuery, select: (view: ControlView) => Value | undefined): Promise<void> {
    const view = await this.context.control.query(query)
    if (!view.ok) return replyFailure(response, { failure: view.val, outcome: 'not-run' })
    const value = select(view.val)
    if (value === undefined) return replyFailure(response, { failure: new Failure(query.type === 'task' ? 'task/unknown' : 'request/unknown-entry'), outcome: 'not-run' })
    replyJson(response, 200, value)
  }

  private async put (name: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const change = await readJson(request, changeSchema, bounds)
    if (!change.ok) return replyFailure(response, { failure: change.val, outcome: 'not-run' })
    await this.change(response, name, change.val, toEntry(name, change.val.entry))
  }

  private async remove (name: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const change = await readJson(request, removalSchema, bounds)
    if (!change.ok) return replyFailure(response, { failure: change.val, outcome: 'not-run' })
    await this.change(response, name, change.val, undefined)
  }

  private async change (response: http.ServerResponse, name: string, change: InferOutput<typeof removalSchema>, entry: CatalogueEntry | undefined): Promise<void> {
    const outcome = await this.context.control.propose({
      type: 'changeEntry',
      changeId: change.changeId ?? randomUUID(),
      by: change.by,
      at: 0,
      name,
      expectedVersion: change.expectedVersion,
      ...(entry === undefined ? {} : { entry })
    })
    if (!outcome.ok && outcome.val.code === 'catalogue/conflict') return await this.replyConflict(response, name, outcome.val)
    this.replyOutcome(response, outcome)
  }

  /** Includes the current version, so that the operator can decide whether to change it again. */
  private async replyConflict (response: http.ServerResponse, name: string, failure: Failure): Promise<void> {
    const view = await this.context.control.query({ type: 'entry', name })
    replyJson(response, 409, { outcome: 'not-run', failure: failure.code, message: failure.message, current: view.ok ? view.val.entry : undefined })
  }

  private async setQuota (organisation: string, request: http.IncomingMessage, response: http.ServerResponse): Promise<void> {
    const quota = await readJson(request, resourcesSchema, bounds)
    if (!quota.ok) return replyFailure(response, { failure: quota.val, outcome: 'not-run' })
    await this.propose(response, { type: 'setQuota', organisation, quota: quota.val })
  }

  private async propose (response: http.ServerResponse, command: LedgerCommand): Promise<void> {
    this.replyOutcome(response, await this.context.control.propose(command))
  }

  private replyOutcome (response: http.ServerResponse, outcome: Result<object, Failure>): void {
    if (outcome.ok) return replyJson(response, 200, outcome.val)
    const isUnknown = outcome.val.code === 'control/unavailable'
    replyFailure(response, { failure: outcome.val, outcome: isUnknown ? 'unknown' : 'not-run' })
  }
}

const bounds = { bufferBytes: bodyBytes, idleMs: bodyIdleMs }

function toEntry (name: string, definition: InferOutput<typeof entrySchema>): CatalogueEntry {
  return { name, ...definition }
}
