import type http from 'node:http'
import { safeParse, type BaseIssue, type BaseSchema } from 'valibot'
import { Failure } from '../../core/failures'
import { Err, Ok, type Result } from '../../core/results'
import { readBody, type BodyBounds } from './bodyReader'

/** Reads a JSON body and validates it against a schema; the failure names the first invalid key. */
export async function readJson<Value> (request: http.IncomingMessage, schema: BaseSchema<unknown, Value, BaseIssue<unknown>>, bounds: BodyBounds): Promise<Result<Value, Failure>> {
  const body = await readBody(request, bounds)
  if (!body.ok) return body
  if (!body.val.isWhole) return Err(new Failure('request/body-too-large', { expected: `at most ${bounds.bufferBytes} bytes` }))
  let parsed: unknown
  try {
    parsed = JSON.parse(body.val.start.toString('utf8'))
  } catch (error) {
    return Err(new Failure('request/malformed', { expected: 'a JSON body', got: String(error) }))
  }
  const checked = safeParse(schema, parsed)
  if (checked.success) return Ok(checked.output)
  const [issue] = checked.issues
  const subject = issue.path?.map(item => String(item.key)).join('.') ?? 'body'
  return Err(new Failure('request/malformed', { subject, expected: issue.expected ?? 'another value', got: issue.received }))
}
