import { readFileSync } from 'node:fs'
import { randomUUID } from 'node:crypto'
import { isFailure } from '../core/failures'
import { parseAddress } from '../transport'
import { callHttp, type HttpAnswer } from './httpCall'
import { exitCodes } from './exitCodes'

/** Flags which every operators' command takes. */
export interface OperatorFlags {
  /** Operators' addresses of entry processes, separated by commas. */
  readonly address: string
  /** The file with the operators' token. */
  readonly tokenFile: string
  readonly json: boolean
}

/** One request of an operator. */
export interface OperatorRequest {
  readonly method: string
  readonly path: string
  readonly body?: object
}

type Write = (line: string) => void

const callTimeoutMs = 8000

/** Sends a request through the first entry process that answers. Returns the exit code. */
export async function runOperatorCommand (request: OperatorRequest, flags: OperatorFlags, write: Write, writeError: Write): Promise<number> {
  const token = readToken(flags.tokenFile)
  if (token === undefined) {
    writeError(`heatherdrum: --token-file: expected a readable file: got ${flags.tokenFile}`)
    return exitCodes.usage
  }
  // The same change id goes to each address, so that a resend gets the first answer.
  const body = request.body === undefined ? undefined : JSON.stringify(request.body)
  for (const address of flags.address.split(',')) {
    const answer = await tryCall(request, address, token, body)
    if (typeof answer === 'string') writeError(`heatherdrum: ${answer}`)
    else return report(answer, flags, write, writeError)
  }
  return exitCodes.unreachable
}

/** A body with the id which makes a resend of this change harmless. */
export function withChangeId (body: object, changeId: string | undefined): object {
  return { changeId: changeId ?? randomUUID(), ...body }
}

async function tryCall (request: OperatorRequest, address: string, token: string, body: string | undefined): Promise<HttpAnswer | string> {
  try {
    return await callHttp({
      address: parseAddress(address),
      method: request.method,
      path: request.path,
      headers: { authorization: `Bearer ${token}` },
      timeoutMs: callTimeoutMs,
      ...(body === undefined ? {} : { body })
    })
  } catch (error) {
    return isFailure(error) ? error.message : String(error)
  }
}

function report (answer: HttpAnswer, flags: OperatorFlags, write: Write, writeError: Write): number {
  const isGood = answer.status < 300
  if (flags.json) write(answer.body.trimEnd())
  else if (isGood) for (const line of toLines(JSON.parse(answer.body))) write(line)
  else writeError(`heatherdrum: ${messageOf(answer)}`)
  return isGood ? exitCodes.ok : exitCodes.failed
}

function messageOf (answer: HttpAnswer): string {
  try {
    const { message, current } = JSON.parse(answer.body) as { readonly message: string, readonly current?: unknown }
    return current === undefined ? message : `${message}; it is now ${JSON.stringify(current)}`
  } catch {
    return `status ${answer.status}`
  }
}

/** One line of key=value pairs for each item. */
function toLines (value: unknown): readonly string[] {
  if (Array.isArray(value)) return value.map(item => flatten('', item).join(' '))
  return flatten('', value)
}

function flatten (prefix: string, value: unknown): readonly string[] {
  if (typeof value !== 'object' || value === null) return [`${prefix}=${JSON.stringify(value)}`]
  return Object.entries(value).flatMap(([key, item]) => flatten(prefix === '' ? key : `${prefix}.${key}`, item))
}

function readToken (path: string): string | undefined {
  try {
    return readFileSync(path, 'utf8').trim()
  } catch {
    return undefined
  }
}
