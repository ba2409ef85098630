import http from 'node:http'
import { callHttp, type HttpAnswer } from '../../cli/httpCall'
import { createLogger } from '../../observability'
import { createDevSite, createLocalEnvironment, type DevSite, type DevSiteOptions } from '..'

/** Short intervals and timeouts, so that failures are detected quickly. */
export const fastTiming = [
  'announce_ms = 100',
  'agent_dead_after_ms = 1500',
  'agent_heartbeat_ms = 50',
  'silence_ms = 200'
].join('\n')

const waitMs = 10_000

/** A catalogue entry of a service whose limits are above the load of every test. */
export const serviceEntry = {
  organisation: 'cartago',
  workClass: 'service',
  limits: { processors: 1, memoryMb: 100, concurrency: 8, queue: 1000, deadlineMs: 5000 }
}

/** Starts a site with one catalogue entry, the service "tastings", and waits until every entry process can serve it. */
export async function startSite (options: Partial<DevSiteOptions>): Promise<DevSite> {
  const logger = createLogger({ level: process.env['TEST_LOG'] === undefined ? 'error' : 'debug', write: line => process.stderr.write(`${line}\n`) })
  const site = await createDevSite({
    controls: 1,
    entries: 1,
    endpoints: 1,
    workers: 0,
    timing: fastTiming,
    environment: (role, name) => createLocalEnvironment(logger.with({ role, node: name })),
    ...options
  })
  await waitFor(async () => (await operate(site, 'PUT', '/catalogue/tastings', { expectedVersion: 0, changeId: 'first', entry: serviceEntry })).status === 200)
  await ready(site)
  return site
}

/** Waits until every entry process knows every agent and the agents enforce its revision. */
export async function ready (site: DevSite): Promise<void> {
  await waitFor(() => site.entries.every(entry => entry.isReady() && entry.agents().length === site.agents.length))
  await waitFor(() => site.agents.every(agent => agent.revision() > 0))
}

/** Sends an operator's request to the entry process at position `entry`. */
export async function operate (site: DevSite, method: string, path: string, body?: object, entry = 0): Promise<HttpAnswer> {
  return await callHttp({
    address: (site.entries[entry] as DevSite['entries'][number]).operators,
    method,
    path,
    headers: { authorization: `Bearer ${site.secrets.operatorToken}` },
    ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
}

/** Sends a caller's request to the service `tastings`. */
export async function request (site: DevSite, options: { readonly entry?: number, readonly method?: string, readonly path?: string, readonly headers?: http.OutgoingHttpHeaders, readonly body?: string } = {}): Promise<HttpAnswer> {
  return await callHttp({
    address: (site.entries[options.entry ?? 0] as DevSite['entries'][number]).callers,
    method: options.method ?? 'GET',
    path: `/services/tastings${options.path ?? '/slots'}`,
    headers: options.headers ?? {},
    ...(options.body === undefined ? {} : { body: options.body })
  })
}

/** The outcome of a request that its answer reports. */
export function outcomeOf (answer: HttpAnswer): string {
  return String(answer.headers['heatherdrum-outcome'])
}

/** Polls a condition until it is true; rejects after `waitMs`. */
export async function waitFor (condition: () => boolean | Promise<boolean>): Promise<void> {
  const deadlineAt = performance.now() + waitMs
  while (!await condition()) {
    if (performance.now() > deadlineAt) throw new Error(`expected within ${waitMs} ms: ${condition.toString()}`)
    await new Promise(resolve => setTimeout(resolve, 5))
  }
}

/** The number of runs of one order at all endpoints together. */
export function runsOf (site: DevSite, order: string): number {
  return site.endpoints.reduce((sum, endpoint) => sum + (endpoint.runs.get(order) ?? 0), 0)
}
