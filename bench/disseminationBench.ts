import type { ChangeProgress } from '../src/tasks/control'
import { callHttp, type HttpAnswer } from '../src/cli/httpCall'
import { createLogger } from '../src/observability'
import { createDevSite, createLocalEnvironment, type DevSite } from '../src/wiring'
import { sleep, waitFor } from './processSite'
import { percentile, round } from './random'

const changes = 30
const agents = 10

/** How long a change takes until all of 3 entry processes and 10 agents enforce it, with the default times. */
export async function runDisseminationBench (): Promise<object> {
  const logger = createLogger({ level: 'error', write: line => process.stderr.write(`${line}\n`) })
  const site = await createDevSite({
    controls: 3,
    entries: 3,
    endpoints: agents,
    workers: 0,
    environment: () => createLocalEnvironment(logger)
  })
  await waitFor(async () => (await put(site, 0, 'first')).status === 200)
  await waitFor(async () => site.agents.every(agent => agent.revision() > 0))
  const times: number[] = []
  const reported: number[] = []
  for (let index = 1; index <= changes; index += 1) {
    const sentAt = performance.now()
    await put(site, index, `change-${index}`)
    await waitFor(async () => site.agents.every(agent => agent.revision() >= index + 1))
    times.push(performance.now() - sentAt)
    reported.push(await reportedMs(site, `change-${index}`))
    await sleep(137)
  }
  await site.close()
  return {
    entries: 3,
    agents,
    in_force_p50_ms: round(percentile(times, 0.5), 0),
    in_force_p99_ms: round(percentile(times, 0.99), 0),
    reported_in_force_p50_ms: round(percentile(reported, 0.5), 0)
  }
}

/** What the leader says about the time between acceptance and being in force. */
async function reportedMs (site: DevSite, changeId: string): Promise<number> {
  let ms = 0
  await waitFor(async () => {
    const answer = await operate(site, 'GET', '/changes')
    const change = (JSON.parse(answer.body) as readonly ChangeProgress[]).find(candidate => candidate.change.changeId === changeId)
    if (change?.inForceSince === undefined) return false
    ms = change.inForceSince - change.change.at
    return true
  })
  return ms
}

async function put (site: DevSite, expectedVersion: number, changeId: string): Promise<HttpAnswer> {
  const limits = { processors: 1, memoryMb: 1, concurrency: 8, queue: expectedVersion }
  return await operate(site, 'PUT', '/catalogue/tastings', { expectedVersion, changeId, entry: { organisation: 'cartago', workClass: 'service', limits } })
}

async function operate (site: DevSite, method: string, path: string, body?: object): Promise<HttpAnswer> {
  return await callHttp({
    address: site.entries[0]?.operators ?? { host: '', port: 0 },
    method,
    path,
    headers: { authorization: `Bearer ${site.secrets.operatorToken}` },
    ...(body === undefined ? {} : { body: JSON.stringify(body) })
  })
}
