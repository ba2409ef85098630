import type { Logger } from '../observability'
import { createLogger } from '../observability'
import { createDevSite, createLocalEnvironment, type DevSite } from '../wiring'
import { callHttp, type HttpAnswer } from './httpCall'
import { exitCodes } from './exitCodes'

/** Options of the dev command. */
export interface DevOptions {
  /** Whether to send a few requests, print a summary and exit. */
  readonly once: boolean
  readonly controls: number
}

const serviceRequests = 50
const batchTasks = 5
const startTimeoutMs = 15_000
const taskTimeoutMs = 20_000
const pollMs = 50

const serviceEntry = {
  organisation: 'cartago',
  workClass: 'service',
  limits: { processors: 2, memoryMb: 2048, concurrency: 8, queue: 200, deadlineMs: 2000, instances: 3 }
}

const batchEntry = {
  organisation: 'cartago',
  workClass: 'batch',
  limits: { processors: 1, memoryMb: 1024, deadlineMs: 60_000 }
}

/** Runs every role in this process, with fakes for endpoints and workers. Returns the exit code. */
export async function runDev (options: DevOptions, write: (line: string) => void): Promise<number> {
  const logger = createLogger({ level: options.once ? 'warn' : 'info', write })
  const site = await createDevSite({
    controls: options.controls,
    entries: 2,
    endpoints: 3,
    workers: 3,
    environment: (role, name) => createLocalEnvironment(logger.with({ role, node: name }))
  })
  try {
    await prepare(site)
    if (options.once) return await runOnce(site, write)
    printHelp(site, write)
    await waitForSignal(logger)
    return exitCodes.ok
  } finally {
    await site.close()
  }
}

async function prepare (site: DevSite): Promise<void> {
  await putEntry(site, 'tastings', serviceEntry)
  await putEntry(site, 'pairings', batchEntry)
  const giveUpAt = performance.now() + startTimeoutMs
  const isServed = async (): Promise<boolean> => {
    const answers = await Promise.all(site.entries.map(async entry => await callHttp({ address: entry.callers, method: 'GET', path: '/services/tastings/ready' })))
    return answers.every(answer => answer.status === 200)
  }
  while (!await isServed()) {
    if (performance.now() > giveUpAt) throw new Error('the site did not start in time')
    await sleep(pollMs)
  }
}

async function putEntry (site: DevSite, name: string, entry: object): Promise<void> {
  const answer = await callHttp({
    address: first(site).operators,
    method: 'PUT',
    path: `/catalogue/${name}`,
    headers: { authorization: `Bearer ${site.secrets.operatorToken}` },
    body: JSON.stringify({ expectedVersion: 0, by: 'dev', entry })
  })
  if (answer.status !== 200) throw new Error(`the entry ${name} was not accepted: ${answer.status} ${answer.body}`)
}

async function runOnce (site: DevSite, write: (line: string) => void): Promise<number> {
  const startedAt = performance.now()
  const services = await Promise.all(range(serviceRequests).map(async index => await callHttp({
    address: (site.entries[index % site.entries.length] ?? first(site)).callers,
    method: 'GET',
    path: `/services/tastings/slots?request=${index}`,
    headers: { 'x-order': `request-${index}` }
  })))
  const tasks = await Promise.all(range(batchTasks).map(async index => await runTask(site, `pairing-${index}`)))
  const answered = services.filter((answer, index) => isOwnAnswer(answer, index)).length
  const finishedOnce = tasks.filter(taskId => taskId !== undefined && countRuns(site, taskId) === 1).length
  const duplicates = range(serviceRequests).filter(index => countRequests(site, `request-${index}`) !== 1).length
  const isGood = answered === serviceRequests && finishedOnce === batchTasks && duplicates === 0
  write([
    'event=dev_summary',
    `requests=${serviceRequests}`,
    `answered=${answered}`,
    `not_run_once=${duplicates}`,
    `tasks=${batchTasks}`,
    `finished_once=${finishedOnce}`,
    `elapsed_ms=${Math.round(performance.now() - startedAt)}`,
    `result=${isGood ? 'ok' : 'failed'}`
  ].join(' '))
  return isGood ? exitCodes.ok : exitCodes.failed
}

function isOwnAnswer (answer: HttpAnswer, index: number): boolean {
  return answer.status === 200 && answer.headers['heatherdrum-outcome'] === 'answered' && answer.body.includes(`"order":"request-${index}"`)
}

/** Submits a task and waits for its end; undefined if it did not finish. */
async function runTask (site: DevSite, key: string): Promise<string | undefined> {
  const address = first(site).callers
  const submitted = await callHttp({ address, method: 'POST', path: '/tasks/pairings', headers: { 'idempotency-key': key }, body: 'three courses' })
  if (submitted.status !== 202) return undefined
  const { taskId } = JSON.parse(submitted.body) as { readonly taskId: string }
  const giveUpAt = performance.now() + taskTimeoutMs
  while (performance.now() < giveUpAt) {
    const shown = await callHttp({ address, method: 'GET', path: `/tasks/${taskId}` })
    if (shown.status === 200 && (JSON.parse(shown.body) as { readonly state: string }).state === 'finished') return taskId
    await sleep(pollMs)
  }
  return undefined
}

function countRuns (site: DevSite, taskId: string): number {
  return site.workers.flatMap(worker => worker.model.runs).filter(run => run.taskId === taskId).length
}

function countRequests (site: DevSite, order: string): number {
  return site.endpoints.reduce((sum, endpoint) => sum + (endpoint.runs.get(order) ?? 0), 0)
}

function printHelp (site: DevSite, write: (line: string) => void): void {
  const { callers, operators } = first(site)
  const token = `-H 'Authorization: Bearer ${site.secrets.operatorToken}'`
  write('')
  write('Try:')
  write(`  curl -i http://${callers.host}:${callers.port}/services/tastings/slots`)
  write(`  curl -i -H 'Idempotency-Key: order-1' -d 'confirm' http://${callers.host}:${callers.port}/services/tastings/orders`)
  write(`  curl -i -H 'Idempotency-Key: plan-1' -d 'three courses' http://${callers.host}:${callers.port}/tasks/pairings`)
  write(`  curl -s ${token} http://${operators.host}:${operators.port}/status`)
  write(`  curl -s ${token} http://${operators.host}:${operators.port}/catalogue`)
  write('Stop with Ctrl-C.')
}

async function waitForSignal (logger: Logger): Promise<void> {
  const signal = await new Promise<string>(resolve => {
    process.once('SIGINT', () => resolve('SIGINT'))
    process.once('SIGTERM', () => resolve('SIGTERM'))
  })
  logger.info('stopping', { signal })
}

function first (site: DevSite): DevSite['entries'][number] {
  const [entry] = site.entries
  if (entry === undefined) throw new Error('the site has no entry process')
  return entry
}

function range (count: number): readonly number[] {
  return Array.from({ length: count }, (_, index) => index)
}

async function sleep (ms: number): Promise<void> {
  await new Promise(resolve => setTimeout(resolve, ms))
}
