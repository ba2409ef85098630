import { readFileSync } from 'node:fs'
import { dirname, resolve } from 'node:path'
import { parse } from 'smol-toml'
import { safeParse, type BaseIssue } from 'valibot'
import { Failure } from '../core/failures'
import { Err, Ok, type Result } from '../core/results'
import { settingsSchema, type Settings } from './settingsSchema'

/** The contents of the secret files that a settings file names. */
export interface Secrets {
  /** Shared by all processes of the system. */
  readonly peerKey: string
  /** Shared by the operators; empty if the settings name no file, as only an entry process needs it. */
  readonly operatorToken: string
}

const minimumSecretLength = 16

/** Parses and checks TOML; the failure names the first invalid key. */
export function parseSettings (text: string): Result<Settings, Failure> {
  let table: unknown
  try {
    table = parse(text)
  } catch (error) {
    return Err(new Failure('settings/unreadable', { expected: 'TOML', got: firstLine(error) }))
  }
  const checked = safeParse(settingsSchema, table)
  if (checked.success) return checkConsistency(checked.output)
  const [issue] = checked.issues
  return Err(new Failure('settings/invalid', { subject: formatKey(issue), expected: formatExpectation(issue), got: issue.received }))
}

/** Reads and checks a settings file; the failure names the file, or the first invalid key. */
export function readSettings (path: string): Result<Settings, Failure> {
  const text = readText(path)
  return text.ok ? parseSettings(text.val) : text
}

/** Reads the secret files that the settings name; relative paths are resolved against the folder of the settings file. */
export function readSecrets (settings: Settings, path: string): Result<Secrets, Failure> {
  const folder = dirname(path)
  const peerKey = readSecret(resolve(folder, settings.peer_key_file), 'peer_key_file')
  if (!peerKey.ok) return peerKey
  if (settings.operator_token_file === undefined) return Ok({ peerKey: peerKey.val, operatorToken: '' })
  const operatorToken = readSecret(resolve(folder, settings.operator_token_file), 'operator_token_file')
  return operatorToken.map(token => ({ peerKey: peerKey.val, operatorToken: token }))
}

function checkConsistency (settings: Settings): Result<Settings, Failure> {
  if (settings.entry !== undefined && settings.operator_token_file === undefined) {
    return Err(new Failure('settings/invalid', { subject: 'operator_token_file', expected: 'a file, because there is an [entry]', got: 'nothing' }))
  }
  if (settings.control !== undefined && settings.control_members[settings.name] === undefined) {
    return Err(new Failure('settings/invalid', { subject: 'control_members', expected: `the name of this VM, "${settings.name}"`, got: Object.keys(settings.control_members).join(', ') }))
  }
  const { announce_ms: announce, agent_dead_after_ms: dead } = settings.timing
  if (dead <= announce) {
    return Err(new Failure('settings/invalid', { subject: 'timing.agent_dead_after_ms', expected: `more than timing.announce_ms, ${announce}`, got: String(dead) }))
  }
  const { agent_heartbeat_ms: heartbeat, silence_ms: silence } = settings.timing
  if (silence <= heartbeat) {
    return Err(new Failure('settings/invalid', { subject: 'timing.silence_ms', expected: `more than timing.agent_heartbeat_ms, ${heartbeat}`, got: String(silence) }))
  }
  return Ok(settings)
}

function readSecret (path: string, key: string): Result<string, Failure> {
  const text = readText(path)
  if (!text.ok) return text
  const secret = text.val.trim()
  if (secret.length >= minimumSecretLength) return Ok(secret)
  return Err(new Failure('settings/invalid', { subject: key, expected: `a file with at least ${minimumSecretLength} characters`, got: `${secret.length} characters` }))
}

function readText (path: string): Result<string, Failure> {
  try {
    return Ok(readFileSync(path, 'utf8'))
  } catch (error) {
    return Err(new Failure('settings/unreadable', { subject: path, got: firstLine(error) }))
  }
}

function formatKey (issue: BaseIssue<unknown>): string {
  return issue.path?.map(item => String(item.key)).join('.') ?? 'the file'
}

function formatExpectation (issue: BaseIssue<unknown>): string {
  if (issue.expected === 'never') return 'no such key'
  if (issue.kind === 'validation') return issue.message
  return issue.expected ?? 'another value'
}

function firstLine (error: unknown): string {
  return String(error instanceof Error ? error.message : error).split('\n')[0] ?? ''
}
