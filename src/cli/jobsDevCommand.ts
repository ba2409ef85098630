import { Counters, createLogger } from '../observability'
import { createDevManifest, createJobDevSite, devQueue, type JobDevSite } from '../platform/standIn'
import { exitCodes } from './exitCodes'

/** Options of the dev command for jobs. */
export interface JobsDevOptions {
  /** Whether to run a few jobs, print a summary and exit. */
  readonly once: boolean
}

const jobs = 5
const tasksPerJob = 4
const workers = 3
const taskMs = 100
const jobTimeoutMs = 20_000
const pollMs = 25

/** Runs a job deployment in this process, with stand-ins for the platform's workers. Returns the exit code. */
export async function runJobsDev (options: JobsDevOptions, write: (line: string) => void): Promise<number> {
  const logger = createLogger({ level: options.once ? 'warn' : 'info', write })
  const site = await createJobDevSite({
    workers,
    taskMs,
    surroundings: (role, name) => ({
      now: () => performance.now(),
      wallClock: Date.now,
      random: Math.random,
      logger: logger.with({ role, node: name }),
      counters: new Counters()
    })
  })
  try {
    await until(async () => (await site.operate('PUT', '/-/config', createDevManifest(1))).status === 200)
    const code = await runJobs(site, write)
    if (!options.once) await new Promise<void>(resolve => process.once('SIGINT', () => resolve()))
    return code
  } finally {
    await site.close()
  }
}

async function runJobs (site: JobDevSite, write: (line: string) => void): Promise<number> {
  const startedAt = performance.now()
  const finished = await Promise.all(Array.from({ length: jobs }, async (_, number) => await runJob(site, number)))
  const completed = finished.filter(Boolean).length
  const starts = site.workers.flatMap(worker => [...worker.starts.values()])
  const tasks = jobs * tasksPerJob
  const isGood = completed === jobs && starts.length === tasks && starts.every(count => count === 1)
  write(`event=jobs_dev_summary jobs=${jobs} completed=${completed} tasks=${tasks} started_once=${starts.filter(count => count === 1).length} elapsed_ms=${Math.round(performance.now() - startedAt)} result=${isGood ? 'ok' : 'failed'}`)
  return isGood ? exitCodes.ok : exitCodes.failed
}

/** Submits a job of two steps and waits until it is shown as complete. */
async function runJob (site: JobDevSite, number: number): Promise<boolean> {
  const path = `${devQueue.pathPrefix}${number.toString(16).padStart(16, '0')}`
  const step = { count: tasksPerJob / 2, cpu: 500, memMb: 100, estimateMs: taskMs }
  const body = { spec: `plan ${number}`, phases: [step, { ...step, dependsOn: [0] }] }
  await until(async () => (await site.call('POST', path, body)).status === 200)
  return await until(async () => (await site.call('GET', path)).body.includes('"complete"'))
}

async function until (isTrue: () => Promise<boolean>): Promise<boolean> {
  const giveUpAt = performance.now() + jobTimeoutMs
  while (performance.now() < giveUpAt) {
    if (await isTrue()) return true
    await new Promise(resolve => setTimeout(resolve, pollMs))
  }
  return false
}
