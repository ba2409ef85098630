import type http from 'node:http'
import type { Manifest } from '../core/jobs'
import type { Logger } from '../observability'
import type { EvacuationChange, EvacuationOutcome, ManifestOutcome, ManifestRead } from '../tasks/jobs'
import type { RequestHandler } from '../transport'
import { sendInternalError, decodeSegment, readBody, sendJson } from './httpBody'
import { decodeManifest } from './manifestCodec'

/** Options of {@link createOperatorHandler}. */
export interface OperatorHandlerOptions {
  readonly putManifest: (manifest: Manifest) => Promise<ManifestOutcome>
  readonly readManifest: () => Promise<ManifestRead>
  /** Starts or ends the evacuation of an availability zone. */
  readonly changeEvacuation: (zone: string, change: EvacuationChange) => Promise<EvacuationOutcome>
  /** The zones that can be evacuated; undefined if the contracts of the deployment include no evacuations. */
  readonly evacuableZones: () => readonly string[] | undefined
  /** The operator address of the leader, as `host:port`; undefined if no other replica is known to lead. */
  readonly leader: () => string | undefined
  readonly logger: Logger
}

/** Limit of a manifest, in bytes; thousands of routes fit. Control processes hold several versions of that size (`npm run bench -- manifest`). */
export const maximumManifestBytes = 4 * 1024 * 1024
const configPath = '/-/config'
const evacuationPattern = /^\/-\/evacuate\/([^/?]+)$/
const evacuationChanges: Readonly<Record<string, EvacuationChange>> = { POST: 'start', DELETE: 'end' }
/** Operators try another replica after one second without an answer, so a later answer would be lost. */
const answerTimeoutMs = 900

/** Handles the requests of operators: reads and replaces the manifest, and orders evacuations of availability zones. */
export function createOperatorHandler (options: OperatorHandlerOptions): RequestHandler {
  return (request, response) => {
    const timer = setTimeout(() => sendJson(response, 503), answerTimeoutMs)
    serve(request, response, options)
      .catch((error: unknown) => sendInternalError(response, options.logger, error))
      .finally(() => clearTimeout(timer))
  }
}

async function serve (request: http.IncomingMessage, response: http.ServerResponse, options: OperatorHandlerOptions): Promise<void> {
  const zone = evacuationPattern.exec(request.url ?? '')?.[1]
  if (zone !== undefined) return await changeEvacuation(request, response, zone, options)
  if (request.url !== configPath) return sendJson(response, 404)
  if (request.method === 'PUT') return await put(request, response, options)
  if (request.method === 'GET') return await get(response, options)
  sendJson(response, 405)
}

async function put (request: http.IncomingMessage, response: http.ServerResponse, options: OperatorHandlerOptions): Promise<void> {
  const document = await readBody(request, maximumManifestBytes)
  if (document === undefined) {
    options.logger.info('manifest_refused', { reason: 'too large', maximum_bytes: maximumManifestBytes })
    return sendJson(response, 413, { error: `the manifest exceeds ${maximumManifestBytes} bytes` })
  }
  const manifest = decodeManifest(document)
  if (!manifest.ok) {
    options.logger.info('manifest_refused', { reason: manifest.val.message })
    return sendJson(response, 400, { error: manifest.val.message })
  }
  const outcome = await options.putManifest(manifest.val)
  options.logger.info('manifest_answered', { version: manifest.val.version, outcome })
  if (outcome === 'inForce') sendJson(response, 200, {})
  else if (outcome === 'notLeading') redirectToLeader(response, options, configPath)
  else sendJson(response, 503)
}

async function get (response: http.ServerResponse, options: OperatorHandlerOptions): Promise<void> {
  const read = await options.readManifest()
  if (read.type === 'unconfirmed') return redirectToLeader(response, options, configPath)
  if (read.manifest === undefined) return sendJson(response, 503)
  if (response.destroyed || response.headersSent) return
  const { document } = read.manifest
  response.writeHead(200, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(document) })
  response.end(document)
}

async function changeEvacuation (request: http.IncomingMessage, response: http.ServerResponse, encodedZone: string, options: OperatorHandlerOptions): Promise<void> {
  const zones = options.evacuableZones()
  if (zones === undefined) return sendJson(response, 404)
  const change = evacuationChanges[request.method ?? '']
  if (change === undefined) return sendJson(response, 405)
  const zone = decodeSegment(encodedZone)
  if (zone === undefined) {
    options.logger.info('evacuation_refused', { zone: encodedZone, reason: 'not percent-encoded' })
    return sendJson(response, 400)
  }
  if (!zones.includes(zone)) {
    options.logger.info('evacuation_refused', { zone, reason: 'unknown zone' })
    return sendJson(response, 404)
  }
  const outcome = await options.changeEvacuation(zone, change)
  options.logger.info('evacuation_answered', { zone, change, outcome })
  if (outcome === 'committed') sendJson(response, 200, {})
  else if (outcome === 'notLeading') redirectToLeader(response, options, request.url ?? '')
  else sendJson(response, 503)
}

function redirectToLeader (response: http.ServerResponse, { leader }: OperatorHandlerOptions, path: string): void {
  const address = leader()
  if (address === undefined) sendJson(response, 503)
  else sendJson(response, 307, undefined, { location: `http://${address}${path}` })
}
