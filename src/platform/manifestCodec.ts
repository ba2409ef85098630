import { array, boolean, finite, looseObject, minValue, number, object, optional, pipe, safeInteger, safeParse, string, type InferOutput } from 'valibot'
import { Failure } from '../core/failures'
import type { Manifest, Queue } from '../core/jobs'
import { Err, Ok, type Result } from '../core/results'
import { parseBoundedJson } from '../transport'

const positive = pipe(number(), safeInteger(), minValue(1))
/** JSON.parse reads 1e999 as Infinity, which the log cannot encode: replicas would read a different manifest than the leader. */
const finiteNumber = pipe(number(), finite())

/** A route in the wire format; it becomes a queue of jobs. */
const routeShape = object({
  name: string(),
  host: string(),
  pathPrefix: string(),
  service: string(),
  timeoutMs: positive,
  targetLatencyMs: optional(finiteNumber, 0),
  priority: optional(finiteNumber, 0),
  maxAttempts: optional(positive, 1),
  slackFactor: optional(finiteNumber, 1),
  advice: optional(looseObject({})),
  allowedRegions: optional(array(string()), [])
})

/** A service in the wire format; it becomes a pool of workers. */
const serviceShape = object({
  name: string(),
  admissionCheck: optional(boolean(), false),
  standby: optional(boolean(), false)
})

const manifestShape = object({
  version: positive,
  routes: array(routeShape),
  services: array(serviceShape),
  limits: optional(looseObject({}))
})

/** Decodes and validates a manifest; the failure names the invalid field. */
export function decodeManifest (document: string): Result<Manifest, Failure> {
  let value: unknown
  try {
    value = parseBoundedJson(document)
  } catch (error) {
    return Err(new Failure('manifest/invalid', { expected: 'JSON', got: String(error) }))
  }
  const parsed = safeParse(manifestShape, value)
  if (!parsed.success) return Err(new Failure('manifest/invalid', { subject: parsed.issues[0].path?.map(item => String(item.key)).join('.') ?? 'body', expected: String(parsed.issues[0].expected), got: parsed.issues[0].received }))
  const { version, routes, services } = parsed.output
  const manifest: Manifest = {
    version,
    queues: routes.map(toQueue),
    pools: services.map(service => ({ name: service.name, isGuarded: service.admissionCheck, isStandby: service.standby })),
    document
  }
  const inconsistency = findInconsistency(manifest)
  return inconsistency === undefined ? Ok(manifest) : Err(inconsistency)
}

function toQueue (route: InferOutput<typeof routeShape>): Queue {
  return {
    name: route.name,
    host: route.host,
    pathPrefix: route.pathPrefix,
    pool: route.service,
    priority: route.priority,
    maximumAttempts: route.maxAttempts,
    slackFactor: route.slackFactor,
    targetLatencyMs: route.targetLatencyMs,
    needsAdvice: route.advice !== undefined,
    ...(route.allowedRegions.length === 0 ? {} : { allowedRegions: route.allowedRegions })
  }
}

function findInconsistency ({ queues, pools }: Manifest): Failure | undefined {
  const poolNames = new Set(pools.map(pool => pool.name))
  const places = new Set<string>()
  for (const queue of queues) {
    if (!poolNames.has(queue.pool)) return new Failure('manifest/invalid', { subject: queue.name, expected: 'a pool of the manifest', got: queue.pool })
    const place = `${queue.host} ${queue.pathPrefix}`
    if (places.has(place)) return new Failure('manifest/invalid', { subject: queue.name, expected: 'a host and prefix of its own', got: place })
    places.add(place)
  }
  return undefined
}
